"""Requests a second by key, of late."""

from datetime import timedelta

__all__ = ["KeyRates"]

# Counted requests below which a key is forgotten.
FORGOTTEN_COUNT = 0.05
# Share of the half-life between two decays.
DECAY_STEP = 0.1
SHORTEST_WINDOW_S = 0.2


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
        self._began: timedelta | None = None
        self.counts: dict[int, float] = {}

    def count(self, key: int, requests: int, now: timedelta) -> None:
        """Count requests for a key."""
        if self._began is None:
            self._began = now
        self._decay(now)
        self.counts[key] = self.counts.get(key, 0.0) + requests

    def window_s(self, now: timedelta) -> float:
        """Return the seconds of even traffic that a decayed count stands for."""
        whole = self._half_life.total_seconds() / 0.693
        if self._began is None:
            return whole
        counted = 1.0 - 0.5 ** min((now - self._began) / self._half_life, 60.0)
        return max(whole * counted, SHORTEST_WINDOW_S)

    def rates(self, now: timedelta) -> dict[int, float]:
        """Return the requests a second by key."""
        self._decay(now)
        window_s = self.window_s(now)
        return {key: count / window_s for key, count in self.counts.items()}

    def _decay(self, now: timedelta) -> None:
        passed = (now - self._decayed_at) / self._half_life
        if passed < DECAY_STEP:
            return
        factor = 0.5 ** min(passed, 60.0)
        decayed = ((key, count * factor) for key, count in self.counts.items())
        self.counts = {key: count for key, count in decayed if count > FORGOTTEN_COUNT}
        self._decayed_at = now
