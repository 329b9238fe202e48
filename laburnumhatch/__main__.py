"""Entry point of ``python -m laburnumhatch``."""

from .commands.main import main

main()
