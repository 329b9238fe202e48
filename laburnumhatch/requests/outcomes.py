"""How one upstream call may end without an answer for the caller."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from ..results import Refusal, ResultCode, Run

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
    """Why an upstream refused a request unrun."""

    SHED = "shed"
    DRAINING = "draining"
    FENCED = "fenced"


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was made, so no byte of the request went out."""

    reason: str

    run = Run.NO


@dataclass(frozen=True, slots=True)
class NotSent:
    """The lease or the deadline ended before any byte of the request went out."""

    code: ResultCode

    run = Run.NO


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream answered that it did not run the request."""

    reason: DeclineReason
    retry_after: timedelta | None

    run = Run.NO


@dataclass(frozen=True, slots=True)
class Broken:
    """Bytes went out, and no whole answer came back.

    Attributes
    ----------
    reason : str
    is_partly_relayed : bool
        Whether the caller already has part of the answer.
    """

    reason: str
    is_partly_relayed: bool = False

    run = Run.UNKNOWN


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Bytes went out, and the answer was not whole when its time was over."""

    reason: str
    is_partly_relayed: bool = False

    run = Run.UNKNOWN


AttemptFailure = NotConnected | NotSent | Declined | Broken | TimedOut

_DECLINE_CODES = {
    DeclineReason.SHED: ResultCode.UPSTREAM_SHED,
    DeclineReason.DRAINING: ResultCode.UPSTREAM_SHED,
    DeclineReason.FENCED: ResultCode.UPSTREAM_FENCED,
}


def refusal_of(failure: AttemptFailure, retry_after: timedelta) -> Refusal:
    """Return what the caller is told when a failure is final.

    Parameters
    ----------
    failure : AttemptFailure
    retry_after : timedelta
        When to come back where the upstream did not say.

    Examples
    --------
    >>> refusal_of(Broken("reset"), timedelta(seconds=1)).effective_run
    <Run.UNKNOWN: 'unknown'>
    """
    match failure:
        case NotConnected(reason):
            return Refusal(ResultCode.UPSTREAM_UNREACHABLE, reason, retry_after=retry_after)
        case NotSent(code):
            return Refusal(code, retry_after=retry_after)
        case Declined(reason, wanted):
            detail = f"the upstream answered {reason.value}"
            return Refusal(_DECLINE_CODES[reason], detail, retry_after=wanted or retry_after)
        case Broken(reason):
            return Refusal(ResultCode.UPSTREAM_BROKEN, reason)
        case TimedOut(reason):
            return Refusal(ResultCode.UPSTREAM_TIMEOUT, reason)


def outcome_name(failure: AttemptFailure | None) -> str:
    """Return the name of an outcome for metrics and traces; None is an answer."""
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
