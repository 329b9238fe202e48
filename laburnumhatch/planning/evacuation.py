"""Moves of slots and keys whose owner cannot serve them."""

import heapq
from collections.abc import Sequence

from .interfaces import Move, PlanningView

__all__ = ["plan_evacuation"]

# Load added to every slot, as a share of the mean slot load, so that slots without traffic are
# distributed evenly as well.
IDLE_SLOT_SHARE = 0.01


def plan_evacuation(view: PlanningView) -> tuple[Move, ...]:
    """Return the moves of the slots and keys whose owner is missing or takes no keys.

    Parameters
    ----------
    view : PlanningView

    Returns
    -------
    tuple of Move
        Single keys first, then slots in decreasing order of load; empty if no server takes keys.

    Notes
    -----
    Slots are assigned by the longest-processing-time rule [1]_: in decreasing order of load, each
    slot goes to the server that is least loaded at that point. Warm servers take precedence over
    cold ones. A key that has an owner of its own returns to the owner of its slot. The cost is
    O(n log m) for n slots to move and m servers, besides a pass over all slots.

    References
    ----------
    .. [1] R. L. Graham, Bounds on multiprocessing timing anomalies, 1969.
    """
    receivers = [i for i, server in enumerate(view.servers) if server.accepts_keys]
    slots_to_move = [i for i, owner in enumerate(view.owners) if _needs_owner(view, owner)]
    moves = [
        Move(view.slot_of_key(key_hash), key_hash, owner, -1, _reason(view, owner))
        for key_hash, owner in sorted(view.key_owners.items())
        if _needs_owner(view, owner)
    ]
    if not receivers or not (slots_to_move or moves):
        return ()
    weights = idle_adjusted_load(view.slot_load)
    load = server_load(view, weights)
    queue = [(view.servers[i].warmup_remaining, load[i], i) for i in receivers]
    heapq.heapify(queue)
    for i in sorted(slots_to_move, key=lambda i: (-weights[i], i)):
        warmup_remaining, receiver_load, receiver = heapq.heappop(queue)
        owner = view.owners[i]
        moves.append(Move(view.first_slot + i, None, owner, receiver, _reason(view, owner)))
        heapq.heappush(queue, (warmup_remaining, receiver_load + weights[i], receiver))
    return tuple(moves)


def idle_adjusted_load(slot_load: Sequence[float]) -> list[float]:
    """Return the load of each slot, increased so that idle slots count as well.

    Examples
    --------
    >>> idle_adjusted_load([0.0, 0.0])
    [1.0, 1.0]
    """
    mean = sum(slot_load) / len(slot_load) if slot_load else 0.0
    idle = mean * IDLE_SLOT_SHARE or 1.0
    return [load + idle for load in slot_load]


def server_load(view: PlanningView, slot_load: Sequence[float]) -> list[float]:
    """Return the load of each server: that of its slots and of the single keys it owns."""
    load = [0.0] * len(view.servers)
    for owner, weight in zip(view.owners, slot_load, strict=True):
        if owner >= 0:
            load[owner] += weight
    for key_hash, owner in view.key_owners.items():
        if owner >= 0:
            load[owner] += view.key_load.get(key_hash, 0.0)
    return load


def _needs_owner(view: PlanningView, owner: int) -> bool:
    return owner < 0 or not view.servers[owner].accepts_keys


def _reason(view: PlanningView, owner: int) -> str:
    if owner < 0:
        return "the slot has no owner"
    server = view.servers[owner]
    if not server.is_alive:
        return f"{server.name} is gone"
    return f"{server.name} takes no keys"
