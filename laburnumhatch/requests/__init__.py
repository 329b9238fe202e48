"""Request path of an entry instance: admission, forwarding and retries."""

from .path import RequestPath

__all__ = ["RequestPath"]
