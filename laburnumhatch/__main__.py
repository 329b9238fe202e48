"""Runs the command line as ``python -m laburnumhatch``."""

from .commands.main import main

main()
