"""The state that this instance has received from the leader."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import logbook

from ..fleet import Upstream
from ..keyspace import MapRange, OwnershipMap, decode_record
from ..placement.loads import UpstreamTotals
from .changes import apply_map, apply_registry
from .messages import LeaderUpdate
from .store import StoredRow, generation_of
from .totals import unpack_totals

__all__ = ["ReceivedState", "maps_of_rows"]

_log = logbook.Logger("laburnumhatch.member")


@dataclass(slots=True)
class ReceivedState:
    """The accumulated updates from the leader on the current stream.

    Attributes
    ----------
    upstreams : dict of str to Upstream
        Upstreams by name.
    maps : dict of str to OwnershipMap
        Ownership maps by service.
    known_registry_version : int
        Version of the leader's list of upstreams.
    is_in_effect : bool
        Whether the instance uses this state, rather than what it has read from the store since.
    """

    upstreams: dict[str, Upstream] = field(default_factory=dict)
    maps: dict[str, OwnershipMap] = field(default_factory=dict)
    known_registry_version: int = 0
    _positions: dict[str, int] = field(default_factory=dict)
    is_in_effect: bool = False

    def apply(self, update: LeaderUpdate) -> None:
        """Apply the changes in an update."""
        for changes in update.map_changes:
            self.maps[changes.service] = apply_map(self.maps.get(changes.service), changes)
        if update.registry_changes is not None:
            self.upstreams = apply_registry(self.upstreams, update.registry_changes)
            self.known_registry_version = update.registry_changes.version
            self._positions = {name: i for i, name in enumerate(sorted(self.upstreams))}

    def totals(self, update: LeaderUpdate) -> Callable[[str], UpstreamTotals | None] | None:
        """Return a function that finds the totals of an upstream in an update.

        Returns None if the totals belong to another list of upstreams.
        """
        if update.totals is None or update.totals.registry_version != self.known_registry_version:
            return None
        return unpack_totals(update.totals.packed, self._positions)


def maps_of_rows(
    rows: Iterable[StoredRow], known: Mapping[str, OwnershipMap]
) -> dict[str, OwnershipMap]:
    """Return the ownership maps by service that the rows of the store hold.

    Rows that can't be decoded are logged and left out. So are those that are older than the store,
    which has come back from a copy, if a map of the service is `known`.
    """
    maps = {}
    for row in rows:
        try:
            record = decode_record(row.value)
        except ValueError as e:
            _log.error("the ownership record of service {} can't be decoded: {}", row.key, e)
            continue
        if row.key in known and record.generation < generation_of(row.version):
            continue
        ranges = tuple(
            MapRange(r.first, r.last, r.owner, r.former is None)
            for r in sorted(record.ranges, key=lambda r: r.first)
        )
        maps[row.key] = OwnershipMap(row.key, 0, ranges)
    return maps
