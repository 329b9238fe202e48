"""Structured logs and traces.

The package doesn't import the module `traces`, because the tracing library is large.
"""

from .logs import JsonLineHandler, start_logging

__all__ = ["JsonLineHandler", "start_logging"]
