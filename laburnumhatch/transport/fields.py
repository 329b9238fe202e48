"""Header fields that concern one connection only."""

from collections.abc import Iterable

__all__ = ["HOP_BY_HOP", "HeaderFields", "end_to_end_fields", "keep_alive_seconds"]

HeaderFields = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1; the framing is set anew on each connection.
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
    """Return the fields that go on to the next connection; names are in lower case."""
    all_fields = [(name, value) for name, value in fields]
    connection_options = {
        option.strip().lower()
        for name, value in all_fields
        if name == b"connection"
        for option in value.split(b",")
    }
    return [(n, v) for n, v in all_fields if n not in HOP_BY_HOP and n not in connection_options]


def keep_alive_seconds(fields: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the idle time that a ``Keep-Alive`` field announces.

    Examples
    --------
    >>> keep_alive_seconds([(b"keep-alive", b"timeout=5, max=100")])
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
