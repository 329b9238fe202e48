"""Requests that an upstream which warms up may get, and the token bucket that keeps to them."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["PermitBucket", "WarmupAllowance"]

# Requests that arrive within a second got their permits within a longer time. A permit is used up
# to 150 ms after it was asked for, a new connection takes up to 400 ms, delays on links vary by
# some 10 ms; the rest is for a leader that still grants while its successor begins.
GRANT_WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class WarmupAllowance:
    """Requests that may arrive in one second at an upstream that warms up.

    Attributes
    ----------
    overage : float
        Factor on the rate that its service specifies.
    slack : float
        Number of further requests.
    """

    overage: float
    slack: float

    def rate_and_burst(self, rate_per_s: float) -> tuple[float, float]:
        """Return the rate, in requests per second, and the size of the token bucket.

        The tokens of `GRANT_WINDOW_S` and one burst are within the allowance. An allowance too
        small for that and one request lowers the rate; one below a request allows none.
        """
        allowed = rate_per_s * self.overage + self.slack
        if allowed < 1.0:
            return 0.0, 0.0
        rate_per_s = min(rate_per_s, (allowed - 1.0) / GRANT_WINDOW_S)
        return rate_per_s, min(allowed - rate_per_s * GRANT_WINDOW_S, max(1.0, rate_per_s))


@dataclass(slots=True)
class PermitBucket:
    """Token bucket of one upstream at the leader.

    It is empty at first: others may have sent requests just before, by their former knowledge or by
    permits of a former leader. So the buckets of two leaders in succession hold no more together
    than one.

    Attributes
    ----------
    refilled_at : timedelta
    tokens : float
    """

    refilled_at: timedelta
    tokens: float = 0.0

    def refill(self, rate_per_s: float, burst: float, now: timedelta) -> bool:
        """Add the tokens of the time since the last call; return whether there is a whole one."""
        elapsed_s = (now - self.refilled_at).total_seconds()
        self.tokens = min(self.tokens + elapsed_s * rate_per_s, burst)
        self.refilled_at = now
        return self.tokens >= 1.0
