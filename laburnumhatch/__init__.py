"""A router for servers that own keys exclusively."""

import os

__version__ = "0.1.0"

# Before numpy is imported, whose linear algebra would start a thread for each core: the daemons run
# one loop on one thread.
os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
