"""HTTP client for tests and the demo."""

import json
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import treq
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from ..clocks import Clock, milliseconds

__all__ = ["Answer", "Caller", "RequestFailure"]

DEFAULT_TIMEOUT = milliseconds(30_000)


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete HTTP response; the names in `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> Any:
        """Body, decoded from JSON."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """Result of a request without a complete response, and the reason."""

    reason: str


class Caller:
    """HTTP client that sends each request once, without retries.

    Parameters
    ----------
    reactor
        A Twisted reactor.
    clock : Clock
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._clock = clock
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._agent: Any = Agent(reactor, pool=self._pool)

    async def send(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: timedelta = DEFAULT_TIMEOUT,
    ) -> Answer | RequestFailure:
        """Return the complete response to a request, or the reason why there is none."""
        sent = Deferred.fromCoroutine(self._send(method, url, headers or {}, body))
        timer = self._clock.call_later(timeout, sent.cancel)
        try:
            return await sent
        except CancelledError:
            return RequestFailure(f"no answer within {timeout}")
        except Exception as e:
            return RequestFailure(f"{type(e).__name__}: {e}")
        finally:
            if timer.active():
                timer.cancel()

    async def close(self) -> None:
        """Close the idle connections of the pool."""
        await self._pool.closeCachedConnections()

    async def _send(self, method: str, url: str, headers: dict[str, str], body: bytes) -> Answer:
        sent = Headers({name: [value] for name, value in headers.items()})
        response = await treq.request(method, url, headers=sent, data=body, agent=self._agent)
        content = await response.content()
        names = response.headers.getAllRawHeaders()
        headers_by_name = {
            name.decode().lower(): values[-1].decode("latin-1") for name, values in names
        }
        return Answer(response.code, headers_by_name, content)
