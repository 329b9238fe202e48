"""A request router for servers that own keys exclusively."""

import os

__version__ = "0.1.0"

# This must be set before numpy is imported. OpenBLAS would otherwise start a thread for each core,
# although a daemon runs a single event loop on one thread.
os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
