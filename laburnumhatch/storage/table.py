"""Client of the platform's table over HTTP, based on conditional requests."""

from urllib.parse import quote

from .http import HttpAnswer, HttpClient, RequestNotSent
from .interfaces import Absent, Conflict, OutcomeUnknown, Row, Unavailable, Written

__all__ = ["HttpTable"]

OK = 200
NOT_FOUND = 404
PRECONDITION_FAILED = 412
SERVER_ERROR = 500
WRITER_HEADER = "writer"


class HttpTable:
    """Table at a base URL.

    A row is read by ``GET`` and written by ``PUT`` of ``BASE/KEY``. The body is the value of the
    row, the ``ETag`` its version, and the header field ``Writer`` the identifier of the write. A
    write carries ``If-Match`` with the expected version, or ``If-None-Match: *`` if the row must
    be absent [1]_.

    References
    ----------
    .. [1] RFC 9110, HTTP Semantics, section 13.
    """

    def __init__(self, client: HttpClient, base_url: str) -> None:
        self._client = client
        self._base_url = base_url.rstrip("/")

    async def read(self, key: str) -> Row | Absent | Unavailable:
        """Return the current row."""
        answer = await self._client.call("GET", self._url(key), {})
        if not isinstance(answer, HttpAnswer):
            return Unavailable(answer.reason)
        if answer.status == NOT_FOUND:
            return Absent(key)
        if answer.status != OK:
            return Unavailable(f"status {answer.status}")
        return _parse_row(key, answer)

    async def write(
        self, key: str, value: bytes, expected_version: int, writer: str
    ) -> Written | Conflict | Unavailable | OutcomeUnknown:
        """Write a row if its version is `expected_version`."""
        headers = {WRITER_HEADER: writer}
        if expected_version == 0:
            headers["if-none-match"] = "*"
        else:
            headers["if-match"] = f'"{expected_version}"'
        answer = await self._client.call("PUT", self._url(key), headers, value)
        if isinstance(answer, RequestNotSent):
            return Unavailable(answer.reason)
        if not isinstance(answer, HttpAnswer):
            return OutcomeUnknown(answer.reason)
        if answer.status == OK:
            return Written(_parse_version(answer))
        if answer.status == PRECONDITION_FAILED:
            return Conflict(_parse_row(key, answer) if "etag" in answer.headers else None)
        if answer.status >= SERVER_ERROR:
            return OutcomeUnknown(f"status {answer.status}")
        return Unavailable(f"status {answer.status}")

    def _url(self, key: str) -> str:
        return f"{self._base_url}/{quote(key, safe='')}"


def _parse_version(answer: HttpAnswer) -> int:
    return int(answer.headers["etag"].strip('"'))


def _parse_row(key: str, answer: HttpAnswer) -> Row:
    return Row(key, _parse_version(answer), answer.headers.get(WRITER_HEADER, ""), answer.body)
