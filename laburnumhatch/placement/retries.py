"""Conditions and budget for retries."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["FailedRequest", "RetryBudget", "may_retry"]

# Fraction of its share of the budget that one instance uses. The rest is a margin: the instances
# don't coordinate their retries, and their shares of the requests change.
INSTANCE_SHARE = 0.8
# Number of buckets into which the sliding window is divided.
BUCKET_COUNT = 20


@dataclass(frozen=True, slots=True)
class FailedRequest:
    """State of a request whose last attempt failed.

    Attributes
    ----------
    is_repeatable : bool
        Whether the request may run more than once.
    has_not_run : bool
        Whether the request has certainly not run.
    upstreams_tried : int
        Number of different upstreams that the request was sent to.
    max_upstreams : int
        Maximum of `upstreams_tried`.
    send_count : int
        Number of attempts so far.
    remaining_s : float
        Time until the deadline, in seconds.
    service_time_s : float
        Usual service time of one request, in seconds.
    """

    is_repeatable: bool
    has_not_run: bool
    upstreams_tried: int
    max_upstreams: int
    send_count: int
    remaining_s: float
    service_time_s: float


# Maximum number of attempts for one request, independent of the limit of its route on upstreams.
MAX_SENDS = 4


def may_retry(request: FailedRequest, is_new_upstream: bool) -> bool:
    """Return whether a request may be retried, regardless of the budget.

    Parameters
    ----------
    request : FailedRequest
    is_new_upstream : bool
        Whether the retry would go to an upstream that the request was not sent to before.
    """
    if not (request.is_repeatable or request.has_not_run):
        return False
    if request.send_count >= MAX_SENDS or request.remaining_s < request.service_time_s:
        return False
    return not is_new_upstream or request.upstreams_tried < request.max_upstreams


class RetryBudget:
    """Budget of one instance for the retries of one service, over a sliding window.

    Parameters
    ----------
    window : timedelta
    ratio : float
        Retries allowed per request.
    slack : float
        Further retries allowed to all instances together in one window.
    started_at : timedelta
        When the process of this instance started.

    Notes
    -----
    The slack is divided by the largest number of instances within the window, since each of them
    may have used its share. A process that started within the window uses no slack: its
    predecessor, which it knows nothing of, may have used it already.
    """

    def __init__(
        self, window: timedelta, ratio: float, slack: float, started_at: timedelta
    ) -> None:
        self._bucket_length = window / BUCKET_COUNT
        self._ratio = ratio
        self._slack = slack
        self._slack_available_at = started_at + window + self._bucket_length
        self._requests = [0] * (BUCKET_COUNT + 1)
        self._retries = [0] * (BUCKET_COUNT + 1)
        self._instance_counts = [0] * (BUCKET_COUNT + 1)
        self._newest_bucket = 0

    def record_request(self, now: timedelta, instance_count: int | None) -> None:
        """Count a caller's request; `instance_count` is as in `remaining`."""
        self._advance(now, instance_count)
        self._requests[self._newest_bucket % (BUCKET_COUNT + 1)] += 1

    def remaining(self, now: timedelta, instance_count: int | None) -> float:
        """Return how many more retries the budget allows.

        Parameters
        ----------
        now : timedelta
        instance_count : int or None
            Number of instances; None if it is unknown, in which case the slack is not used.
        """
        self._advance(now, instance_count)
        allowed = self._ratio * sum(self._requests)
        if instance_count is not None and now >= self._slack_available_at:
            allowed += self._slack / max(self._instance_counts)
        return allowed * INSTANCE_SHARE - sum(self._retries)

    def try_spend(self, now: timedelta, instance_count: int | None) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if self.remaining(now, instance_count) < 1.0:
            return False
        self._retries[self._newest_bucket % (BUCKET_COUNT + 1)] += 1
        return True

    def _advance(self, now: timedelta, instance_count: int | None) -> None:
        current = now // self._bucket_length
        for bucket in range(max(self._newest_bucket + 1, current - BUCKET_COUNT), current + 1):
            position = bucket % (BUCKET_COUNT + 1)
            self._requests[position] = self._retries[position] = 0
            self._instance_counts[position] = 0
        self._newest_bucket = max(self._newest_bucket, current)
        if instance_count is not None:
            position = self._newest_bucket % (BUCKET_COUNT + 1)
            self._instance_counts[position] = max(self._instance_counts[position], instance_count)
