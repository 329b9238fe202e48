"""Server side of the request path: callers' connections, requests and final answers."""

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

# Longer bodies are streamed; shorter ones are received completely before the request is sent.
MAX_BUFFERED_BODY_BYTES = 65_536
# Time in which a caller may send the rest of a body after its request has been answered.
LINGER_TIMEOUT = timedelta(seconds=1)
IDLE_TIMEOUT_S = 60
CONTENT_LENGTH = b"content-length"


class RequestHandler(Protocol):
    """Handler of the events of one caller's request."""

    def header_received(self, length: int | None) -> None:
        """Handle the request's header; `length` is the length of its body, None if unknown."""

    def body_received(self, content: bytes) -> None:
        """Handle the complete body of a request whose body is buffered; empty if it has none."""

    def body_too_large(self) -> None:
        """Handle a body that exceeds its limit."""

    def caller_disconnected(self) -> None:
        """Handle the loss of the caller's connection before the final answer."""


class CallerRequest(Request):
    """Request of a caller that is handled as soon as its header has been received.

    Parameters
    ----------
    build_handler : callable
        Takes this request and returns its `RequestHandler`.
    channel : HTTPChannel

    Attributes
    ----------
    stream : StreamedBody or None
        Body of the request, if it is forwarded while it is received.
    body_limit_bytes : int
        Maximum length of the body in bytes.
    """

    def __init__(
        self, build_handler: Callable[["CallerRequest"], RequestHandler], channel: Any
    ) -> None:
        super().__init__(channel, False)
        self.stream: StreamedBody | None = None
        self.body_limit_bytes = 0
        self._build_handler = build_handler
        self._handler: RequestHandler | None = None
        self._buffered_chunks: list[bytes] | None = None
        self._received_bytes = 0
        self._is_body_complete = False
        self._linger_timer: Any = None

    @property
    def is_answered(self) -> bool:
        """Whether the final answer has been sent completely."""
        return bool(self.finished) or self._linger_timer is not None

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller's connection has been lost."""
        return bool(self._disconnected)

    @property
    def caller_host(self) -> str:
        """IP address of the caller."""
        return str(getattr(self.client, "host", ""))

    def parseCookies(self) -> None:
        """Do nothing, since cookies are handled by the upstream."""

    def gotLength(self, length: int | None) -> None:
        """Handle the request's header; called by the channel when it is complete."""
        channel: Any = self.channel
        self.method, self.uri, self.clientproto = channel._command, channel._path, channel._version
        self._handler = self._build_handler(self)
        if length == 0:
            return
        self._handler.header_received(length)

    def buffer_body(self) -> None:
        """Buffer the body until it is complete."""
        self._buffered_chunks = []

    def stream_body(self, length: int | None) -> StreamedBody:
        """Return a producer that forwards the body while it is received."""
        transport: Any = self.transport
        self.stream = StreamedBody(length, transport.pauseProducing, transport.resumeProducing)
        return self.stream

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer or forward a chunk of the body."""
        self._received_bytes += len(data)
        if self._received_bytes > self.body_limit_bytes and (
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
        """Handle the end of the body."""
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
        """Tell the handler that the caller has disconnected."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None
        super().connectionLost(reason)
        if self._handler is not None:
            self._handler.caller_disconnected()

    def begin_answer(self, status: int, phrase: bytes, headers: Headers, close: bool) -> None:
        """Set the header of the final answer; it is sent with the first byte of the body."""
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
        # Closing now would reset the connection, and the caller might lose the answer.
        if self.stream is not None:
            self.stream.discard()
        channel: Any = self.channel
        self._linger_timer = channel.callLater(LINGER_TIMEOUT.total_seconds(), self._end_linger)

    def abort_answer(self) -> None:
        """Reset the connection, so that a truncated answer can't be mistaken for a complete one."""
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
        # A caller that waits for 100 (Continue) must not receive it after the final answer.
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

    The base class answers every malformed request with an empty 400. This class reports a header
    that exceeds a limit, and never writes into an answer that has begun.
    """

    def __init__(self, build_handler: Callable[[CallerRequest], RequestHandler]) -> None:
        super().__init__()
        self.requestFactory: Any = lambda channel, queued: CallerRequest(build_handler, channel)

    def connectionMade(self) -> None:
        """Register with the factory."""
        super().connectionMade()
        self.factory.connections.add(self)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Drop the requests and unregister from the factory."""
        super().connectionLost(reason)
        self.factory.remove_connection(self)

    def allContentReceived(self) -> None:
        """Handle the end of a body, unless its request has been answered and dropped."""
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
    """Protocol factory of the callers' connections.

    Parameters
    ----------
    reactor
        A Twisted reactor that runs the timeouts.
    build_handler : callable
        Takes a `CallerRequest` and returns its `RequestHandler`.
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
        """Close all connections; the Deferred fires once each has sent its buffered output."""
        closed: Deferred[None] = Deferred()
        self._all_closed = closed
        for channel in list(self.connections):
            channel.loseConnection()
        self._check_closed()
        return closed

    def remove_connection(self, channel: CallerChannel) -> None:
        """Remove a lost connection."""
        self.connections.discard(channel)
        self._check_closed()

    def log(self, request: Request) -> None:
        """Write no access log, since spans and metrics replace it."""

    def _check_closed(self) -> None:
        if self._all_closed is not None and not self.connections:
            closed, self._all_closed = self._all_closed, None
            closed.callback(None)
