"""Recent request rates of keys."""

from datetime import timedelta
from typing import Generic, TypeVar

__all__ = ["KeyRates"]

# Decayed count below which a key is dropped.
MIN_KEPT_COUNT = 0.05
# Minimum time between two decays, as a share of the half-life.
MIN_DECAY_STEP = 0.1
MIN_WINDOW_S = 0.2


Key = TypeVar("Key")


class KeyRates(Generic[Key]):
    """Exponentially decayed request counts of keys.

    Parameters
    ----------
    half_life : timedelta

    Attributes
    ----------
    counts : dict of Key to float
        Decayed number of requests by key.
    """

    def __init__(self, half_life: timedelta) -> None:
        self._half_life = half_life
        self._decayed_at = timedelta()
        self._started_at: timedelta | None = None
        self.counts: dict[Key, float] = {}

    def count_requests(self, key: Key, requests: float, now: timedelta) -> None:
        """Count requests for a key."""
        if self._started_at is None:
            self._started_at = now
        self._decay(now)
        self.counts[key] = self.counts.get(key, 0.0) + requests

    def window_s(self, now: timedelta) -> float:
        """Return the time, in seconds, by which a decayed count is divided to obtain a rate."""
        # The integral of the decay is the half-life over ln 2, which is 0.693.
        full_window_s = self._half_life.total_seconds() / 0.693
        if self._started_at is None:
            return full_window_s
        filled_share = 1.0 - 0.5 ** min((now - self._started_at) / self._half_life, 60.0)
        return max(full_window_s * filled_share, MIN_WINDOW_S)

    def rates(self, now: timedelta) -> dict[Key, float]:
        """Return the requests per second by key."""
        self._decay(now)
        window_s = self.window_s(now)
        return {key: count / window_s for key, count in self.counts.items()}

    def _decay(self, now: timedelta) -> None:
        elapsed = (now - self._decayed_at) / self._half_life
        if elapsed < MIN_DECAY_STEP:
            return
        factor = 0.5 ** min(elapsed, 60.0)
        decayed = ((key, count * factor) for key, count in self.counts.items())
        self.counts = {key: count for key, count in decayed if count > MIN_KEPT_COUNT}
        self._decayed_at = now
