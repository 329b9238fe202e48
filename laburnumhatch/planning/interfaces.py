"""Input and output of the planner."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..routing import Objective
from ..routing.slots import slot_of_hash

__all__ = ["Move", "PlanningView", "ServerCondition"]


@dataclass(frozen=True, slots=True)
class ServerCondition:
    """Condition of a server as known to the coordinator.

    Attributes
    ----------
    name : str
    accepts_keys : bool
        Whether keys may be moved to the server and stay there; False if it is leaving, suspect or
        gone.
    is_alive : bool
        False if the process of the server is known or assumed to have ended.
    warmup_remaining : timedelta
        Remaining time of a cold start; zero for a warm server.
    """

    name: str
    accepts_keys: bool
    is_alive: bool
    warmup_remaining: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class PlanningView:
    """State of one group of slots, the input of a plan.

    Attributes
    ----------
    objective : Objective
    servers : sequence of ServerCondition
    owners : sequence of int
        For each slot, the index of its owner in `servers`; -1 if it has none.
    slot_load : sequence of float
        For each slot, its load in seconds of server work a second, excluding keys that have an
        owner of their own.
    key_owners : mapping of int to int
        For the hash of each key that has an owner of its own, the index of that owner.
    key_load : mapping of int to float
        Load of the hottest keys by hash, including those in `key_owners`.
    time_since_last_move : timedelta
        Time since the last move of this group took effect.
    first_slot : int
        Number of the slot at index 0 of `owners` and `slot_load`.
    slot_count : int
        Number of slots of the service over all its groups; 0 if this group holds all of them.
    """

    objective: Objective
    servers: Sequence[ServerCondition]
    owners: Sequence[int]
    slot_load: Sequence[float]
    key_owners: Mapping[int, int]
    key_load: Mapping[int, float]
    time_since_last_move: timedelta
    first_slot: int = 0
    slot_count: int = 0

    def slot_of_key(self, key_hash: int) -> int:
        """Return the slot of a key's hash."""
        return slot_of_hash(key_hash, self.slot_count or len(self.owners))


@dataclass(frozen=True, slots=True)
class Move:
    """Change of the owner of one slot or of one key.

    Attributes
    ----------
    slot : int
        Number of the slot; for a key, the slot that contains it.
    key_hash : int or None
        Hash of the key to move; None to move the whole slot.
    source : int
        Index of the current owner; -1 if there is none.
    destination : int
        Index of the new owner; for a key, -1 returns it to the owner of its slot.
    reason : str
        Explanation for operators.
    """

    slot: int
    key_hash: int | None
    source: int
    destination: int
    reason: str
