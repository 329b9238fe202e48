"""What an upstream's answer, or the lack of one, means for a request."""

from dataclasses import dataclass
from enum import Enum

from ..transport import CallFailure, FailureKind

__all__ = ["Verdict", "VerdictKind", "judge_answer", "judge_failure"]


class VerdictKind(Enum):
    """What came of sending a request."""

    SUCCESS = "success"
    # The upstream ran the request and says that it failed.
    FAILED = "failed"
    NOT_RUN = "not run"
    # No whole answer; the request may have run.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Verdict:
    """What came of sending a request to an upstream.

    Attributes
    ----------
    kind : VerdictKind
    is_unreachable : bool
        Whether the upstream itself could not be reached.
    reason : str
        For the logs.
    """

    kind: VerdictKind
    is_unreachable: bool = False
    reason: str = ""


# Statuses that promise that a request has not run.
PROMISES = frozenset({408, 421, 429, 503})


def judge_answer(status: int, is_sealed: bool, is_not_run: bool) -> Verdict:
    """Return what an answer means by its header.

    Parameters
    ----------
    status : int
    is_sealed : bool
        Whether it proves that it is the upstream's.
    is_not_run : bool
        Whether it says that the request did not run.
    """
    if is_not_run:
        return Verdict(VerdictKind.NOT_RUN, reason=f"declined with {status}")
    if 200 <= status < 300:
        if is_sealed:
            return Verdict(VerdictKind.SUCCESS)
        return Verdict(VerdictKind.UNKNOWN, reason="a success without its seal")
    if not is_sealed:
        return Verdict(VerdictKind.UNKNOWN, reason=f"status {status} without a seal")
    return Verdict(VerdictKind.FAILED, reason=f"status {status}")


def judge_failure(failure: CallFailure) -> Verdict:
    """Return what the lack of a whole answer means."""
    unreachable = failure.kind in (FailureKind.REFUSED, FailureKind.UNREACHABLE)
    kind = VerdictKind.NOT_RUN if failure.never_sent else VerdictKind.UNKNOWN
    return Verdict(kind, unreachable, f"{failure.kind.value}: {failure.reason}")
