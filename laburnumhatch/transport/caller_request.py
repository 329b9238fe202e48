"""Request of a caller, and the means to answer it."""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

import h11

from .fields import HeaderFields
from .request_body import NO_BODY

if TYPE_CHECKING:
    from .inbound import CallerConnection

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
        Instant at which the header was complete.
    on_disconnect : callable
        Called when the caller closes its connection before the response is complete.
    """

    def __init__(
        self, connection: "CallerConnection", request: h11.Request, received_at: timedelta
    ) -> None:
        self._connection = connection
        self.method = bytes(request.method)
        self.target = bytes(request.target)
        self.fields: HeaderFields = [(bytes(n), bytes(v)) for n, v in request.headers]
        self.body = NO_BODY
        self.received_at = received_at
        self.on_disconnect: Callable[[], None] = lambda: None

    @property
    def is_open(self) -> bool:
        """Whether a response can still be sent to the caller."""
        return self._connection.can_respond_to(self)

    def is_caller_connected(self) -> bool:
        """Return whether the caller still waits, also if its close hasn't been read yet."""
        return self.is_open and not self._connection.has_unread_close()

    def respond(self, status: int, fields: HeaderFields, body: bytes) -> None:
        """Send a complete response."""
        self.begin(status, fields, len(body))
        if body:
            self.write(body)
        self.end()

    def begin(self, status: int, fields: HeaderFields, length: int | None) -> None:
        """Send the header of a response, chunked if `length` is None."""
        if self.is_open:
            self._connection.begin_response(status, fields, length, self.method)

    def write(self, data: bytes) -> None:
        """Send a part of the body; a response to ``HEAD`` has none."""
        if self.is_open and self.method != b"HEAD":
            self._connection.write_body(data)

    def end(self) -> None:
        """End the response."""
        if self.is_open:
            self._connection.end_response()

    def abort_response(self) -> None:
        """Reset the connection, so that the caller can't take the response for a complete one."""
        if self.is_open:
            self._connection.abort_response()

    def throttle(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Call `pause` when the caller's connection is congested and `resume` when it isn't."""
        if self.is_open:
            self._connection.throttle(pause, resume)
