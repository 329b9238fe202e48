"""Relay of an upstream's answer to the caller."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from .caller import CallerRequest
from .connections import UpstreamConnection

__all__ = ["AnswerRelay", "AnswerDiscarder"]

MAX_DISCARDED_BYTES = 65_536


class AnswerRelay(Protocol):
    """Protocol that relays the body of an answer to the caller, with back-pressure.

    Parameters
    ----------
    request : CallerRequest
        Request of the caller.
    connection : UpstreamConnection

    Attributes
    ----------
    done : Deferred of bool
        Fires with True at the end of the body, or with False if the body was truncated.
        Cancelling it resets the upstream's connection.

    Notes
    -----
    While the caller's connection accepts no data, reading from the upstream's connection is paused,
    so that at most the socket buffers and one read are held in memory. The header is not sent
    before the first byte of the body, so that an answer that fails earlier can still be replaced by
    a refusal.
    """

    def __init__(self, request: CallerRequest, connection: UpstreamConnection) -> None:
        self._request = request
        self._connection = connection
        self._is_attached = False
        self.done: Deferred[bool] = Deferred(lambda _: connection.abort_connection())

    def connectionMade(self) -> None:
        """Register the upstream's connection as the producer of the caller's connection."""
        self._is_attached = True
        self._request.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:
        """Forward bytes to the caller."""
        if self._is_attached:
            self._request.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fire `done` with whether the body is complete."""
        self.detach()
        if not self.done.called:
            self.done.callback(reason.check(ResponseDone) is not None)

    def detach(self) -> None:
        """Unregister the producer and forward no more data."""
        if self._is_attached:
            self._is_attached = False
            if not self._request.is_disconnected:
                self._request.unregisterProducer()


class AnswerDiscarder(Protocol):
    """Protocol that discards a short body, so that its connection can be reused."""

    def __init__(self, connection: UpstreamConnection) -> None:
        self._connection: Any = connection
        self._received_bytes = 0

    def dataReceived(self, data: bytes) -> None:
        """Discard bytes; reset the connection if there are too many."""
        self._received_bytes += len(data)
        if self._received_bytes > MAX_DISCARDED_BYTES:
            self._connection.abort_connection()
