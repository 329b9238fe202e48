"""Report of the requests whose complete answer did not get as far as the kernel."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import logbook
from twisted.internet.error import ConnectionClosed, ConnectionDone
from twisted.python.failure import Failure

from .caller_request import CallerRequest
from .fields import HeaderFields
from .peek import unsent_bytes
from .request_cycle import RequestCycle

__all__ = ["AnswerTrack", "Unanswered", "UnansweredCause", "UnansweredReport"]

_log = logbook.Logger("laburnumhatch.transport")


class UnansweredCause(Enum):
    """Why a request has no complete answer.

    A caller that closes only its sending side counts as one that closes its connection. `TIMEOUT`
    means that it took no bytes of an answer until the connection was given up, and `ERROR` that the
    connection was lost with an unexpected error in a callback.
    """

    CALLER_CLOSED = "caller closed"
    CALLER_RESET = "caller reset"
    FOR_OTHERS = "closed for others"
    TOO_LONG = "input too long"
    TIMEOUT = "timeout"
    BROKEN_OFF = "response broken off"
    BEHIND = "behind a closing response"
    EXIT = "process exit"
    ERROR = "lost with an error"


@dataclass(frozen=True, slots=True)
class Unanswered:
    """Request that was read whole and has no complete answer that is with the kernel.

    Attributes
    ----------
    cause : UnansweredCause
    request_id : bytes
    request : CallerRequest or None
        None if its answer is complete and the next one on the connection has begun.
    is_answered : bool
        Whether the answer is complete, but a part of it was not sent.
    was_handled : bool
        Whether the handler got the request.
    written_bytes : int
        Bytes of the answer that were written, also those that are not sent.
    unsent_bytes : int
        Bytes of the answer that the kernel did not get.
    reason : str
        How the connection ended; empty if it goes on.
    """

    cause: UnansweredCause
    request_id: bytes
    request: CallerRequest | None
    is_answered: bool
    was_handled: bool
    written_bytes: int
    unsent_bytes: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class UnansweredReport:
    """Receiver of reports.

    Attributes
    ----------
    request_id : callable
        Returns the identifier of a request, given its header fields.
    on_unanswered : callable
        Called with each `Unanswered`, before the handler learns that the request can't be answered.
    """

    request_id: Callable[[HeaderFields], bytes]
    on_unanswered: Callable[[Unanswered], None]


class AnswerTrack:
    """What is known about the answers on one connection of a caller, for the report of its end.

    Parameters
    ----------
    report : UnansweredReport or None
        Without one, nothing is reported.

    Attributes
    ----------
    written_bytes : int
        Bytes that were written of the answer that is sent now.
    """

    __slots__ = ("_answered_bytes", "_answered_id", "_cause", "_report", "written_bytes")

    def __init__(self, report: UnansweredReport | None) -> None:
        self._report = report
        self._cause: UnansweredCause | None = None
        # Of the last complete answer. The request itself would take more memory while it is kept.
        self._answered_id = b""
        self._answered_bytes = 0
        self.written_bytes = 0

    def note_cause(self, cause: UnansweredCause) -> None:
        """Note why the connection is ended, unless it is ended already."""
        if self._cause is None:
            self._cause = cause

    def note_answered(self, request: CallerRequest | None) -> None:
        """Note that an answer is complete and that what is written next belongs to another one."""
        if self._report is not None and request is not None:
            self._answered_id = self._report.request_id(request.fields)
            self._answered_bytes, self.written_bytes = self.written_bytes, 0

    def report_dropped(self, cycles: Iterable[RequestCycle], cause: UnansweredCause) -> None:
        """Report the requests that get no answer while the connection goes on."""
        for cycle in cycles:
            self._report_one(cycle, cause, cycle.waiting_bytes, cycle.waiting_bytes, "")

    def report_end(
        self, cycles: Iterable[RequestCycle], transport: Any, reason: Failure, *, is_exiting: bool
    ) -> None:
        """Report the requests that the end of their connection leaves without an answer.

        Parameters
        ----------
        cycles : iterable of RequestCycle
            All that are left, in the order of their answers.
        transport
        reason : Failure
            With which the connection was lost.
        is_exiting : bool
            Whether the process ends.
        """
        if self._report is None:
            return
        unsent = unsent_bytes(transport)
        cause = self._cause or (UnansweredCause.EXIT if is_exiting else _cause_of(reason))
        message = reason.getErrorMessage()
        if unsent > self.written_bytes and self._answered_id:
            self._report_sent(cause, unsent - self.written_bytes, message)
        for cycle in cycles:
            written, cycle_unsent = cycle.waiting_bytes, cycle.waiting_bytes
            if cycle.is_first:
                written, cycle_unsent = self.written_bytes, min(unsent, self.written_bytes)
            # What has no complete answer, but is over, was broken off before.
            was_broken_off = cycle.is_over and not cycle.is_answered
            own_cause = UnansweredCause.BROKEN_OFF if was_broken_off else cause
            self._report_one(cycle, own_cause, written, cycle_unsent, message)

    def _report_one(
        self, cycle: RequestCycle, cause: UnansweredCause, written: int, unsent: int, reason: str
    ) -> None:
        report, request = self._report, cycle.request
        if report is None or request is None or not cycle.is_received:
            return
        if cycle.is_answered and not unsent:
            return
        request_id = report.request_id(request.fields)
        state = cycle.is_answered, cycle.is_handled
        self._call(Unanswered(cause, request_id, request, *state, written, unsent, reason))

    def _report_sent(self, cause: UnansweredCause, unsent: int, reason: str) -> None:
        written = max(self._answered_bytes, unsent)
        self._call(Unanswered(cause, self._answered_id, None, True, True, written, unsent, reason))

    def _call(self, unanswered: Unanswered) -> None:
        assert self._report is not None
        try:
            self._report.on_unanswered(unanswered)
        except Exception:
            # The connection still has to tell the handlers of its end.
            _log.exception("failed to report a request without an answer")


def _cause_of(reason: Failure) -> UnansweredCause:
    if reason.check(ConnectionDone):
        return UnansweredCause.CALLER_CLOSED
    if reason.check(ConnectionClosed):
        return UnansweredCause.CALLER_RESET
    return UnansweredCause.ERROR
