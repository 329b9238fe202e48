"""Conditions and budget for retries."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["RetryBudget", "RetryCase", "may_retry"]

# Fraction of its share of the budget that one instance uses. The rest is a margin: the instances
# don't coordinate their retries, and their shares of the requests change.
OWN_SHARE = 0.8
# Number of buckets into which the sliding window is divided.
PARTS = 20


@dataclass(frozen=True, slots=True)
class RetryCase:
    """State of a request whose last attempt failed.

    Attributes
    ----------
    is_repeatable : bool
        Whether the request may run more than once.
    has_not_run : bool
        Whether the request has certainly not run.
    upstreams_asked : int
        Number of different upstreams that the request was sent to.
    most_upstreams : int
        Maximum of `upstreams_asked`.
    sends : int
        Number of attempts so far.
    left_s : float
        Time until the deadline, in seconds.
    service_s : float
        Usual service time of one request, in seconds.
    """

    is_repeatable: bool
    has_not_run: bool
    upstreams_asked: int
    most_upstreams: int
    sends: int
    left_s: float
    service_s: float


# Maximum number of attempts for one request, independent of the limit of its route on upstreams.
MOST_SENDS = 4


def may_retry(case: RetryCase, another_upstream: bool) -> bool:
    """Return whether a request may be retried, regardless of the budget.

    Parameters
    ----------
    case : RetryCase
    another_upstream : bool
        Whether the retry would go to an upstream that the request was not sent to before.
    """
    if not (case.is_repeatable or case.has_not_run):
        return False
    if case.sends >= MOST_SENDS or case.left_s < case.service_s:
        return False
    return not another_upstream or case.upstreams_asked < case.most_upstreams


class RetryBudget:
    """Budget of one instance for the retries of one service, over a sliding window.

    Parameters
    ----------
    window : timedelta
    ratio : float
        Retries allowed per request.
    slack : float
        Further retries allowed to all instances together in one window.
    """

    def __init__(self, window: timedelta, ratio: float, slack: float) -> None:
        self._part = window / PARTS
        self._ratio = ratio
        self._slack = slack
        self._requests = [0] * (PARTS + 1)
        self._repeats = [0] * (PARTS + 1)
        self._newest = 0

    def note_request(self, now: timedelta) -> None:
        """Count a caller's request."""
        self._advance(now)
        self._requests[self._newest % (PARTS + 1)] += 1

    def left(self, now: timedelta, instances: int) -> float:
        """Return how many more retries the budget allows."""
        self._advance(now)
        allowed = self._ratio * sum(self._requests) + self._slack / max(1, instances)
        return allowed * OWN_SHARE - sum(self._repeats)

    def take(self, now: timedelta, instances: int) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if self.left(now, instances) < 1.0:
            return False
        self._repeats[self._newest % (PARTS + 1)] += 1
        return True

    def _advance(self, now: timedelta) -> None:
        current = now // self._part
        for part in range(max(self._newest + 1, current - PARTS), current + 1):
            self._requests[part % (PARTS + 1)] = 0
            self._repeats[part % (PARTS + 1)] = 0
        self._newest = max(self._newest, current)
