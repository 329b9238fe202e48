"""Logs, traces and metrics; traces are imported on their own, since their library is large."""

from .logs import JsonLineHandler, start_logging

__all__ = ["JsonLineHandler", "start_logging"]
