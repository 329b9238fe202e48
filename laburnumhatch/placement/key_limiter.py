"""Selection of the requests for a busy key that this instance sends."""

import random
from dataclasses import dataclass, field

__all__ = ["KeyLimiter"]

# Number of keys whose fraction of a request is remembered.
MAX_REMEMBERED_KEYS = 500


@dataclass(slots=True)
class KeyLimiter:
    """Sends a given share of the requests for each key, evenly spaced.

    A fraction of a request is carried over to the next one. It starts at random, so that the
    instances, each with few requests for a key, send the share together.
    """

    rng: random.Random = field(default_factory=random.Random)
    _fractions: dict[tuple[str, int, int], float] = field(default_factory=dict)

    def admits(self, service: str, key: int, priority: int, share: float) -> bool:
        """Return whether a request is sent, of which `share` (0 to 1) may be sent."""
        if share >= 1.0:
            return True
        entry = (service, key, priority)
        fraction = self._fractions.pop(entry, None)
        if fraction is None:
            fraction = self.rng.random()
            if len(self._fractions) >= MAX_REMEMBERED_KEYS:
                del self._fractions[next(iter(self._fractions))]
        fraction += share
        is_admitted = fraction >= 1.0
        self._fractions[entry] = fraction - 1.0 if is_admitted else fraction
        return is_admitted
