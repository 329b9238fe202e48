"""Request of a caller, and the means to answer it."""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

import h11

from .fields import HeaderFields
from .request_body import NO_BODY

if TYPE_CHECKING:
    from .request_cycle import RequestCycle

__all__ = ["CallerRequest"]


class CallerRequest:
    """Request of a caller, with methods that send its response.

    Attributes
    ----------
    method, target : bytes
    fields : list of (bytes, bytes)
        Names are in lower case.
    body : RequestBody
        Complete when the request is handled, unless it is streamed. Its connection drops it after
        the response.
    received_at : timedelta
        Instant at which the last bytes of the header arrived.
    on_disconnect : callable
        Called when the response can't be sent any more before it is complete: the caller has closed
        its connection, or an earlier response closes it.
    """

    def __init__(self, cycle: "RequestCycle", request: h11.Request, received_at: timedelta) -> None:
        self._cycle = cycle
        self.method = bytes(request.method)
        self.target = bytes(request.target)
        self.fields: HeaderFields = [(bytes(n), bytes(v)) for n, v in request.headers]
        self.body = NO_BODY
        self.received_at = received_at
        self.on_disconnect: Callable[[], None] = lambda: None

    @property
    def is_open(self) -> bool:
        """Whether a response can still be sent to the caller."""
        return self._cycle.is_open

    @property
    def is_first(self) -> bool:
        """Whether all earlier requests on the connection have been answered."""
        return self._cycle.is_first

    def when_first(self, action: Callable[[], None]) -> None:
        """Call `action` once all earlier requests are answered, at once if they are.

        It isn't called if the response has been completed or can't be sent any more by then.
        """
        if self.is_open:
            self._cycle.when_first(action)

    def is_caller_connected(self) -> bool:
        """Return whether the caller still waits, also if its close hasn't been read yet."""
        return self.is_open and not self._cycle.has_unread_close()

    def respond(self, status: int, fields: HeaderFields, body: bytes) -> None:
        """Send a complete response."""
        self.begin(status, fields, len(body))
        if body:
            self.write(body)
        self.end()

    def begin(self, status: int, fields: HeaderFields, length: int | None) -> None:
        """Send the header of a response, chunked if `length` is None."""
        if self.is_open:
            self._cycle.begin_response(status, fields, length, self.method)

    def write(self, data: bytes) -> None:
        """Send a part of the body; a response to ``HEAD`` has none."""
        if self.is_open and self.method != b"HEAD":
            self._cycle.write_body(data)

    def end(self) -> None:
        """End the response."""
        if self.is_open:
            self._cycle.end_response()

    def abort_response(self) -> None:
        """Break the response off, so that the caller can't take it for a complete one.

        The connection is reset; if nothing of the response has been sent yet, it is closed after
        the response before.
        """
        if self.is_open:
            self._cycle.abort_response()

    def throttle(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Call `pause` when the caller's connection is congested and `resume` when it isn't.

        The same holds for a response that waits for an earlier one, when too much of it is kept.
        """
        if self.is_open:
            self._cycle.throttle(pause, resume)
