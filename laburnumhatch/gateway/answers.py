"""Classification of an upstream's answer, or of the lack of one."""

from dataclasses import dataclass
from enum import Enum

from ..transport import CallFailure, FailureKind

__all__ = [
    "NOT_RUN_STATUSES",
    "AttemptOutcome",
    "OutcomeKind",
    "classify_failure",
    "classify_response",
]


class OutcomeKind(Enum):
    """Outcome of one attempt to send a request."""

    SUCCESS = "success"
    # The upstream ran the request and reports that it failed.
    FAILED = "failed"
    NOT_RUN = "not run"
    # There is no complete, authentic answer; the request may have run.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Outcome of one attempt to send a request, with its reason.

    Attributes
    ----------
    kind : OutcomeKind
    is_unreachable : bool
        Whether the upstream was unreachable, or refused or reset the connection before the request
        was sent.
    reason : str
        Explanation for the logs and for the detail of a refusal.
    is_connection_lost : bool
        Whether the connection ended after the request was sent.
    is_refused : bool
        Whether the connection was refused, so that nobody listens at the upstream's address.
    is_silent : bool
        Whether the connection was not opened in time.
    """

    kind: OutcomeKind
    is_unreachable: bool = False
    reason: str = ""
    is_connection_lost: bool = False
    is_refused: bool = False
    is_silent: bool = False


# Statuses that guarantee that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def classify_response(status: int, is_sealed: bool, is_not_run: bool) -> AttemptOutcome:
    """Return the outcome of an attempt from the header of its answer.

    Parameters
    ----------
    status : int
    is_sealed : bool
        Whether the answer carries the seal, which proves that it comes from the upstream.
    is_not_run : bool
        Whether the answer states that the request did not run.
    """
    if is_not_run:
        return AttemptOutcome(OutcomeKind.NOT_RUN, reason=f"declined with {status}")
    if 200 <= status < 300:
        if is_sealed:
            return AttemptOutcome(OutcomeKind.SUCCESS)
        return AttemptOutcome(OutcomeKind.UNKNOWN, reason="a success without its seal")
    if not is_sealed:
        return AttemptOutcome(OutcomeKind.UNKNOWN, reason=f"status {status} without a seal")
    return AttemptOutcome(OutcomeKind.FAILED, reason=f"status {status}")


def classify_failure(failure: CallFailure) -> AttemptOutcome:
    """Return the outcome of an attempt without a complete answer."""
    is_refused = failure.kind is FailureKind.REFUSED
    is_silent = failure.kind is FailureKind.UNREACHABLE
    is_unreachable = is_refused or is_silent or failure.kind is FailureKind.RESET
    kind = OutcomeKind.NOT_RUN if failure.was_not_sent else OutcomeKind.UNKNOWN
    reason = f"{failure.kind.value}: {failure.reason}"
    is_lost = failure.kind is FailureKind.LOST
    return AttemptOutcome(kind, is_unreachable, reason, is_lost, is_refused, is_silent)
