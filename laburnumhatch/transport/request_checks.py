"""Checks of a request's header."""

from ..fleet import CallerLimits
from .caller_request import CallerRequest
from .fields import HeaderFields

__all__ = ["body_length", "find_request_error"]


def find_request_error(request: CallerRequest, limits: CallerLimits) -> tuple[int, str] | None:
    """Return the status and reason with which to reject a request, or None if it is acceptable."""
    if request.method == b"CONNECT":
        return 501, "no tunnels are opened here"
    lengths = [value for name, value in request.fields if name == b"content-length"]
    if lengths and any(name == b"transfer-encoding" for name, _ in request.fields):
        # RFC 9112, section 6.1: such a message may be an attempt at request smuggling.
        return 400, "both a length and a transfer coding"
    if lengths and int(lengths[0]) > limits.max_body_bytes:
        return 413, "the body is too large"
    return None


def body_length(fields: HeaderFields) -> int | None:
    """Return the length of a request's body, or None if it is not known before its end."""
    for name, value in fields:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return None
    return 0
