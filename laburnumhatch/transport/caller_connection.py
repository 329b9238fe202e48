"""Server connection that a caller has opened."""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import h11
import logbook
from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from ..clocks import Cancellable, Timeout
from .caller_request import CallerRequest
from .connection_limit import CloseRank
from .input_buffer import InputBuffer
from .memory_budget import BodyHandling, HeldKind, fields_size
from .outbound import MAX_EVENTS_PER_TURN
from .peek import has_failed, has_undelivered_bytes, peek
from .request_body import DiscardedBody, RequestBody
from .request_checks import body_length, find_request_error
from .request_cycle import RequestCycle
from .request_queue import RequestQueue
from .unanswered import AnswerTrack, UnansweredCause

if TYPE_CHECKING:
    from .inbound import CallerFactory

__all__ = ["MAX_DISCARD_TIME", "CallerConnection"]

# Bytes of unparsed requests above which a connection isn't read.
MAX_PIPELINED_BYTES = 262_144
# Bytes that are given to the parser at once. A parser keeps what it doesn't use until its request
# is answered, so those of requests behind unanswered ones get less.
SLICE_BYTES = 65_536
SLICE_BEHIND_BYTES = 4096
# Time after its acceptance for which a connection is not closed as idle by a stopping server: its
# request is on the way.
NEW_CONNECTION_GRACE = timedelta(milliseconds=200)
# Time for which the rest of a body is read and discarded after its request has been answered. To
# close the connection at once would reset it, and the caller might lose the answer.
MAX_DISCARD_TIME = timedelta(seconds=2)
# Time for which a socket is kept after a close has been delivered, unless the caller closes it
# before. What a caller sends until it learns of the close would reset a socket that is gone, and
# the caller would lose answers that it hasn't read (RFC 9112, section 9.6).
LINGER_TIME = timedelta(seconds=1)
LINGER_CHECK_INTERVAL = timedelta(milliseconds=100)

_log = logbook.Logger("laburnumhatch.transport")


