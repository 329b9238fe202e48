"""HTTP client for the daemon's own calls, as opposed to requests that it forwards."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from ..clocks import Clock, milliseconds

__all__ = ["HttpAnswer", "HttpClient", "ReplyLost", "RequestNotSent"]

CALL_TIMEOUT = milliseconds(1500)
CONNECT_TIMEOUT = milliseconds(500)
MAX_IDLE_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP response.

    Attributes
    ----------
    status : int
    headers : dict of str to str
        Last value of each header field, by name in lower case.
    body : bytes
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestNotSent:
    """The connection could not be established, so the server did not receive the request.

    Attributes
    ----------
    reason : str
    refused : bool
        Whether the connection was refused, so that nothing listens at the address.
    """

    reason: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """The request may have been sent, but no complete response arrived."""

    reason: str


@implementer(IBodyProducer)
class _BodyProducer:
    """Producer of a request body that is written in one piece."""

    def __init__(self, content: bytes) -> None:
        self._content = content
        self.length = len(content)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


class _BodyReceiver(Protocol):
    """Receiver of a response body; a body that may be truncated is an error."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self.received_body: Deferred[bytes] = Deferred(self._abort)

    def dataReceived(self, data: bytes) -> None:
        self._chunks.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.received_body.called:
            return
        if reason.check(ResponseDone):
            self.received_body.callback(b"".join(self._chunks))
        else:
            self.received_body.errback(reason)

    def _abort(self, received_body: Deferred[bytes]) -> None:
        transport: Any = self.transport
        transport.stopProducing()


class HttpClient:
    """HTTP client whose calls return a complete response, each with a timeout.

    Parameters
    ----------
    reactor
        A Twisted reactor that provides connections and time.
    clock : Clock
    connect_timeout : timedelta, optional
    max_idle_connections : int, optional
        Maximum number of idle connections that are kept open for each server.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        self._clock = clock
        # Retries inside the pool would hide whether a write was sent once or twice.
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = max_idle_connections
        self._agent: Any = Agent(
            reactor, connectTimeout=connect_timeout.total_seconds(), pool=self._pool
        )

    async def call(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout: timedelta = CALL_TIMEOUT,
    ) -> HttpAnswer | RequestNotSent | ReplyLost:
        """Return the response to one HTTP request, or the reason why there is none.

        Notes
        -----
        A call that is cancelled from outside raises ``CancelledError`` or returns `ReplyLost`.
        """
        call = Deferred.fromCoroutine(self._call(method, url, headers, body))
        timer = self._clock.call_later(timeout, call.cancel)
        try:
            return await call
        except ConnectError as e:
            return RequestNotSent(f"{url}: {e}", isinstance(e, ConnectionRefusedError))
        except CancelledError:
            if timer.active():
                raise
            return ReplyLost(f"{url}: no answer within {timeout}")
        except Exception as e:
            return ReplyLost(f"{url}: {type(e).__name__}: {e}")
        finally:
            if timer.active():
                timer.cancel()

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()

    async def _call(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> HttpAnswer:
        request_headers = Headers({name: [value] for name, value in headers.items()})
        producer = _BodyProducer(body) if body else None
        response = await self._agent.request(
            method.encode(), url.encode(), request_headers, producer
        )
        receiver = _BodyReceiver()
        response.deliverBody(receiver)
        body = await receiver.received_body
        return HttpAnswer(response.code, _headers_by_name(response.headers), body)


def _headers_by_name(headers: Headers) -> dict[str, str]:
    raw_headers = headers.getAllRawHeaders()
    return {name.decode().lower(): values[-1].decode("latin-1") for name, values in raw_headers}
