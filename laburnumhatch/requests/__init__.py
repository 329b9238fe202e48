"""The path of a request: admission, retries, forwarding."""

from .path import RequestPath

__all__ = ["RequestPath"]
