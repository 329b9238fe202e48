"""The callers' side: connections, requests and their final answers."""

import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, HTTPFactory, Request
from twisted.web.http_headers import Headers

from ..results import PROBLEM_CONTENT_TYPE, Refusal, ResultCode, problem_document
from .body import StreamedBody
from .headers import retry_after_value

__all__ = ["CallerFactory", "CallerRequest", "RequestHandler"]

# Longest body that is read whole before the request is sent.
MAX_BUFFERED_BODY_BYTES = 65_536
# Time that a caller gets to send the rest of a body whose request has its answer.
LINGER_TIMEOUT = timedelta(seconds=1)
IDLE_TIMEOUT_S = 60
CONTENT_LENGTH = b"content-length"


class RequestHandler(Protocol):
    """What handles one caller's request."""

    def header_received(self, length: int | None) -> None:
        """Take the request once its header is in; `length` as of its body, None if unknown."""

    def body_received(self, content: bytes) -> None:
        """Take the whole body of a request whose body is kept, empty for one without."""

    def body_too_large(self) -> None:
        """The body grew beyond its limit."""

    def caller_disconnected(self) -> None:
        """The caller's connection was lost before the final answer."""


class CallerRequest(Request):
    """Request of a caller, handled from its header on rather than when its body is in.

    Parameters
    ----------
    build_handler : callable
        Takes this request, returns its `RequestHandler`.
    channel : HTTPChannel

    Attributes
    ----------
    stream : StreamedBody or None
        The body, where it is passed on as it comes.
    body_limit : int
        Bytes.
    """

    def __init__(
        self, build_handler: Callable[["CallerRequest"], RequestHandler], channel: Any
    ) -> None:
        super().__init__(channel, False)
        self.stream: StreamedBody | None = None
        self.body_limit = 0
        self._build_handler = build_handler
        self._handler: RequestHandler | None = None
        self._buffered_chunks: list[bytes] | None = None
        self._received_bytes = 0
        self._is_body_complete = False
        self._linger_timer: Any = None

    @property
    def is_answered(self) -> bool:
        """Whether the final answer has ended."""
        return bool(self.finished) or self._linger_timer is not None

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller's connection is gone."""
        return bool(self._disconnected)

    @property
    def caller_host(self) -> str:
        """IP number of the caller."""
        return str(getattr(self.client, "host", ""))

    def parseCookies(self) -> None:
        """Leave cookies alone: they are the upstream's."""

    def gotLength(self, length: int | None) -> None:
        """Take the request's header; called by the channel once it is in."""
        channel: Any = self.channel
        self.method, self.uri, self.clientproto = channel._command, channel._path, channel._version
        self._handler = self._build_handler(self)
        if length == 0:
            return
        self._handler.header_received(length)

    def buffer_body(self) -> None:
        """Read the body whole before the request is sent."""
        self._buffered_chunks = []

    def stream_body(self, length: int | None) -> StreamedBody:
        """Pass the body on as it comes."""
        transport: Any = self.transport
        self.stream = StreamedBody(length, transport.pauseProducing, transport.resumeProducing)
        return self.stream

    def handleContentChunk(self, data: bytes) -> None:
        """Take a part of the body."""
        self._received_bytes += len(data)
        if self._received_bytes > self.body_limit and (
            self._buffered_chunks is not None or self.stream
        ):
            self._buffered_chunks = None
            assert self._handler is not None
            self._handler.body_too_large()
            return
        if self._buffered_chunks is not None:
            self._buffered_chunks.append(data)
        elif self.stream is not None:
            self.stream.add(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Take the end of the body."""
        self._is_body_complete = True
        if self.finished:
            return
        if self._linger_timer is not None:
            self._end_linger()
            return
        if self.stream is not None:
            self.stream.mark_complete()
            return
        assert self._handler is not None
        if self._received_bytes == 0 and self._buffered_chunks is None:
            self._handler.header_received(0)
            return
        content, self._buffered_chunks = b"".join(self._buffered_chunks or ()), None
        self._handler.body_received(content)

    def connectionLost(self, reason: Failure) -> None:
        """Tell the handler that the caller is gone."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None
        super().connectionLost(reason)
        if self._handler is not None:
            self._handler.caller_disconnected()

    def begin_answer(self, status: int, phrase: bytes, headers: Headers, close: bool) -> None:
        """Set the header of the final answer; it goes out with the first byte of the body."""
        self.setResponseCode(status, phrase)
        self.responseHeaders = headers
        channel: Any = self.channel
        if close or not self._is_body_complete:
            channel.persistent = False
        if not channel.persistent:
            headers.setRawHeaders(b"connection", [b"close"])

    def end_answer(self) -> None:
        """End the final answer."""
        if self._is_body_complete:
            self.finish()
            return
        if not self.startedWriting:
            self.write(b"")
        # Closing now would reset the connection and might take the answer with it.
        if self.stream is not None:
            self.stream.discard()
        channel: Any = self.channel
        self._linger_timer = channel.callLater(LINGER_TIMEOUT.total_seconds(), self._end_linger)

    def abort_answer(self) -> None:
        """Break the connection, so that the caller can't take a cut answer for a whole one."""
        transport: Any = self.transport
        transport.abortConnection()

    def refuse(self, refusal: Refusal, trace_id: str, request_id: str, close: bool) -> None:
        """Send a refusal as the final answer."""
        body = json.dumps(problem_document(refusal, trace_id)).encode()
        headers = Headers()
        headers.setRawHeaders(b"content-type", [PROBLEM_CONTENT_TYPE.encode()])
        headers.setRawHeaders(CONTENT_LENGTH, [b"%d" % len(body)])
        headers.setRawHeaders(b"request-id", [request_id.encode()])
        if refusal.retry_after is not None:
            headers.setRawHeaders(b"retry-after", [retry_after_value(refusal.retry_after)])
        # A caller that waits for 100 (Continue) must not get it after its final answer.
        self.requestHeaders.removeHeader(b"expect")
        self.begin_answer(refusal.code.status, refusal.code.title.encode(), headers, close)
        self.write(body)
        self.end_answer()

    def _end_linger(self) -> None:
        linger, self._linger_timer = self._linger_timer, None
        if linger is not None and linger.active():
            linger.cancel()
        self.finish()


class CallerChannel(HTTPChannel):
    """Connection of a caller.

    The base class answers every malformed request with a bare 400; this one says which limit a
    header exceeds, and never writes into an answer that has begun.
    """

    def __init__(self, build_handler: Callable[[CallerRequest], RequestHandler]) -> None:
        super().__init__()
        self.requestFactory: Any = lambda channel, queued: CallerRequest(build_handler, channel)

    def connectionMade(self) -> None:
        """Register with the factory."""
        super().connectionMade()
        self.factory.connections.add(self)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Drop the requests, and leave the factory."""
        super().connectionLost(reason)
        self.factory.remove_connection(self)

    def allContentReceived(self) -> None:
        """Pass the end of a body on, unless its request has been answered and dropped."""
        if self.requests:
            super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a header line that is too long."""
        self._refuse_header(ResultCode.HEADER_TOO_LARGE)

    def _respondToBadRequestAndDisconnect(self) -> None:
        is_large = (
            self._receivedHeaderSize > self.totalHeadersSize
            or self._receivedHeaderCount > self.maxHeaders
        )
        self._refuse_header(ResultCode.HEADER_TOO_LARGE if is_large else None)

    def _refuse_header(self, code: ResultCode | None) -> None:
        transport: Any = self.transport
        if self.requests and self.requests[-1].startedWriting:
            transport.abortConnection()
            return
        if code is None:
            transport.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n")
            transport.write(b"Connection: close\r\n\r\n")
        else:
            body = json.dumps(problem_document(Refusal(code))).encode()
            transport.write(b"HTTP/1.1 %d %s\r\n" % (code.status, code.title.encode()))
            transport.write(b"Content-Type: %s\r\n" % PROBLEM_CONTENT_TYPE.encode())
            transport.write(b"Content-Length: %d\r\n" % len(body))
            transport.write(b"Connection: close\r\n\r\n" + body)
        self.loseConnection()


class CallerFactory(HTTPFactory):
    """Factory of the callers' connections.

    Parameters
    ----------
    reactor
        A Twisted reactor, for the timeouts.
    build_handler : callable
        Takes a `CallerRequest`, returns its `RequestHandler`.
    """

    noisy = False

    def __init__(
        self, reactor: Any, build_handler: Callable[[CallerRequest], RequestHandler]
    ) -> None:
        super().__init__(timeout=IDLE_TIMEOUT_S, reactor=reactor)
        self.protocol: Any = lambda: CallerChannel(build_handler)
        self.connections: set[CallerChannel] = set()
        self._all_closed: Deferred[None] | None = None

    def close_connections(self) -> Deferred[None]:
        """Close all connections; fires once each has sent what it had to send."""
        closed: Deferred[None] = Deferred()
        self._all_closed = closed
        for channel in list(self.connections):
            channel.loseConnection()
        self._check_closed()
        return closed

    def remove_connection(self, channel: CallerChannel) -> None:
        """Drop a connection that was lost."""
        self.connections.discard(channel)
        self._check_closed()

    def log(self, request: Request) -> None:
        """Write no access log: spans and metrics take its place."""

    def _check_closed(self) -> None:
        if self._all_closed is not None and not self.connections:
            closed, self._all_closed = self._all_closed, None
            closed.callback(None)
