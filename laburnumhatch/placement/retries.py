"""Whether a request is sent again."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["RetryBudget", "RetryCase", "may_retry"]

# Share of the budget that one instance uses by itself: instances don't ask each other, and their
# shares of the requests change.
OWN_SHARE = 0.8
# Parts of the window that are counted apart.
PARTS = 20


@dataclass(frozen=True, slots=True)
class RetryCase:
    """What the decision knows of a request that failed at an upstream.

    Attributes
    ----------
    is_repeatable : bool
        Whether it may run more than once.
    has_not_run : bool
        Whether it certainly did not run.
    upstreams_asked : int
        Different upstreams that it was sent to.
    most_upstreams : int
        As many may be asked.
    sends : int
    left_s : float
        Seconds until the caller's answer is due.
    service_s : float
        Usual time of one request, seconds.
    """

    is_repeatable: bool
    has_not_run: bool
    upstreams_asked: int
    most_upstreams: int
    sends: int
    left_s: float
    service_s: float


# Sends of one request to upstreams that decline it, whatever its route allows.
MOST_SENDS = 4


def may_retry(case: RetryCase, another_upstream: bool) -> bool:
    """Return whether a request may be sent again, budget aside.

    Parameters
    ----------
    case : RetryCase
    another_upstream : bool
        Whether it would go to one that was not asked yet.
    """
    if not (case.is_repeatable or case.has_not_run):
        return False
    if case.sends >= MOST_SENDS or case.left_s < case.service_s:
        return False
    return not another_upstream or case.upstreams_asked < case.most_upstreams


class RetryBudget:
    """Sends beyond the first, over a sliding window, of one service at one instance.

    Parameters
    ----------
    window : timedelta
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed besides, over all instances.
    """

    def __init__(self, window: timedelta, ratio: float, slack: float) -> None:
        self._part = window / PARTS
        self._ratio = ratio
        self._slack = slack
        self._requests = [0] * (PARTS + 1)
        self._repeats = [0] * (PARTS + 1)
        self._newest = 0

    def note_request(self, now: timedelta) -> None:
        """Count a request of a caller."""
        self._advance(now)
        self._requests[self._newest % (PARTS + 1)] += 1

    def left(self, now: timedelta, instances: int) -> float:
        """Return how many more repeats fit."""
        self._advance(now)
        allowed = self._ratio * sum(self._requests) + self._slack / max(1, instances)
        return allowed * OWN_SHARE - sum(self._repeats)

    def take(self, now: timedelta, instances: int) -> bool:
        """Count a repeat if it fits; return whether it does."""
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
