"""Relay of an upstream's response to the caller."""

from ..transport import CallerRequest, HeldKind, MemoryBudget
from ..transport.fields import HeaderFields, end_to_end_fields
from ..transport.outbound import OutboundConnection
from .answers import AttemptOutcome, OutcomeKind

__all__ = ["ResponseRelay"]

# Responses up to this size are buffered, so that the request can be retried if the connection is
# lost within the response or if the upstream reports a failure. Longer responses are streamed.
MAX_BUFFERED_BYTES = 262_144


class ResponseRelay:
    """Response of one attempt, which is buffered while it is short and streamed once it is long.

    Parameters
    ----------
    request : CallerRequest
    memory : MemoryBudget
        Counts what is held back. While it is short, nothing is.

    Attributes
    ----------
    outcome : AttemptOutcome or None
        Outcome of the attempt according to the header; None before the header is received.
    status : int
    is_streaming : bool
        Whether the caller has received a part of the response.
    discarded_bytes : int
        Length of the body of a response that isn't delivered.
    """

    def __init__(self, request: CallerRequest, memory: MemoryBudget) -> None:
        self._request = request
        self._memory = memory
        self._fields: HeaderFields = []
        self._length: int | None = None
        self._buffer = bytearray()
        self.outcome: AttemptOutcome | None = None
        self.status = 0
        self.is_streaming = False
        self.discarded_bytes = 0

    @property
    def is_deliverable(self) -> bool:
        """Whether the response is an upstream's own and is delivered if it is complete."""
        kinds = (OutcomeKind.SUCCESS, OutcomeKind.FAILED)
        return self.outcome is not None and self.outcome.kind in kinds

    def on_header(
        self, outcome: AttemptOutcome, status: int, fields: HeaderFields, length: int | None
    ) -> None:
        """Handle the header of the response."""
        self.outcome = outcome
        self.status, self._fields, self._length = status, fields, length

    def on_body(self, data: bytes, connection: OutboundConnection | None) -> None:
        """Handle a part of the body, received on `connection`.

        The body of a response that isn't delivered is not kept.
        """
        if self.is_streaming:
            self._request.write(data)
        elif self.is_deliverable:
            self._buffer += data
            self._memory.add(HeldKind.ANSWER, len(data))
            if len(self._buffer) > MAX_BUFFERED_BYTES or not self._memory.may_hold_answers:
                self._start_streaming(connection)
        else:
            self.discarded_bytes += len(data)

    def deliver(self) -> None:
        """Send the complete response, or the end of a streamed one, to the caller."""
        if self.is_streaming:
            self._request.end()
        else:
            body = bytes(self._buffer)
            self.release()
            self._request.respond(self.status, end_to_end_fields(self._fields), body)

    def release(self) -> None:
        """Drop what is held back."""
        self._memory.remove(HeldKind.ANSWER, len(self._buffer))
        self._buffer = bytearray()

    def abort_response(self) -> None:
        """Abort a streamed response, so that the caller doesn't take it for a complete one."""
        self._request.abort_response()

    def _start_streaming(self, connection: OutboundConnection | None) -> None:
        self.is_streaming = True
        self._request.begin(self.status, end_to_end_fields(self._fields), self._length)
        self._request.write(bytes(self._buffer))
        self.release()
        if connection is not None:
            self._request.throttle(connection.pause, connection.resume)
