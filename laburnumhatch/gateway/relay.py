"""Relay of an upstream's response to the caller."""

from ..transport import CallerRequest
from ..transport.fields import HeaderFields, end_to_end_fields
from ..transport.outbound import OutboundConnection
from .answers import AttemptOutcome, OutcomeKind

__all__ = ["ResponseRelay"]

# Responses up to this size are buffered, so that the request can be retried if the connection is
# lost within the response. Longer responses are streamed.
MAX_BUFFERED_BYTES = 262_144


class ResponseRelay:
    """Response of one attempt, which is buffered while it is short and streamed once it is long.

    Parameters
    ----------
    request : CallerRequest

    Attributes
    ----------
    outcome : AttemptOutcome or None
        Outcome of the attempt according to the header; None before the header is received.
    status : int
    is_streaming : bool
        Whether the caller has received a part of the response.
    """

    def __init__(self, request: CallerRequest) -> None:
        self._request = request
        self._fields: HeaderFields = []
        self._length: int | None = None
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self.outcome: AttemptOutcome | None = None
        self.status = 0
        self.is_streaming = False

    def on_header(
        self, outcome: AttemptOutcome, status: int, fields: HeaderFields, length: int | None
    ) -> None:
        """Handle the header of the response."""
        self.outcome = outcome
        self.status, self._fields, self._length = status, fields, length

    def on_body(self, data: bytes, connection: OutboundConnection | None) -> None:
        """Handle a part of the body, received on `connection`."""
        if self.is_streaming:
            self._request.write(data)
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        is_success = self.outcome is not None and self.outcome.kind is OutcomeKind.SUCCESS
        if is_success and self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._start_streaming(connection)

    def deliver(self) -> None:
        """Send the complete response, or the end of a streamed one, to the caller."""
        if self.is_streaming:
            self._request.end()
        else:
            body = b"".join(self._buffer)
            self._request.respond(self.status, end_to_end_fields(self._fields), body)

    def abort_response(self) -> None:
        """Abort a streamed response, so that the caller doesn't take it for a complete one."""
        self._request.abort_response()

    def _start_streaming(self, connection: OutboundConnection | None) -> None:
        self.is_streaming = True
        self._request.begin(self.status, end_to_end_fields(self._fields), self._length)
        for data in self._buffer:
            self._request.write(data)
        self._buffer = []
        if connection is not None:
            self._request.throttle(connection.pause, connection.resume)
