"""HTTP client shared by the platform's services."""

from dataclasses import dataclass
from typing import Any

import treq
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from ..clocks import Clock, milliseconds

__all__ = ["HttpAnswer", "HttpClient", "NotSent", "ReplyLost"]

CALL_TIMEOUT = milliseconds(1500)
CONNECT_TIMEOUT = milliseconds(500)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP answer; `headers` has names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made, so the server did not see the call.

    Attributes
    ----------
    reason : str
    refused : bool
        Whether the machine answered that nothing listens there.
    """

    reason: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """The call went out and no complete answer came."""

    reason: str


class HttpClient:
    """Calls to one of the platform's services, each with a timeout.

    Parameters
    ----------
    reactor
        A Twisted reactor that connects and keeps time.
    clock : Clock
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._clock = clock
        # Retrying inside the pool would hide whether a write went out once or twice.
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._agent: Any = Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT.total_seconds(), pool=self._pool
        )

    async def call(
        self, method: str, url: str, headers: dict[str, str], body: bytes = b""
    ) -> HttpAnswer | NotSent | ReplyLost:
        """Return the whole answer to one HTTP call, or why there is none.

        Raises
        ------
        CancelledError
            If the caller gives the call up before its timeout.
        """
        call = Deferred.fromCoroutine(self._call(method, url, headers, body))
        timeout = self._clock.call_later(CALL_TIMEOUT, call.cancel)
        try:
            return await call
        except ConnectError as e:
            return NotSent(f"{url}: {e}", isinstance(e, ConnectionRefusedError))
        except CancelledError:
            if timeout.active():
                raise
            return ReplyLost(f"{url}: no answer within {CALL_TIMEOUT}")
        except Exception as e:
            return ReplyLost(f"{url}: {type(e).__name__}: {e}")
        finally:
            if timeout.active():
                timeout.cancel()

    async def _call(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> HttpAnswer:
        sent = Headers({name: [value] for name, value in headers.items()})
        response = await treq.request(method, url, headers=sent, data=body, agent=self._agent)
        content = await response.content()
        return HttpAnswer(response.code, _plain_headers(response.headers), content)


def _plain_headers(headers: Headers) -> dict[str, str]:
    pairs = headers.getAllRawHeaders()
    return {name.decode().lower(): values[-1].decode("latin-1") for name, values in pairs}
