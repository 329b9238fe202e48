"""Hop-by-hop header fields and the ``Keep-Alive`` field."""

from collections.abc import Iterable

__all__ = ["HOP_BY_HOP", "HeaderFields", "end_to_end_fields", "parse_keep_alive_timeout"]

HeaderFields = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1. ``Content-Length`` is included because the body is framed again on each
# connection.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def end_to_end_fields(fields: Iterable[tuple[bytes, bytes]]) -> HeaderFields:
    """Return the fields that are forwarded to the next connection.

    Parameters
    ----------
    fields : iterable of (bytes, bytes)
        Names are in lower case.

    Returns
    -------
    list of (bytes, bytes)
        The fields without the hop-by-hop ones and those that a ``Connection`` field names.
    """
    all_fields = [(name, value) for name, value in fields]
    connection_options = {
        option.strip().lower()
        for name, value in all_fields
        if name == b"connection"
        for option in value.split(b",")
    }
    return [(n, v) for n, v in all_fields if n not in HOP_BY_HOP and n not in connection_options]


def parse_keep_alive_timeout(fields: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the idle timeout of a ``Keep-Alive`` field in seconds, or None if there is none.

    Examples
    --------
    >>> parse_keep_alive_timeout([(b"keep-alive", b"timeout=5, max=100")])
    5
    """
    for name, value in fields:
        if name != b"keep-alive":
            continue
        for option in value.split(b","):
            key, _, seconds = option.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                return int(seconds)
    return None
