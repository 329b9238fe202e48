"""Requests a second by key, of late."""

from datetime import timedelta

__all__ = ["KeyRates"]

# Counted requests below which a key is forgotten.
MIN_KEPT_COUNT = 0.05
# Share of the half-life between two decays.
MIN_DECAY_STEP = 0.1
MIN_WINDOW_S = 0.2


class KeyRates:
    """Exponentially decayed counts of requests by key.

    Parameters
    ----------
    half_life : timedelta

    Attributes
    ----------
    counts : dict of int to float
        Decayed requests by key.
    """

    def __init__(self, half_life: timedelta) -> None:
        self._half_life = half_life
        self._decayed_at = timedelta()
        self._started_at: timedelta | None = None
        self.counts: dict[int, float] = {}

    def count_requests(self, key: int, requests: int, now: timedelta) -> None:
        """Count requests for a key."""
        if self._started_at is None:
            self._started_at = now
        self._decay(now)
        self.counts[key] = self.counts.get(key, 0.0) + requests

    def window_s(self, now: timedelta) -> float:
        """Return the seconds of even traffic that a decayed count stands for."""
        full_window_s = self._half_life.total_seconds() / 0.693
        if self._started_at is None:
            return full_window_s
        filled_share = 1.0 - 0.5 ** min((now - self._started_at) / self._half_life, 60.0)
        return max(full_window_s * filled_share, MIN_WINDOW_S)

    def rates(self, now: timedelta) -> dict[int, float]:
        """Return the requests a second by key."""
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
