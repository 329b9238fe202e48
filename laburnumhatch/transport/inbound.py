"""Server connections that callers open."""

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import h11
import logbook
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..clocks import Cancellable, Clock, Timeout
from ..fleet import CallerLimits
from .caller_request import CallerRequest
from .fields import HeaderFields
from .memory_budget import BodyHandling, HeldKind, MemoryBudget
from .outbound import MAX_EVENTS_PER_TURN
from .request_body import RequestBody

__all__ = ["CallerConnection", "CallerFactory"]

# Bytes of pipelined requests above which reading pauses while a response is pending.
MAX_PIPELINED_BYTES = 262_144
# Time after its acceptance for which a connection is not closed as idle by a stopping server: its
# request is on the way.
NEW_CONNECTION_GRACE = timedelta(milliseconds=200)
# Time for which the rest of a body is read and discarded after its request has been answered. To
# close the connection at once would reset it, and the caller might lose the answer.
MAX_DISCARD_TIME = timedelta(seconds=2)
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

_log = logbook.Logger("laburnumhatch.transport")


@implementer(IPushProducer)
class CallerConnection(StreamProtocol):
    """HTTP/1.1 connection of a caller; its requests are handled one at a time, in order."""

    transport: Any
    factory: "CallerFactory"

    def __init__(self, factory: "CallerFactory") -> None:
        self.factory = factory
        limits = factory.limits()
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self._request: CallerRequest | None = None
        self._body: RequestBody | None = None
        self._is_response_pending = False
        # Whether the rest of the body of a request that has been answered is read and discarded.
        self._is_discarding = False
        # Whether the caller sends the body only once it has been told to go on.
        self._is_body_withheld = False
        self._is_closed = False
        self._is_reading_paused = False
        # Whether the send buffer is full, and the bytes that have been added to it since.
        self._is_congested = False
        self._unsent_bytes = 0
        self._timer: Cancellable | None = None
        self._pause_writer: Callable[[], None] | None = None
        self._resume_writer: Callable[[], None] | None = None
        self._is_parsing = False
        self._is_turn_scheduled = False
        self._accepted_at = factory.clock.now()

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has been received and no response is pending."""
        is_between_requests = self._request is None and not self._is_discarding
        return is_between_requests and not self._http.trailing_data[0]

    def can_respond_to(self, request: CallerRequest) -> bool:
        """Return whether a response to `request` can still be sent."""
        return self._request is request and not self._is_closed

    def has_unread_close(self) -> bool:
        """Return whether the caller's close or reset waits to be read.

        Bytes of a further request that wait before the close hide it.
        """
        return self._peek() == b""

    def _has_unread_bytes(self) -> bool:
        return bool(self._peek())

    def _peek(self) -> bytes | None:
        """Return a byte that waits to be read, nothing at the end, or None if neither is there."""
        try:
            return bytes(self.transport.getHandle().recv(1, socket.MSG_PEEK))
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as e:
            _log.debug("a caller's connection failed: {}", e)
            return b""

    def connectionMade(self) -> None:
        """Register the connection with the factory and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.factory.connections.add(self)
        self._set_timer(self.factory.limits().idle_timeout, self._on_idle_timeout)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Call `on_disconnect` of the pending request."""
        self._is_closed = True
        self._clear_timer()
        self._count_unsent(-self._unsent_bytes)
        self.factory.remove(self)
        request, self._request = self._request, None
        if request is not None and self._is_response_pending:
            request.on_disconnect()
        self._release_body()

    def dataReceived(self, data: bytes) -> None:
        """Parse bytes of a request."""
        if self._is_closed:
            return
        if self.is_idle and self._http.our_state is h11.IDLE:
            self._set_timer(self.factory.limits().header_timeout, self._on_request_timeout)
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as e:
            self._reject(e.error_status_hint, str(e))
            return
        self._process_events()

    def begin_response(
        self, status: int, fields: HeaderFields, length: int | None, method: bytes
    ) -> None:
        """Send the header of a response."""
        response_fields = list(fields)
        if length is not None:
            response_fields.append((b"content-length", b"%d" % length))
        elif method != b"HEAD":
            response_fields.append((b"transfer-encoding", b"chunked"))
        if self.factory.is_stopping or self._http.their_state is h11.SEND_BODY:
            response_fields.append((b"connection", b"close"))
        reason = REASON_PHRASES.get(status, b"")
        self._write(h11.Response(status_code=status, headers=response_fields, reason=reason))

    def write_body(self, data: bytes) -> None:
        """Send a part of the body."""
        self._write(h11.Data(data=data))

    def end_response(self) -> None:
        """End the response, then handle the next request or close the connection."""
        self._write(h11.EndOfMessage())
        self._request = None
        self._is_response_pending = False
        self._pause_writer = self._resume_writer = None
        self._release_body()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._set_timer(self.factory.limits().idle_timeout, self._on_idle_timeout)
            if not self._is_parsing:
                self._process_events()
        else:
            self._close_after_body()

    def abort_response(self) -> None:
        """Reset the connection."""
        self._is_closed = True
        self._clear_timer()
        self._release_body()
        self.transport.abortConnection()

    def throttle(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Call `pause` when the send buffer is full and `resume` when it has drained."""
        self._pause_writer, self._resume_writer = pause, resume
        if self._is_congested:
            pause()

    def pauseProducing(self) -> None:
        """Pause the writer of the response."""
        self._is_congested = True
        if self._pause_writer is not None:
            self._pause_writer()

    def resumeProducing(self) -> None:
        """Resume the writer of the response, or go on with the next request."""
        self._is_congested = False
        self._count_unsent(-self._unsent_bytes)
        if self._resume_writer is not None:
            self._resume_writer()
        elif not self._is_parsing:
            self._process_events()

    def stopProducing(self) -> None:
        """Do nothing; Twisted calls `connectionLost` afterwards."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or handled, or may soon be."""
        is_new = self.factory.clock.now() - self._accepted_at < NEW_CONNECTION_GRACE
        if self.is_idle and not self._is_closed and not is_new and not self._has_unread_bytes():
            self._close()

    def _update_reading(self) -> None:
        if self._is_closed:
            return
        should_pause = self._is_turn_scheduled or self._must_wait() or self._has_too_much_input()
        if should_pause != self._is_reading_paused:
            self._is_reading_paused = should_pause
            if should_pause:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()

    def _must_wait(self) -> bool:
        """Return whether the next request has to wait until its caller has read some answers."""
        return self._is_congested and self._request is None and not self._is_discarding

    def _has_too_much_input(self) -> bool:
        if self._body is not None and self._body.is_congested:
            return True
        return self._is_response_pending and len(self._http.trailing_data[0]) > MAX_PIPELINED_BYTES

    def _take_turn(self) -> None:
        self._is_turn_scheduled = False
        self._process_events()

    def _process_events(self) -> None:
        """Handle what can be parsed, in several turns if it is much."""
        if self._is_closed or self._is_turn_scheduled:
            return
        self._is_parsing = True
        try:
            self._handle_events()
        except h11.RemoteProtocolError as e:
            self._reject(e.error_status_hint, str(e))
        finally:
            self._is_parsing = False
        self._update_reading()

    def _handle_events(self) -> None:
        event_count = 0
        while not self._is_closed and not self._must_wait():
            if event_count == MAX_EVENTS_PER_TURN:
                self._schedule_turn()
                return
            event = self._http.next_event()
            event_count += 1
            if event is h11.NEED_DATA:
                self._continue_if_expected()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            self._handle_event(event)

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._begin_request(event)
        elif isinstance(event, h11.Data):
            if not self._is_discarding:
                self._receive_part(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._end_body()

    def _begin_request(self, event: h11.Request) -> None:
        limits, memory = self.factory.limits(), self.factory.memory
        request = self._request = CallerRequest(self, event, self.factory.clock.now())
        self._is_body_withheld = self._http.they_are_waiting_for_100_continue
        self._set_timer(limits.idle_timeout, self._on_request_timeout)
        error = _find_request_error(request, limits)
        if error is not None:
            self._reject(*error)
            return
        length = _body_length(request.fields)
        handling = memory.choose_handling(length)
        if handling is BodyHandling.REFUSE:
            self.factory.refuse(request)
            return
        if length == 0:
            return
        is_streamed = handling is BodyHandling.STREAM
        request.body = self._body = RequestBody(length, memory, is_streamed=is_streamed)
        if is_streamed:
            self._body.on_space = self._schedule_turn
            self._handle_request()

    def _receive_part(self, data: bytes) -> None:
        body, request = self._body, self._request
        assert body is not None and request is not None
        if body.received_bytes + len(data) > self.factory.limits().max_body_bytes:
            self._reject(413, "the body is too large")
        elif not body.append(data):
            self.factory.refuse(request)

    def _end_body(self) -> None:
        if self._is_discarding:
            self._close()
            return
        if self._body is not None:
            self._body.complete()
        if not self._is_response_pending:
            self._handle_request()

    def _handle_request(self) -> None:
        assert self._request is not None
        self._clear_timer()
        self._is_response_pending = True
        self.factory.handle(self._request)

    def _release_body(self) -> None:
        body, self._body = self._body, None
        if body is not None:
            body.release()

    def _schedule_turn(self) -> None:
        """Read and parse on in the next iteration of the event loop."""
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self.factory.clock.call_later(timedelta(), self._take_turn)

    def _count_unsent(self, change: int) -> None:
        self._unsent_bytes += change
        self.factory.memory.add(HeldKind.UNSENT, change)

    def _continue_if_expected(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._is_body_withheld = False
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def _write(self, event: Any) -> None:
        try:
            content = self._http.send(event)
        except h11.LocalProtocolError:
            # A response whose framing is wrong must not look complete, so the connection is reset.
            _log.exception("failed to send a response to a caller; resetting the connection")
            self.abort_response()
            return
        if content:
            self.transport.write(content)
            if self._is_congested:
                self._count_unsent(len(content))

    def _reject(self, status: int, reason: str) -> None:
        self._request = None
        _log.info("rejected a request with status {}: {}", status, reason)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = reason.encode("ascii", "replace")
            fields = [(b"content-length", b"%d" % len(body)), (b"connection", b"close")]
            self._write(
                h11.Response(
                    status_code=status, headers=fields, reason=REASON_PHRASES.get(status, b"")
                )
            )
            self._write(h11.Data(data=body))
            self._write(h11.EndOfMessage())
        self._release_body()
        self._close_after_body()

    def _close_after_body(self) -> None:
        """Close the connection, after the rest of a body that is on its way."""
        if self._http.their_state is h11.SEND_BODY and not self._is_body_withheld:
            self._is_discarding = True
            self._set_timer(MAX_DISCARD_TIME, self._close)
        else:
            self._close()

    def _close(self) -> None:
        """Close the connection once what has been written is sent."""
        self._is_closed = True
        self._set_timer(self.factory.limits().idle_timeout, self.transport.abortConnection)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _on_request_timeout(self) -> None:
        self._reject(408, "the request took too long to arrive")

    def _on_idle_timeout(self) -> None:
        if self._has_unread_bytes():
            # The request arrived in time and is read in this round of the event loop.
            self._set_timer(self.factory.limits().idle_timeout, self._on_idle_timeout)
            return
        self._close()

    def _set_timer(self, delay: timedelta, action: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = Timeout(self.factory.clock, delay, action)

    def _clear_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class CallerFactory(Factory):
    """Twisted factory of the callers' connections.

    Parameters
    ----------
    clock : Clock
    handle : callable
        Called with each complete `CallerRequest`.
    limits : callable
        Returns the current `CallerLimits`.
    memory : MemoryBudget, optional
        Bounds the bytes that are held for callers; without one, they aren't bounded.
    refuse : callable, optional
        Answers a `CallerRequest` whose body doesn't fit into the memory. Required with `memory`.

    Attributes
    ----------
    connections : set of CallerConnection
        The open connections.
    is_stopping : bool
        Whether each connection is closed after its current response.
    """

    noisy = False

    def __init__(
        self,
        clock: Clock,
        handle: Callable[[CallerRequest], None],
        limits: Callable[[], CallerLimits],
        memory: MemoryBudget | None = None,
        refuse: Callable[[CallerRequest], None] = lambda request: None,
    ) -> None:
        self.clock = clock
        self.handle = handle
        self.limits = limits
        self.memory = memory or MemoryBudget()
        self.refuse = refuse
        self._accepted_count = 0
        self.connections: set[CallerConnection] = set()
        self.is_stopping = False

    def buildProtocol(self, addr: Any) -> Any:
        """Return the protocol for a new connection."""
        self._accepted_count += 1
        return CallerConnection(self)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)

    def close_port(self, port: Any) -> None:
        """Accept the connections that wait on a port, and then no more.

        Otherwise the kernel would reset those that it has accepted, with the requests on them.
        """
        accepted_before = -1
        while accepted_before < self._accepted_count:
            accepted_before = self._accepted_count
            port.doRead()
        port.stopListening()

    def close_idle(self) -> None:
        """Close the connections without a request that is being received or handled."""
        for connection in list(self.connections):
            connection.close_if_idle()


def _find_request_error(request: CallerRequest, limits: CallerLimits) -> tuple[int, str] | None:
    """Return the status and reason with which to reject a request, or None if it is acceptable."""
    if request.method == b"CONNECT":
        return 501, "no tunnels are opened here"
    lengths = [value for name, value in request.fields if name == b"content-length"]
    if lengths and any(name == b"transfer-encoding" for name, _ in request.fields):
        # RFC 9112, section 6.1: such a message may be an attempt at request smuggling.
        return 400, "both a length and a transfer coding"
    if lengths and int(lengths[0]) > limits.max_body_bytes:
        return 413, "the body is too large"
    return None


def _body_length(fields: HeaderFields) -> int | None:
    """Return the length of a request's body, or None if it is not known before its end."""
    for name, value in fields:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return None
    return 0