@implementer(IHalfCloseableProtocol, IPushProducer)
class CallerConnection(StreamProtocol):
    """HTTP/1.1 connection of a caller.

    Up to `CallerFactory.max_requests` requests are handled at the same time; their responses are
    sent in the order of the requests.
    """

    transport: Any
    factory: "CallerFactory"

    def __init__(self, factory: "CallerFactory") -> None:
        self.factory = factory
        self._queue = RequestQueue(factory.memory)
        self._queue.append(RequestCycle(self, self._new_http(), is_first=True))
        self._answers = AnswerTrack(factory.unanswered_report)
        self._input = InputBuffer()
        self._is_reading_paused = False
        # Whether the send buffer is full, and the bytes that have been added to it since.
        self._is_congested = False
        self._unsent_bytes = 0
        self._timer: Cancellable | None = None
        self._is_parsing = False
        self._is_advancing = False
        self._is_turn_scheduled = False
        self._accepted_at = self.waiting_since = factory.clock.now()
        self._counted_input = 0
        # Whether an answer has been sent, which its caller may not have read.
        self._has_answered = False
        # When the socket is closed, once what was written is with the kernel, and the latest time.
        self._lingers_until: timedelta | None = None
        self._closes_by = timedelta()
        self.is_closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has been received and no response is pending."""
        first = self._queue.first
        is_between_requests = len(self._queue) == 1 and first.request is None and not first.is_over
        return is_between_requests and not self._input and not first.http.trailing_data[0]

    @property
    def close_rank(self) -> CloseRank | None:
        """When the connection is closed if connections are short; None for not at all."""
        if self.is_closed:
            return None if self._lingers_until is None else CloseRank.IDLE
        first = self._queue.first
        if first.is_over or not first.is_handled:
            return (
                CloseRank.IDLE if self.is_idle and not self._is_congested else CloseRank.UNFINISHED
            )
        sends_ahead = not first.is_received or len(self._queue) > 1 or bool(self._input)
        return CloseRank.AHEAD if sends_ahead or self._is_congested else None

    def has_unread_close(self) -> bool:
        """Return whether the caller's close or reset waits to be read.

        Bytes of a further request that wait before the close hide it.
        """
        return peek(self.transport) == b""

    def _has_unread_bytes(self) -> bool:
        return bool(peek(self.transport))

    def connectionMade(self) -> None:
        """Register the connection with the factory and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.factory.add(self)
        self._set_timer(self.factory.limits().idle_timeout, self._on_idle_timeout)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Call `on_disconnect` of the pending requests."""
        is_exiting = self.factory.is_exiting
        self._answers.report_end(self._queue, self.transport, reason, is_exiting=is_exiting)
        self._drop_input()
        self._clear_timer()
        self._count_unsent(-self._unsent_bytes)
        self.factory.remove(self)
        self._queue.drop_all()
        self._queue.first.forget_request()

    def readConnectionLost(self) -> None:
        """Deliver what is complete, and end the connection.

        A caller that has left can't be told from one that only ends its sending side, so requests
        without a complete answer are given up.
        """
        if has_failed(self.transport):
            self._answers.note_cause(UnansweredCause.CALLER_RESET)
        elif not self.is_closed and self._queue.first.request is None:
            self._close()
            return
        self.transport.connectionLost(connectionDone)

    def writeConnectionLost(self) -> None:
        """Keep the socket for a while after a close that is with the kernel."""
        self._count_unsent(-self._unsent_bytes)
        self._lingers_until = self.factory.clock.now() + LINGER_TIME
        self._linger()

    def dataReceived(self, data: bytes) -> None:
        """Parse bytes of requests."""
        if self.is_closed:
            return
        if self.is_idle:
            self._set_timer(self.factory.limits().header_timeout, self._on_request_timeout)
        last = self._queue.last
        taken_ahead = len(last.http.trailing_data[0])
        self._input.append(data, self.factory.clock.now(), taken_ahead)
        if self._may_parse(last) and not self._is_turn_scheduled:
            self._feed_parser(last)
        self._process_events()

    # Methods that the cycles call.

    def write(self, content: bytes) -> None:
        """Send bytes of the first response."""
        self.transport.write(content)
        self._answers.written_bytes += len(content)
        if self._is_congested:
            self._count_unsent(len(content))

    def count_waiting(self, change: int) -> None:
        """Count bytes of a response that waits for an earlier one."""
        self._queue.count_waiting(change)

    def should_pause_writer(self, cycle: RequestCycle) -> bool:
        """Return whether the writer of a response should write no more for now."""
        return self._is_congested if cycle.is_first else self._queue.should_pause_waiting

    def call_soon(self, action: Callable[[], None]) -> None:
        """Call `action` in the next iteration of the event loop."""
        self.call_later(timedelta(), action)

    def call_later(self, delay: timedelta, action: Callable[[], None]) -> None:
        """Call `action` after a delay, also if the connection is closed by then."""
        self.factory.clock.call_later(delay, action)

    def must_close_after(self, cycle: RequestCycle) -> bool:
        """Return whether a stopping server answers no request behind the one of `cycle`."""
        return self.factory.is_stopping and not self._queue.has_begun_behind(cycle)

    def on_closing_response(self, cycle: RequestCycle) -> None:
        """Drop the requests behind one whose response closes the connection."""
        self._answers.report_dropped(self._queue.behind(cycle), UnansweredCause.BEHIND)
        self._queue.drop_behind(cycle)

    def on_response_over(self) -> None:
        """Send the response that is next if the first is complete."""
        self._advance()

    def on_response_broken_off(self, cycle: RequestCycle) -> None:
        """End the connection after the responses before, and after what was sent of this one.

        A reset would take those that the caller hasn't read. It is for a response whose framing
        doesn't show that it is incomplete, or that is the only one.
        """
        self._answers.report_dropped(self._queue.behind(cycle), UnansweredCause.BROKEN_OFF)
        if cycle.is_first:
            if self._has_answered and cycle.shows_its_end:
                self._close()
            else:
                self._abort(UnansweredCause.BROKEN_OFF)
        self._queue.drop_behind(cycle)

    # Methods of `IPushProducer`.

    def pauseProducing(self) -> None:
        """Pause the writer of the first response."""
        self._is_congested = True
        self._queue.first.update_writer()

    def resumeProducing(self) -> None:
        """Resume the writer of the first response, and go on with the next request."""
        self._is_congested = False
        self._count_unsent(-self._unsent_bytes)
        self._queue.first.update_writer()
        if not self._is_parsing:
            self._process_events()

    def stopProducing(self) -> None:
        """Do nothing; Twisted calls `connectionLost` afterwards."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or handled, or may soon be."""
        is_new = self.factory.clock.now() - self._accepted_at < NEW_CONNECTION_GRACE
        if self.is_idle and not self.is_closed and not is_new and not self._has_unread_bytes():
            self._close()

    def close_for_others(self) -> bool:
        """Close the connection, since connections are short, unless a request has arrived on it."""
        if self._lingers_until is not None:
            self.transport.loseConnection()
        elif self.close_rank is CloseRank.IDLE:
            if self._has_unread_bytes():
                return False
            self._close()
        else:
            self._abort(UnansweredCause.FOR_OTHERS)
        return True

    # Order of the responses.

    def _advance(self) -> None:
        """Go on to the next request while the first one is answered."""
        if self._is_advancing:
            return
        self._is_advancing = True
        try:
            while not self.is_closed and self._queue.first.is_over:
                if not self._leave_first():
                    break
        finally:
            self._is_advancing = False
        if not self._is_parsing:
            self._process_events()

    def _leave_first(self) -> bool:
        """Make the next request the first; return whether there may be one on the connection."""
        done = self._queue.first
        self._has_answered = True
        if not (done.http.our_state is h11.DONE and done.http.their_state is h11.DONE):
            self._close_after_body(done)
            return False
        self._answers.note_answered(done.request)
        following = None
        if len(self._queue) == 1:
            done.http.start_next_cycle()
            following = RequestCycle(self, done.http, is_first=True)
        first = self._queue.replace_first(following)
        self.waiting_since = self.factory.clock.now()
        if first.request is None and not first.is_over:
            self._set_timer(self.factory.limits().idle_timeout, self._on_idle_timeout)
        first.become_first()
        if first.is_body_held:
            assert first.request is not None
            first.is_body_held = False
            self._begin_body(first, first.request, body_length(first.request.fields))
        self._queue.update_writers()
        return True

    # Reading.

    def _new_http(self) -> h11.Connection:
        max_header_bytes = self.factory.limits().max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)

    def _update_reading(self) -> None:
        if self.is_closed:
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
        last = self._queue.last
        return self._is_congested and last.request is None and not last.is_over

    def _has_too_much_input(self) -> bool:
        body = self._queue.last.body
        if body is not None and body.is_congested:
            return True
        may_read_ahead = self.factory.memory.may_read_ahead
        return len(self._input) > (MAX_PIPELINED_BYTES if may_read_ahead else 0)

    def _take_turn(self) -> None:
        self._is_turn_scheduled = False
        self._process_events()

    def _process_events(self) -> None:
        """Handle what can be parsed, in several turns if it is much."""
        if self.is_closed or self._is_turn_scheduled:
            return
        self._is_parsing = True
        try:
            self._handle_events()
        except h11.RemoteProtocolError as e:
            self._reject(e.error_status_hint, str(e))
        finally:
            self._is_parsing = False
        if not self.is_closed:
            size = len(self._input) + len(self._queue.last.http.trailing_data[0])
            if size != self._counted_input:
                self._count_input(size)
                if size > self.factory.limits().max_header_bytes:
                    self._close_if_input_is_short()
        self._update_reading()

    def _handle_events(self) -> None:
        event_count = 0
        while not self.is_closed and not self._must_wait():
            if event_count == MAX_EVENTS_PER_TURN:
                self._schedule_turn()
                return
            last = self._queue.last
            if last.is_received:
                if not self._begin_next_cycle():
                    return
                continue
            if not self._may_parse(last):
                return
            event = last.http.next_event()
            event_count += 1
            if event is h11.NEED_DATA:
                if self._input:
                    self._feed_parser(last)
                    continue
                self._continue_if_expected(last)
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            self._handle_event(last, event)

    def _may_parse(self, cycle: RequestCycle) -> bool:
        """Return whether a request is read; a stopping server takes none behind another one."""
        is_new = cycle.request is None and not cycle.is_first
        return cycle.is_readable and not (is_new and self.factory.is_stopping)

    def _feed_parser(self, cycle: RequestCycle) -> None:
        size = SLICE_BYTES if cycle.is_first else SLICE_BEHIND_BYTES
        cycle.http.receive_data(self._input.take(size))

    def _begin_next_cycle(self) -> bool:
        """Begin to parse a request behind unanswered ones, unless it has to wait.

        Meanwhile the connection is read up to a bound, so that the caller's close is noticed.
        """
        last, factory = self._queue.last, self.factory
        if (
            len(self._queue) >= factory.max_requests
            or not last.may_be_followed
            or self._is_congested
            or self._queue.holds_too_much
            or factory.connection_limit.is_short
        ):
            return False
        self._input.put_back(last.http.trailing_data[0])
        if not self._input:
            return False
        http = self._new_http()
        http.receive_data(self._input.take(SLICE_BEHIND_BYTES))
        self._queue.append(RequestCycle(self, http, is_first=False))
        return True

    def _handle_event(self, cycle: RequestCycle, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._begin_request(cycle, event)
        elif isinstance(event, h11.Data):
            if not cycle.is_discarding:
                self._receive_part(cycle, event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._end_body(cycle)

    def _begin_request(self, cycle: RequestCycle, event: h11.Request) -> None:
        limits = self.factory.limits()
        received_at = self._input.last_arrival(len(cycle.http.trailing_data[0]))
        request = cycle.request = CallerRequest(cycle, event, received_at)
        cycle.is_body_withheld = cycle.http.they_are_waiting_for_100_continue
        error = find_request_error(request, limits)
        length = body_length(request.fields)
        size = fields_size(len(request.fields))
        if error is not None:
            self._reject(*error)
        elif size and not self._take_fields(cycle, request, size):
            return
        elif cycle.is_first or length == 0:
            self._begin_body(cycle, request, length)
        else:
            cycle.is_body_held = True

    def _take_fields(self, cycle: RequestCycle, request: CallerRequest, size: int) -> bool:
        """Count many header fields, or refuse the request if they don't fit into the memory."""
        if self.factory.memory.may_take_fields(size):
            cycle.count_fields(size)
            return True
        self.factory.refuse(request)
        # The connection is open until the rest of the body has been discarded.
        request.fields = []
        return False

    def _begin_body(self, cycle: RequestCycle, request: CallerRequest, length: int | None) -> None:
        """Decide what happens to the body of a request, and take it on."""
        memory = self.factory.memory
        if cycle.is_first:
            self._set_timer(self.factory.limits().idle_timeout, self._on_request_timeout)
        if not self.factory.keeps_bodies:
            if length != 0:
                request.body = cycle.body = DiscardedBody()
            return
        handling = memory.choose_handling(length)
        if handling is BodyHandling.REFUSE:
            self.factory.refuse(request)
            return
        if length == 0:
            return
        is_streamed = handling is BodyHandling.STREAM
        request.body = cycle.body = RequestBody(length, memory, is_streamed=is_streamed)
        if is_streamed:
            request.body.on_space = self._schedule_turn
            self._handle_request(cycle)

    def _receive_part(self, cycle: RequestCycle, data: bytes) -> None:
        body, request = cycle.body, cycle.request
        assert body is not None and request is not None
        if body.received_bytes + len(data) > self.factory.limits().max_body_bytes:
            self._reject(413, "the body is too large")
        elif not body.append(data):
            self.factory.refuse(request)

    def _end_body(self, cycle: RequestCycle) -> None:
        cycle.is_received = True
        if cycle.is_discarding:
            self._close()
            return
        if cycle.body is not None:
            cycle.body.complete()
        if not cycle.is_handled and not cycle.is_over:
            self._handle_request(cycle)

    def _handle_request(self, cycle: RequestCycle) -> None:
        assert cycle.request is not None
        if cycle.is_first:
            self._clear_timer()
        if self.factory.keeps_bodies and not self.factory.connection_limit.may_handle(self):
            self.factory.refuse(cycle.request)
            return
        cycle.is_handled = True
        self.factory.handle(cycle.request)

    def _schedule_turn(self) -> None:
        """Read and parse on in the next iteration of the event loop."""
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self.call_soon(self._take_turn)

    def _count_unsent(self, change: int) -> None:
        self._unsent_bytes += change
        self.factory.memory.add(HeldKind.UNSENT, change)

    def _count_input(self, size: int) -> None:
        self.factory.memory.add(HeldKind.INPUT, size - self._counted_input)
        self._counted_input = size

    def _close_if_input_is_short(self) -> None:
        if self.factory.memory.has_too_much_input and self.close_rank is not None:
            _log.info("closing a connection with {} unparsed bytes", self._counted_input)
            self._abort(UnansweredCause.TOO_LONG)

    def _continue_if_expected(self, cycle: RequestCycle) -> None:
        if cycle.http.they_are_waiting_for_100_continue:
            cycle.is_body_withheld = False
            cycle.send(h11.InformationalResponse(status_code=100, headers=[]))

    # End of the connection.

    def _reject(self, status: int, reason: str) -> None:
        """Respond to input that is no acceptable request, and close the connection after that."""
        _log.info("rejected a request with status {}: {}", status, reason)
        self._queue.last.reject(status, reason)
        self._advance()

    def _close_after_body(self, cycle: RequestCycle) -> None:
        """Close the connection, after the rest of a body that is on its way."""
        if cycle.http.their_state is h11.SEND_BODY and not cycle.is_body_withheld:
            cycle.is_discarding = True
            self._set_timer(MAX_DISCARD_TIME, self._close)
        else:
            self._close()

    def _close(self) -> None:
        """Close the connection once what has been written is delivered.

        What the caller sends meanwhile isn't read: it will get no answer.
        """
        self._drop_input()
        idle_timeout = self.factory.limits().idle_timeout
        self._closes_by = self.factory.clock.now() + idle_timeout
        self._set_timer(idle_timeout, self._on_delivery_timeout)
        self.transport.unregisterProducer()
        self.transport.pauseProducing()
        self.transport.loseWriteConnection()

    def _linger(self) -> None:
        """Close the socket once the caller has, or has had time to read what it received."""
        now = self.factory.clock.now()
        if has_undelivered_bytes(self.transport):
            self._lingers_until = now + LINGER_TIME
        assert self._lingers_until is not None
        if now >= min(self._lingers_until, self._closes_by) or peek(self.transport) == b"":
            self._clear_timer()
            self.transport.loseConnection()
        else:
            self._set_timer(LINGER_CHECK_INTERVAL, self._linger)

    def _abort(self, cause: UnansweredCause) -> None:
        """Reset the connection."""
        self._answers.note_cause(cause)
        self._drop_input()
        self._clear_timer()
        self.transport.abortConnection()

    def _drop_input(self) -> None:
        """Parse nothing more."""
        self.is_closed = True
        self._input = InputBuffer()
        self._count_input(0)

    def _on_delivery_timeout(self) -> None:
        self._answers.note_cause(UnansweredCause.TIMEOUT)
        self.transport.abortConnection()

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
