"""Baseline plan functions that the planner is compared with."""

import numpy as np
import xxhash

from ..planning.group_load import GroupLoad
from ..planning.interfaces import Move, PlanningView
from ..planning.planner import plan_moves

__all__ = ["BASELINE_PLANS", "plan_greedily", "plan_rendezvous"]


def plan_rendezvous(view: PlanningView) -> tuple[Move, ...]:
    """Return the moves that assign each slot by rendezvous hashing.

    A slot goes to the server with the largest hash of server and slot, among the servers that
    take keys.

    References
    ----------
    .. [1] D. G. Thaler and C. V. Ravishankar, A name-based mapping scheme for rendezvous, 1996.
    """
    moves = []
    eligible_servers = [i for i, server in enumerate(view.servers) if server.accepts_keys]
    for i, owner in enumerate(view.owners):
        best = max(
            eligible_servers,
            key=lambda u: xxhash.xxh3_64_intdigest(f"{view.servers[u].name}/{i}".encode()),
        )
        if best != owner:
            moves.append(Move(i, None, owner, best, "largest hash"))
    return tuple(moves)


def plan_greedily(view: PlanningView) -> tuple[Move, ...]:
    """Return moves that balance the load immediately, whatever they cost.

    If a slot's owner is missing or takes no keys, the planner's own moves are returned.
    Otherwise, slots move one by one from the most to the least loaded server, until the
    difference is below 1 % of the mean load or no slot makes it smaller.
    """
    if not all(owner >= 0 and view.servers[owner].accepts_keys for owner in view.owners):
        return plan_moves(view)
    group = GroupLoad(view)
    eligible_servers = np.flatnonzero([server.accepts_keys for server in view.servers])
    moves: list[Move] = []
    while True:
        source = int(eligible_servers[group.server_load[eligible_servers].argmax()])
        destination = int(eligible_servers[group.server_load[eligible_servers].argmin()])
        gap = group.server_load[source] - group.server_load[destination]
        slots = group.movable_slots(source)
        fitting = slots[(group.slot_load[slots] < gap) & (group.slot_load[slots] > 0.0)]
        if not len(fitting) or gap < 0.01 * group.server_load[eligible_servers].mean():
            return tuple(moves)
        best = int(fitting[np.abs(group.slot_load[fitting] - gap / 2).argmin()])
        group.move_slot(best, destination)
        moves.append(Move(best, None, source, destination, "evens out the load"))


BASELINE_PLANS = {"rendezvous": plan_rendezvous, "greedy": plan_greedily}
