"""Handling of the header fields of requests and answers."""

from datetime import timedelta

from twisted.web.http_headers import Headers

from ..clocks import milliseconds

__all__ = [
    "clean_answer_headers",
    "clean_request_headers",
    "parse_deadline",
    "parse_retry_after",
    "retry_after_value",
]

MAX_NUMBER_LENGTH = 12


def _canonical_names(*names: bytes) -> frozenset[bytes]:
    """Return field names in the capitalisation in which `Headers` stores them."""
    stored = Headers({name: [b""] for name in names}).getAllRawHeaders()
    return frozenset(name for name, _ in stored)


HOP_BY_HOP = _canonical_names(
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
)
# These fields are set for each upstream call; a caller's values are removed to prevent forgery.
UPSTREAM_CALL_FIELDS = _canonical_names(
    b"content-length",
    b"deadline-ms",
    b"expect",
    b"fencing-token",
    b"ownership-slot",
    b"request-id",
    b"traceparent",
    b"tracestate",
)
STRIPPED_REQUEST_FIELDS = HOP_BY_HOP | UPSTREAM_CALL_FIELDS
STRIPPED_ANSWER_FIELDS = HOP_BY_HOP | _canonical_names(b"draining", b"fencing-token", b"run")


def clean_request_headers(headers: Headers, caller_host: str) -> None:
    """Turn a caller's header into the upstream header fields that all attempts share.

    Parameters
    ----------
    headers : Headers
        The caller's header, modified in place.
    caller_host : str
        IP address of the caller, appended to ``X-Forwarded-For``.

    Notes
    -----
    Hop-by-hop fields are removed, including those that the ``Connection`` field names [1]_.
    ``Host`` is left unchanged.

    References
    ----------
    .. [1] RFC 9110, HTTP Semantics, section 7.6.1.

    Examples
    --------
    >>> headers = Headers({b"connection": [b"close, x-hop"], b"x-hop": [b"1"], b"accept": [b"*"]})
    >>> clean_request_headers(headers, "192.0.2.1")
    >>> sorted(headers.getAllRawHeaders())
    [(b'Accept', [b'*']), (b'X-Forwarded-For', [b'192.0.2.1'])]
    """
    for value in headers.getRawHeaders(b"connection") or ():
        for name in value.split(b","):
            headers.removeHeader(name.strip())
    _remove(headers, STRIPPED_REQUEST_FIELDS)
    hops = [*(headers.getRawHeaders(b"x-forwarded-for") or ()), caller_host.encode()]
    headers.setRawHeaders(b"x-forwarded-for", [b", ".join(hops)])


def clean_answer_headers(headers: Headers) -> None:
    """Remove the fields that are not meant for the caller from an upstream's header, in place."""
    _remove(headers, STRIPPED_ANSWER_FIELDS)


def _remove(headers: Headers, names: frozenset[bytes]) -> None:
    found = [name for name, _ in headers.getAllRawHeaders() if name in names]
    for name in found:
        headers.removeHeader(name)


def parse_deadline(value: bytes | None, max_duration: timedelta) -> timedelta | None:
    """Return the time allowed for a request, or None for a malformed header.

    Parameters
    ----------
    value : bytes or None
        The caller's ``Deadline-Ms`` field.
    max_duration : timedelta
        Upper bound: the deadline of the request's kind, which is also the default.

    Examples
    --------
    >>> parse_deadline(b"200", timedelta(seconds=1)).total_seconds()
    0.2
    >>> parse_deadline(b"-1", timedelta(seconds=1)) is None
    True
    """
    if value is None:
        return max_duration
    if not value.isdigit() or len(value) > MAX_NUMBER_LENGTH:
        return None
    return min(milliseconds(int(value)), max_duration)


def parse_retry_after(value: bytes | None) -> timedelta | None:
    """Return the delay of a ``Retry-After`` field; None if it is absent, a date or malformed.

    Fractions of a second are accepted because some upstreams send them.

    Examples
    --------
    >>> parse_retry_after(b"0.05").total_seconds()
    0.05
    """
    if value is None:
        return None
    integer_part, _, fraction = value.partition(b".")
    if (
        not integer_part.isdigit()
        or len(value) > MAX_NUMBER_LENGTH
        or (fraction and not fraction.isdigit())
    ):
        return None
    return timedelta(seconds=float(value))


def retry_after_value(delay: timedelta) -> bytes:
    """Return the ``Retry-After`` value for `delay` in whole seconds, rounded up, at least 1.

    Examples
    --------
    >>> retry_after_value(timedelta(seconds=1.2))
    b'2'
    """
    return b"%d" % max(1, -(-delay // timedelta(seconds=1)))
