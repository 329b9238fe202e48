"""Writer of a request's body to a connection, as fast as the connection takes it."""

from typing import Any

import h11
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from .request_body import RequestBody

__all__ = ["BodyWriter"]


@implementer(IPushProducer)
class BodyWriter:
    """Writes one body.

    Parameters
    ----------
    transport
        Twisted transport.
    http : h11.Connection
        State of a connection that has sent the header of the request.
    body : RequestBody

    Attributes
    ----------
    is_finished : bool
        Whether the whole body has been handed to the transport.
    """

    def __init__(self, transport: Any, http: h11.Connection, body: RequestBody) -> None:
        self._transport = transport
        self._http = http
        self._body = body
        self._parts = body.take_parts()
        self._is_paused = self._is_cancelled = False
        self.is_finished = False
        body.acquire()

    def start(self) -> None:
        """Write as much as the transport takes, and the rest later."""
        self._transport.registerProducer(self, True)
        if self._body.is_streamed:
            self._body.on_part = self._write_parts
        self._write_parts()

    def cancel(self) -> None:
        """Write no more, because the connection is closed."""
        if not self.is_finished and not self._is_cancelled:
            self._is_cancelled = True
            self._end()

    def pauseProducing(self) -> None:
        """Wait until the transport has sent what it holds."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Write further parts."""
        self._is_paused = False
        self._write_parts()

    def stopProducing(self) -> None:
        """Write no more."""
        self.cancel()

    def _write_parts(self) -> None:
        while not (self._is_paused or self.is_finished or self._is_cancelled):
            try:
                part = next(self._parts)
            except StopIteration:
                self._http.send(h11.EndOfMessage())
                self.is_finished = True
                self._end()
                return
            if part is None:
                return
            self._transport.write(self._http.send(h11.Data(data=part)))  # type: ignore[arg-type]

    def _end(self) -> None:
        self._transport.unregisterProducer()
        if self._body.is_streamed:
            self._body.on_part = lambda: None
        self._body.release()
