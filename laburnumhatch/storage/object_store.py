"""Client of the platform's object store over HTTP."""

from urllib.parse import quote

from .http import HttpAnswer, HttpClient, RequestNotSent
from .interfaces import Absent, OutcomeUnknown, Unavailable, Written

__all__ = ["HttpObjectStore"]

OK = 200
NOT_FOUND = 404


class HttpObjectStore:
    """Object store at a base URL, accessed by ``GET`` and ``PUT`` of ``BASE/NAME``."""

    def __init__(self, client: HttpClient, base_url: str) -> None:
        self._client = client
        self._base_url = base_url.rstrip("/")

    async def get(self, name: str) -> bytes | Absent | Unavailable:
        """Return the content of an object."""
        answer = await self._client.call("GET", self._url(name), {})
        if not isinstance(answer, HttpAnswer):
            return Unavailable(answer.reason)
        if answer.status == NOT_FOUND:
            return Absent(name)
        if answer.status != OK:
            return Unavailable(f"status {answer.status}")
        return answer.body

    async def put(self, name: str, content: bytes) -> Written | Unavailable | OutcomeUnknown:
        """Store an object."""
        answer = await self._client.call("PUT", self._url(name), {}, content)
        if isinstance(answer, RequestNotSent):
            return Unavailable(answer.reason)
        if not isinstance(answer, HttpAnswer):
            return OutcomeUnknown(answer.reason)
        if answer.status != OK:
            return OutcomeUnknown(f"status {answer.status}")
        return Written(1)

    def _url(self, name: str) -> str:
        return f"{self._base_url}/{quote(name, safe='')}"
