"""Relay of an upstream's answer to the caller."""

from ..transport import CallerRequest
from ..transport.fields import HeaderFields, end_to_end_fields
from ..transport.outbound import OutboundConnection
from .answers import Verdict, VerdictKind

__all__ = ["AnswerRelay"]

# Answers up to this size are buffered, so that the request can be retried if the connection is lost
# within the answer. Longer answers are streamed.
HELD_BACK_BYTES = 262_144


class AnswerRelay:
    """Answer of one attempt, which is buffered while it is short and streamed once it is long.

    Parameters
    ----------
    request : CallerRequest

    Attributes
    ----------
    verdict : Verdict or None
        Outcome according to the header; None before the header is received.
    status : int
    is_passing_on : bool
        Whether the caller has received a part of the answer.
    """

    def __init__(self, request: CallerRequest) -> None:
        self._request = request
        self._fields: HeaderFields = []
        self._length: int | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self.verdict: Verdict | None = None
        self.status = 0
        self.is_passing_on = False

    def began(
        self, verdict: Verdict, status: int, fields: HeaderFields, length: int | None
    ) -> None:
        """Handle the header of the answer."""
        self.verdict = verdict
        self.status, self._fields, self._length = status, fields, length

    def received(self, data: bytes, connection: OutboundConnection | None) -> None:
        """Handle a part of the body, received on `connection`."""
        if self.is_passing_on:
            self._request.write(data)
            return
        self._held.append(data)
        self._held_bytes += len(data)
        is_success = self.verdict is not None and self.verdict.kind is VerdictKind.SUCCESS
        if is_success and self._held_bytes > HELD_BACK_BYTES:
            self._begin_passing_on(connection)

    def deliver(self) -> None:
        """Send the complete answer, or the end of a streamed one, to the caller."""
        if self.is_passing_on:
            self._request.end()
        else:
            body = b"".join(self._held)
            self._request.answer(self.status, end_to_end_fields(self._fields), body)

    def break_off(self) -> None:
        """Abort a streamed answer, so that the caller doesn't take it for a complete one."""
        self._request.break_off()

    def _begin_passing_on(self, connection: OutboundConnection | None) -> None:
        self.is_passing_on = True
        self._request.begin(self.status, end_to_end_fields(self._fields), self._length)
        for data in self._held:
            self._request.write(data)
        self._held = []
        if connection is not None:
            self._request.throttle(connection.pause, connection.resume)
