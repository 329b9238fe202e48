"""Entry point of the planner."""

from collections.abc import Iterator

from .evacuation import plan_evacuation, server_load
from .interfaces import Move, PlanningView
from .policy import PlanningPolicy, policy_of_objective
from .rebalance import plan_rebalance

__all__ = ["plan_moves"]


def plan_moves(view: PlanningView, policy: PlanningPolicy | None = None) -> tuple[Move, ...]:
    """Return the moves to start now.

    Parameters
    ----------
    view : PlanningView
    policy : PlanningPolicy, optional
        Policy for the objective of the view by default.

    Returns
    -------
    tuple of Move
        In the order in which they should start. If there are slots or keys whose owner is missing
        or takes no keys, the plan moves exactly these, at once and whatever that costs.
        Otherwise, once the policy's settle time has passed since the last move, it rebalances
        the load, or if there is nothing to rebalance, returns keys that have cooled down to the
        owners of their slots.

    Notes
    -----
    The settle time equals the decay time of the load meter, so that the measured load reflects
    the last move before the next decision, as in the adaptation of VM handoff [1]_. A shorter
    settle time causes more moves and table writes for the same balance; the figures are in
    docs/EXPERIMENTS.md.

    References
    ----------
    .. [1] K. Ha et al., Adaptive VM Handoff Across Cloudlets, Carnegie Mellon University, 2015.
    """
    evacuation_moves = plan_evacuation(view)
    if evacuation_moves:
        return evacuation_moves
    if not any(server.accepts_keys for server in view.servers):
        return ()
    policy = policy or policy_of_objective(view.objective)
    if view.time_since_last_move < policy.settle_time:
        return ()
    return plan_rebalance(view, policy) or tuple(_cooled_keys(view, policy))


def _cooled_keys(view: PlanningView, policy: PlanningPolicy) -> Iterator[Move]:
    receiver_count = sum(server.accepts_keys for server in view.servers)
    mean = sum(server_load(view, view.slot_load)) / receiver_count
    for key_hash, owner in sorted(view.key_owners.items()):
        if view.key_load.get(key_hash, 0.0) <= policy.cool_key_share * mean:
            yield Move(view.slot_of_key(key_hash), key_hash, owner, -1, "the key has cooled down")
