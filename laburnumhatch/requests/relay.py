"""The way of an upstream's answer to the caller."""

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
    """Passes the body of an answer to the caller as it comes, with back-pressure.

    Parameters
    ----------
    request : CallerRequest
        The caller's.
    connection : UpstreamConnection

    Attributes
    ----------
    done : Deferred of bool
        Fires at the end of the body; False where it was cut short. Cancelling closes the
        upstream's connection.

    Notes
    -----
    The caller's connection pauses the upstream's while it is full, so that no more than the
    sockets' buffers and one read wait here. The header is held back until the first byte of the
    body, so that an answer that breaks before it can still be refused.
    """

    def __init__(self, request: CallerRequest, connection: UpstreamConnection) -> None:
        self._request = request
        self._connection = connection
        self._is_attached = False
        self.done: Deferred[bool] = Deferred(lambda _: connection.abort_connection())

    def connectionMade(self) -> None:
        """Let the caller's connection pause the upstream's."""
        self._is_attached = True
        self._request.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on."""
        if self._is_attached:
            self._request.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end of the body."""
        self.detach()
        if not self.done.called:
            self.done.callback(reason.check(ResponseDone) is not None)

    def detach(self) -> None:
        """Let the two connections run on their own from now on."""
        if self._is_attached:
            self._is_attached = False
            if not self._request.is_disconnected:
                self._request.unregisterProducer()


class AnswerDiscarder(Protocol):
    """Reads a short body to its end, so that its connection can be used again."""

    def __init__(self, connection: UpstreamConnection) -> None:
        self._connection: Any = connection
        self._received_bytes = 0

    def dataReceived(self, data: bytes) -> None:
        """Drop bytes, and the connection where there are too many."""
        self._received_bytes += len(data)
        if self._received_bytes > MAX_DISCARDED_BYTES:
            self._connection.abort_connection()
