"""Moves that give slots and keys without a usable owner to another server."""

import heapq
from collections.abc import Sequence

from .interfaces import Move, PlanningView

__all__ = ["plan_evacuation"]

# Load that a slot without traffic counts as, as a share of the mean, so that idle slots spread.
IDLE_SLOT_SHARE = 0.01


def plan_evacuation(view: PlanningView) -> tuple[Move, ...]:
    """Return the moves of slots and keys whose owner takes no keys.

    Parameters
    ----------
    view : PlanningView

    Returns
    -------
    tuple of Move
        Heaviest first; empty where no server takes keys.

    Notes
    -----
    The longest-processing-time rule [1]_: each slot goes to the server with the least load by
    then. Warm servers go before cold ones. A key of its own returns to its slot's owner when
    that one takes keys. The cost is O(n log m) for n stranded slots and m servers.

    References
    ----------
    .. [1] R. L. Graham, Bounds on multiprocessing timing anomalies, 1969.
    """
    takers = [i for i, server in enumerate(view.servers) if server.takes_keys]
    stranded = [i for i, owner in enumerate(view.owners) if _stranded(view, owner)]
    moves = [
        Move(view.slot_of_key(key_hash), key_hash, owner, -1, _reason(view, owner))
        for key_hash, owner in sorted(view.key_owners.items())
        if _stranded(view, owner)
    ]
    if not takers or not (stranded or moves):
        return ()
    weights = idle_adjusted_load(view.slot_load)
    load = server_load(view, weights)
    queue = [(view.servers[i].warm_after, load[i], i) for i in takers]
    heapq.heapify(queue)
    for i in sorted(stranded, key=lambda i: (-weights[i], i)):
        warm_after, busy, taker = heapq.heappop(queue)
        owner = view.owners[i]
        moves.append(Move(view.first_slot + i, None, owner, taker, _reason(view, owner)))
        heapq.heappush(queue, (warm_after, busy + weights[i], taker))
    return tuple(moves)


def idle_adjusted_load(slot_load: Sequence[float]) -> list[float]:
    """Return the load of each slot, with a small load for idle ones.

    Examples
    --------
    >>> idle_adjusted_load([0.0, 0.0])
    [1.0, 1.0]
    """
    mean = sum(slot_load) / len(slot_load) if slot_load else 0.0
    idle = mean * IDLE_SLOT_SHARE or 1.0
    return [load + idle for load in slot_load]


def server_load(view: PlanningView, slot_load: Sequence[float]) -> list[float]:
    """Return the load of each server: its slots' and that of the keys it owns."""
    load = [0.0] * len(view.servers)
    for owner, weight in zip(view.owners, slot_load, strict=True):
        if owner >= 0:
            load[owner] += weight
    for key_hash, owner in view.key_owners.items():
        if owner >= 0:
            load[owner] += view.key_load.get(key_hash, 0.0)
    return load


def _stranded(view: PlanningView, owner: int) -> bool:
    return owner < 0 or not view.servers[owner].takes_keys


def _reason(view: PlanningView, owner: int) -> str:
    if owner < 0:
        return "the slot has no owner"
    server = view.servers[owner]
    if not server.alive:
        return f"{server.name} is gone"
    return f"{server.name} takes no keys"
