"""Logs, traces and metrics."""

from .logs import JsonLineHandler, start_logging
from .traces import JsonLineExporter, build_tracer_provider

__all__ = ["JsonLineExporter", "JsonLineHandler", "build_tracer_provider", "start_logging"]
