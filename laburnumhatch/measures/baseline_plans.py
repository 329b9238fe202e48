"""Plans that the planner is compared with."""

import numpy as np
import xxhash

from ..planning.group_load import GroupLoad
from ..planning.interfaces import Move, PlanningView
from ..planning.planner import plan_moves

__all__ = ["BASELINE_PLANS", "plan_greedily", "plan_rendezvous"]


def plan_rendezvous(view: PlanningView) -> tuple[Move, ...]:
    """Return the moves that give each slot to its server with the largest hash.

    References
    ----------
    .. [1] D. G. Thaler and C. V. Ravishankar, A name-based mapping scheme for rendezvous, 1996.
    """
    moves = []
    takers = [i for i, server in enumerate(view.servers) if server.accepts_keys]
    for i, owner in enumerate(view.owners):
        best = max(
            takers, key=lambda u: xxhash.xxh3_64_intdigest(f"{view.servers[u].name}/{i}".encode())
        )
        if best != owner:
            moves.append(Move(i, None, owner, best, "largest hash"))
    return tuple(moves)


def plan_greedily(view: PlanningView) -> tuple[Move, ...]:
    """Return moves that even out the load at once, whatever they cost."""
    if not all(owner >= 0 and view.servers[owner].accepts_keys for owner in view.owners):
        return plan_moves(view)
    group = GroupLoad(view)
    takers = np.flatnonzero([server.accepts_keys for server in view.servers])
    moves: list[Move] = []
    while True:
        source = int(takers[group.server_load[takers].argmax()])
        destination = int(takers[group.server_load[takers].argmin()])
        gap = group.server_load[source] - group.server_load[destination]
        slots = group.movable_slots(source)
        fitting = slots[(group.slot_load[slots] < gap) & (group.slot_load[slots] > 0.0)]
        if not len(fitting) or gap < 0.01 * group.server_load[takers].mean():
            return tuple(moves)
        best = int(fitting[np.abs(group.slot_load[fitting] - gap / 2).argmin()])
        group.move_slot(best, destination)
        moves.append(Move(best, None, source, destination, "evens out the load"))


BASELINE_PLANS = {"rendezvous": plan_rendezvous, "greedy": plan_greedily}
