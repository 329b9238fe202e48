"""Owners and load of one group of slots during planning."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from .interfaces import PlanningView

__all__ = ["GroupLoad", "HotKey"]


@dataclass(slots=True)
class HotKey:
    """A key whose load is known.

    Attributes
    ----------
    key_hash : int
    slot_index : int
        Index of its slot within the group.
    load : float
        Seconds of server work a second.
    owner : int
        Index of the server that owns the key, directly or as the owner of its slot.
    is_overridden : bool
        Whether the key has an owner of its own, which overrides the owner of its slot.
    """

    key_hash: int
    slot_index: int
    load: float
    owner: int
    is_overridden: bool


class GroupLoad:
    """Owners and load of a group, updated with each move that is planned.

    Parameters
    ----------
    view : PlanningView
        A state in which every owner takes keys.

    Attributes
    ----------
    owners : numpy.ndarray of int
        Owner of each slot.
    slot_load : numpy.ndarray of float
        Load of each slot, excluding keys that have an owner of their own.
    server_load : numpy.ndarray of float
        Load of each server.
    hot_keys : list of HotKey
    """

    def __init__(self, view: PlanningView) -> None:
        self.owners = np.asarray(view.owners, dtype=np.int64)
        self.slot_load = np.array(view.slot_load, dtype=np.float64)
        self.hot_keys = _hot_keys(view, self.owners)
        self.server_load = np.bincount(
            self.owners, weights=self.slot_load, minlength=len(view.servers)
        ).astype(np.float64)
        for key in self.hot_keys:
            if key.is_overridden:
                self.server_load[key.owner] += key.load
        self._moved = np.zeros(len(self.owners), dtype=bool)
        self._moved_keys: set[int] = set()

    def movable_slots(self, server: int) -> np.ndarray:
        """Return the indices of a server's slots that have not moved in this plan."""
        return np.flatnonzero((self.owners == server) & ~self._moved)

    def movable_keys(self, server: int) -> Sequence[HotKey]:
        """Return a server's hot keys that have not moved in this plan, alone or with a slot."""
        return [
            key
            for key in self.hot_keys
            if key.owner == server
            and key.key_hash not in self._moved_keys
            and (key.is_overridden or not self._moved[key.slot_index])
        ]

    def move_slot(self, slot_index: int, destination: int) -> None:
        """Move a slot, with its keys that have no owner of their own, to another server."""
        load = self.slot_load[slot_index]
        self.server_load[self.owners[slot_index]] -= load
        self.server_load[destination] += load
        self.owners[slot_index] = destination
        self._moved[slot_index] = True
        for key in self.hot_keys:
            if key.slot_index == slot_index and not key.is_overridden:
                key.owner = destination

    def move_key(self, key: HotKey, destination: int) -> None:
        """Move a single key to another server, which becomes its own owner."""
        if not key.is_overridden:
            self.slot_load[key.slot_index] -= key.load
            key.is_overridden = True
        self.server_load[key.owner] -= key.load
        self.server_load[destination] += key.load
        key.owner = destination
        self._moved_keys.add(key.key_hash)


def _hot_keys(view: PlanningView, owners: np.ndarray) -> list[HotKey]:
    keys = []
    for key_hash in sorted({*view.key_load, *view.key_owners}):
        slot_index = view.slot_of_key(key_hash) - view.first_slot
        if not 0 <= slot_index < len(owners):
            continue
        load = view.key_load.get(key_hash, 0.0)
        is_overridden = key_hash in view.key_owners
        owner = view.key_owners[key_hash] if is_overridden else int(owners[slot_index])
        if not is_overridden:
            load = min(load, view.slot_load[slot_index])
        keys.append(HotKey(key_hash, slot_index, load, owner, is_overridden))
    return keys
