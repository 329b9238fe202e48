"""The map from keys to owners by which the instances route requests."""

from bisect import bisect_right
from dataclasses import dataclass, field

from ..fleet import UpstreamIncarnation

__all__ = ["MapRange", "OwnershipMap"]


@dataclass(frozen=True, slots=True)
class MapRange:
    """A range of keys with one owner.

    Attributes
    ----------
    first, last : int
        Range of keys, both ends included.
    owner : UpstreamIncarnation
    is_held : bool
        Whether the owner has acknowledged its grant and has not been ordered to release it.
    awaits_lease_expiry : bool
        Whether no upstream serves the range until the lease of a former owner expires, which takes
        seconds.
    """

    first: int
    last: int
    owner: UpstreamIncarnation
    is_held: bool
    awaits_lease_expiry: bool = False


@dataclass(frozen=True, slots=True)
class OwnershipMap:
    """The owners of one service's keys.

    Attributes
    ----------
    service : str
    version : int
        Number that increases with each change while the leader stays the same.
    ranges : tuple of MapRange
        Ordered by key. Keys outside these ranges have no owner.

    Notes
    -----
    The map may be out of date: an upstream refuses requests for keys that it doesn't hold.
    """

    service: str
    version: int
    ranges: tuple[MapRange, ...]
    _starts: tuple[int, ...] = field(default=(), compare=False, repr=False)

    def __post_init__(self) -> None:
        if len(self._starts) != len(self.ranges):
            object.__setattr__(self, "_starts", tuple(r.first for r in self.ranges))

    def find(self, key: int) -> MapRange | None:
        """Return the range that contains a key, or None if the key has no owner."""
        position = bisect_right(self._starts, key) - 1
        if position < 0:
            return None
        found = self.ranges[position]
        return found if key <= found.last else None
