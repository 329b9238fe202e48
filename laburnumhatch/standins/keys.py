"""Functions with which an upstream stand-in extracts the key of a request."""

from urllib.parse import unquote

from twisted.web.http import Request

from ..routing import Service, Snapshot, build_matcher
from .upstream import KeyFinder

__all__ = ["key_from_second_segment", "make_key_finder"]


def key_from_second_segment(request: Request) -> str:
    """Return the second segment of the path, which is the key in most services."""
    segments = request.path.decode().split("/")
    return unquote(segments[2]) if len(segments) > 2 else ""


def make_key_finder(service: Service) -> KeyFinder:
    """Return a function that extracts keys by the routing rules of a service."""
    match = build_matcher(Snapshot(0, "", (service,)))

    def find(request: Request) -> str:
        pairs = request.requestHeaders.getAllRawHeaders()
        headers = {name.decode().lower(): values[0].decode("latin-1") for name, values in pairs}
        found = match(request.method.decode(), request.uri.decode(), headers)
        return found.key or "" if found is not None else ""

    return find
