"""Functions that extract data from the requests to an upstream stand-in."""

import hashlib
from urllib.parse import parse_qs

from twisted.web.http import Request

from .http import get_header

__all__ = ["digest_body", "number_in_header", "number_in_query"]

READ_SIZE = 65_536


def number_in_header(request: Request, name: str) -> int | None:
    """Return the value of a header as a number, or None if it is absent or not a number."""
    value = get_header(request, name)
    return int(value) if value.isdigit() else None


def number_in_query(request: Request, name: str) -> int | None:
    """Return the first value of a query argument as a number, or None if there is none."""
    values = parse_qs(request.uri.decode().partition("?")[2]).get(name, [""])
    return int(values[0]) if values[0].isdigit() else None


def digest_body(request: Request) -> tuple[int, str]:
    """Return the size in bytes and the hexadecimal SHA-256 digest of the body of a request."""
    assert request.content is not None
    digest, size = hashlib.sha256(), 0
    request.content.seek(0)
    while chunk := request.content.read(READ_SIZE):
        digest.update(chunk)
        size += len(chunk)
    return size, digest.hexdigest()
