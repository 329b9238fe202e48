"""One request on a caller's connection, and its response, which is sent when it is its turn."""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import h11
import logbook

from .caller_request import CallerRequest
from .fields import HeaderFields
from .memory_budget import HeldKind
from .request_body import RequestBody

if TYPE_CHECKING:
    from .inbound import CallerConnection

__all__ = ["RequestCycle"]

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

# Time after which the writer of a response that waits is looked at again while it is paused. Nobody
# announces memory that other connections give back.
PAUSED_WRITER_INTERVAL = timedelta(milliseconds=100)

_log = logbook.Logger("laburnumhatch.transport")


class RequestCycle:
    """State of one request and its response.

    Parameters
    ----------
    connection : CallerConnection
    http : h11.Connection
        State of the protocol in which the next event is a request.
    is_first : bool
        Whether all earlier requests on the connection have been answered.

    Attributes
    ----------
    http : h11.Connection
    is_first : bool
    request : CallerRequest or None
        None until the header is parsed.
    body : RequestBody or None
        Body that is being received, or has been.
    is_received : bool
        Whether the end of the request has been parsed.
    is_handled : bool
        Whether the request has been passed to the handler.
    is_body_held : bool
        Whether the body isn't read until the request is the first.
    is_body_withheld : bool
        Whether the caller sends the body only once it has been told to go on.
    is_discarding : bool
        Whether the rest of the body of a request that has been answered is read and discarded.
    is_over : bool
        Whether nothing is added to the response any more: it is complete, broken off or dropped.
    """

    def __init__(
        self, connection: "CallerConnection", http: h11.Connection, *, is_first: bool
    ) -> None:
        self._connection = connection
        # What has been written of a response that waits for an earlier one.
        self._waiting = bytearray()
        self._pause_writer: Callable[[], None] | None = None
        self._resume_writer: Callable[[], None] | None = None
        self._is_writer_paused = False
        self._is_look_scheduled = False
        self._on_first: Callable[[], None] | None = None
        self._fields_bytes = 0
        self.http = http
        self.is_first = is_first
        self.request: CallerRequest | None = None
        self.body: RequestBody | None = None
        self.is_received = False
        self.is_handled = False
        self.is_body_held = False
        self.is_body_withheld = False
        self.is_discarding = False
        self.is_over = False
        # Whether the framing of the response shows its end, or that it is missing.
        self.shows_its_end = False

    @property
    def is_open(self) -> bool:
        """Whether the response can still be sent, or the rest of it."""
        return self.request is not None and not self.is_over and not self._connection.is_closed

    @property
    def is_answered(self) -> bool:
        """Whether the response is complete, though its bytes may wait to be sent."""
        return self.http.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the response that wait for an earlier one."""
        return len(self._waiting)

    @property
    def is_readable(self) -> bool:
        """Whether the request, or the rest of it, is parsed as it arrives."""
        if self.is_over or self.is_received or self.is_body_held:
            return self.is_discarding and not self.is_received
        return True

    @property
    def may_be_followed(self) -> bool:
        """Whether the caller may send a further request, as far as is known."""
        is_broken_off = self.is_over and self.http.our_state is not h11.DONE
        return self.http.their_state is h11.DONE and not is_broken_off

    def has_unread_close(self) -> bool:
        """Return whether the caller's close or reset waits to be read."""
        return self._connection.has_unread_close()

    def begin_response(
        self, status: int, fields: HeaderFields, length: int | None, method: bytes
    ) -> None:
        """Send the header of the response."""
        response_fields = list(fields)
        if length is not None:
            response_fields.append((b"content-length", b"%d" % length))
        elif method != b"HEAD":
            response_fields.append((b"transfer-encoding", b"chunked"))
        if self._connection.must_close_after(self) or self.http.their_state is h11.SEND_BODY:
            response_fields.append((b"connection", b"close"))
        # A response to HTTP/1.0 may end with the connection, and one to HEAD with its header.
        self.shows_its_end = self.http.their_http_version == b"1.1" and method != b"HEAD"
        reason = REASON_PHRASES.get(status, b"")
        self.send(h11.Response(status_code=status, headers=response_fields, reason=reason))
        if self.http.their_state is not h11.DONE:
            # The response tells the caller that no further one follows on the connection.
            self._connection.on_closing_response(self)

    def write_body(self, data: bytes) -> None:
        """Send a part of the body of the response."""
        self.send(h11.Data(data=data))

    def end_response(self) -> None:
        """End the response."""
        self.send(h11.EndOfMessage())
        if not self.is_over:
            self._finish()
            self._connection.on_response_over()

    def abort_response(self) -> None:
        """Break the response off, so that the caller can't take it for a complete one."""
        self._finish()
        self._drop_waiting()
        self._connection.on_response_broken_off(self)

    def reject(self, status: int, reason: str) -> None:
        """Respond to what is no acceptable request, if no response has begun."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = reason.encode("ascii", "replace")
            fields = [(b"content-length", b"%d" % len(body)), (b"connection", b"close")]
            phrase = REASON_PHRASES.get(status, b"")
            self.send(h11.Response(status_code=status, headers=fields, reason=phrase))
            self.send(h11.Data(data=body))
            self.send(h11.EndOfMessage())
        self._give_up()

    def drop(self) -> None:
        """End without a response, because the connection ends before it."""
        self._drop_waiting()
        self._give_up()

    def become_first(self) -> None:
        """Send what has been written of the response, since all earlier ones are complete."""
        self.is_first = True
        if self._waiting:
            content = bytes(self._waiting)
            self._drop_waiting()
            self._connection.write(content)
        if self._on_first is not None:
            # Not called from within the end of another request, which an error would disturb.
            self._connection.call_soon(self._call_on_first)

    def when_first(self, action: Callable[[], None]) -> None:
        """Call `action` once all earlier requests on the connection are answered."""
        if self.is_first:
            action()
        else:
            self._on_first = action

    def throttle(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Call `pause` when nothing more should be written for now and `resume` when it may be."""
        self._pause_writer, self._resume_writer = pause, resume
        self._is_writer_paused = False
        self.update_writer()

    def update_writer(self) -> None:
        """Pause or resume the writer of the response."""
        pause, resume = self._pause_writer, self._resume_writer
        if pause is None or resume is None:
            return
        should_pause = self._connection.should_pause_writer(self)
        if should_pause != self._is_writer_paused:
            self._is_writer_paused = should_pause
            (pause if should_pause else resume)()
        if should_pause and not self.is_first and not self._is_look_scheduled:
            self._is_look_scheduled = True
            self._connection.call_later(PAUSED_WRITER_INTERVAL, self._look_at_writer)

    def _look_at_writer(self) -> None:
        self._is_look_scheduled = False
        self.update_writer()

    def send(self, event: Any) -> None:
        """Send a part of the response, or keep it until it is its turn."""
        try:
            content = self.http.send(event)
        except h11.LocalProtocolError:
            # A response whose framing is wrong must not look complete.
            _log.exception("failed to send a response to a caller; breaking it off")
            self.shows_its_end = False
            self.abort_response()
            return
        if not content:
            return
        if self.is_first:
            self._connection.write(content)
        else:
            self._waiting += content
            self._connection.count_waiting(len(content))
            self.update_writer()

    def count_fields(self, size: int) -> None:
        """Count the bytes of the request's header fields until the response is over."""
        self._connection.factory.memory.add(HeldKind.FIELDS, size - self._fields_bytes)
        self._fields_bytes = size

    def forget_request(self) -> None:
        """Drop the request, whose connection is closed, and its references to this cycle.

        Its many fields would otherwise stay in memory until the garbage collector finds the cycle.
        """
        self.request = None

    def release_body(self) -> None:
        """Drop the body of the request."""
        body, self.body = self.body, None
        if body is not None:
            body.release()

    def _call_on_first(self) -> None:
        action, self._on_first = self._on_first, None
        if action is not None and self.is_open:
            action()

    def _drop_waiting(self) -> None:
        if self._waiting:
            self._connection.count_waiting(-len(self._waiting))
            self._waiting.clear()

    def _give_up(self) -> None:
        """End the cycle, also for the handler if it has the request and hasn't answered it."""
        was_pending = self.is_handled and not self.is_over
        self.is_over = True
        if was_pending and self.request is not None:
            self.request.on_disconnect()
        self._finish()

    def _finish(self) -> None:
        self.is_over = True
        self._pause_writer = self._resume_writer = self._on_first = None
        if self._fields_bytes:
            self.count_fields(0)
        self.release_body()
