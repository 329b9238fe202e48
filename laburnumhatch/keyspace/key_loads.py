"""Sums of the request rates of keys over ranges of keys."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from itertools import accumulate

__all__ = ["KeyLoads"]


class KeyLoads:
    """Request rates of keys, prepared for sums over many ranges.

    Parameters
    ----------
    rates : mapping of int to float
        Rate by key, in any unit.

    Examples
    --------
    >>> loads = KeyLoads({7: 1.0, 3: 2.0})
    >>> loads.total(0, 5), loads.total(3, 7), loads.keys(4, 9)
    (2.0, 3.0, [7])
    """

    def __init__(self, rates: Mapping[int, float]) -> None:
        self._keys = sorted(rates)
        self._sums = [0.0, *accumulate(rates[key] for key in self._keys)]

    def total(self, first: int, last: int) -> float:
        """Return the sum of the rates of the keys from `first` to `last`, both included."""
        return (
            self._sums[bisect_right(self._keys, last)] - self._sums[bisect_left(self._keys, first)]
        )

    def keys(self, first: int, last: int) -> Sequence[int]:
        """Return the keys from `first` to `last`, both included, that have a rate, in order."""
        return self._keys[bisect_left(self._keys, first) : bisect_right(self._keys, last)]
