"""Outcomes of an upstream call that gives the caller no complete answer."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from ..results import Refusal, ResultCode, RunStatus

__all__ = [
    "AttemptFailure",
    "Broken",
    "DeclineReason",
    "Declined",
    "NotConnected",
    "NotSent",
    "TimedOut",
    "outcome_name",
    "refusal_of",
]


class DeclineReason(StrEnum):
    """Reason for which an upstream refused a request without running it."""

    SHED = "shed"
    DRAINING = "draining"
    FENCED = "fenced"


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was made, so nothing of the request was sent."""

    reason: str

    run = RunStatus.NO


@dataclass(frozen=True, slots=True)
class NotSent:
    """The lease expired or the deadline passed before anything of the request was sent."""

    code: ResultCode

    run = RunStatus.NO


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream answered that it did not run the request."""

    reason: DeclineReason
    retry_after: timedelta | None

    run = RunStatus.NO


@dataclass(frozen=True, slots=True)
class Broken:
    """Data was sent, and no complete answer was received.

    Attributes
    ----------
    reason : str
    is_partly_relayed : bool
        Whether the caller has already received part of the answer.
    """

    reason: str
    is_partly_relayed: bool = False

    run = RunStatus.UNKNOWN


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Data was sent, and the answer was not complete in time."""

    reason: str
    is_partly_relayed: bool = False

    run = RunStatus.UNKNOWN


AttemptFailure = NotConnected | NotSent | Declined | Broken | TimedOut

_DECLINE_CODES = {
    DeclineReason.SHED: ResultCode.UPSTREAM_SHED,
    DeclineReason.DRAINING: ResultCode.UPSTREAM_SHED,
    DeclineReason.FENCED: ResultCode.UPSTREAM_FENCED,
}


def refusal_of(failure: AttemptFailure, retry_after: timedelta) -> Refusal:
    """Return the refusal for a failure that is final.

    Parameters
    ----------
    failure : AttemptFailure
    retry_after : timedelta
        Delay for the caller's next attempt, if the upstream gave none.

    Examples
    --------
    >>> refusal_of(Broken("reset"), timedelta(seconds=1)).run_status
    <RunStatus.UNKNOWN: 'unknown'>
    """
    match failure:
        case NotConnected(reason):
            return Refusal(ResultCode.UPSTREAM_UNREACHABLE, reason, retry_after=retry_after)
        case NotSent(code):
            return Refusal(code, retry_after=retry_after)
        case Declined(reason, requested_delay):
            detail = f"the upstream answered {reason.value}"
            return Refusal(
                _DECLINE_CODES[reason], detail, retry_after=requested_delay or retry_after
            )
        case Broken(reason):
            return Refusal(ResultCode.UPSTREAM_BROKEN, reason)
        case TimedOut(reason):
            return Refusal(ResultCode.UPSTREAM_TIMEOUT, reason)


def outcome_name(failure: AttemptFailure | None) -> str:
    """Return the name of an outcome for metrics and traces; None stands for an answer."""
    match failure:
        case None:
            return "answered"
        case Declined(reason):
            return reason.value
        case Broken():
            return "broken"
        case TimedOut():
            return "timed out"
        case NotConnected():
            return "not connected"
        case NotSent():
            return "not sent"
