"""Client of the platform's instance list over HTTP."""

from pydantic import TypeAdapter, ValidationError

from .http import HttpAnswer, HttpClient
from .interfaces import ListedInstance, Unavailable

__all__ = ["HttpInstanceList"]

OK = 200
_INSTANCES_ADAPTER = TypeAdapter(tuple[ListedInstance, ...])


class HttpInstanceList:
    """Instance list at a URL: a JSON array of objects with the fields of `ListedInstance`."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def fetch(self) -> tuple[ListedInstance, ...] | Unavailable:
        """Return the platform's current list."""
        answer = await self._client.call("GET", self._url, {})
        if not isinstance(answer, HttpAnswer):
            return Unavailable(answer.reason)
        if answer.status != OK:
            return Unavailable(f"status {answer.status}")
        try:
            return _INSTANCES_ADAPTER.validate_json(answer.body)
        except ValidationError as e:
            return Unavailable(f"not a list of instances: {e}")
