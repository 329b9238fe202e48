"""What a coordinator tells the planner, and what the planner answers."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..routing import Objective
from ..routing.slots import slot_of_hash

__all__ = ["Move", "PlanningView", "ServerCondition"]


@dataclass(frozen=True, slots=True)
class ServerCondition:
    """A server as the coordinator knows it.

    Attributes
    ----------
    name : str
    takes_keys : bool
        False for a server that is leaving, suspect or gone.
    alive : bool
        False for a server whose process is known or held to be gone.
    warm_after : timedelta
        Time until a cold start ends; zero for a warm server.
    """

    name: str
    takes_keys: bool
    alive: bool
    warm_after: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class PlanningView:
    """State of one group of slots.

    Attributes
    ----------
    objective : Objective
    servers : sequence of ServerCondition
    owners : sequence of int
        For each slot, the owner's index in `servers`; -1 for none.
    slot_load : sequence of float
        For each slot, load in seconds of server work a second, keys with an owner of their own
        left out.
    key_owners : mapping of int to int
        Owner's index of each key hash that has an owner of its own.
    key_load : mapping of int to float
        Load of the hottest key hashes, those in `key_owners` included.
    since_last_move : timedelta
        Time since the last move of this group took effect.
    first_slot : int
        Slot that the first item of `owners` and of `slot_load` stands for.
    slot_count : int
        Slots of the service, over all its groups; 0 where this group holds them all.
    """

    objective: Objective
    servers: Sequence[ServerCondition]
    owners: Sequence[int]
    slot_load: Sequence[float]
    key_owners: Mapping[int, int]
    key_load: Mapping[int, float]
    since_last_move: timedelta
    first_slot: int = 0
    slot_count: int = 0

    def slot_of_key(self, key_hash: int) -> int:
        """Return the slot of a key's hash."""
        return slot_of_hash(key_hash, self.slot_count or len(self.owners))


@dataclass(frozen=True, slots=True)
class Move:
    """Change of the owner of one slot, or of one key.

    Attributes
    ----------
    slot : int
        The slot, also where only one of its keys moves.
    key_hash : int or None
        The key; None to move the whole slot.
    source : int
        Index of the present owner, or -1.
    destination : int
        Index of the next owner; for a key, -1 returns it to its slot's owner.
    reason : str
        For the operators.
    """

    slot: int
    key_hash: int | None
    source: int
    destination: int
    reason: str
