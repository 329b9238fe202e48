"""Weights and bounds of the planner for each objective."""

from dataclasses import dataclass
from datetime import timedelta

from ..routing import Objective

__all__ = ["PlanningPolicy", "policy_of_objective"]


@dataclass(frozen=True, slots=True)
class PlanningPolicy:
    """Weights and bounds of the planner.

    Attributes
    ----------
    start_ratio : float
        Rebalancing starts if the ratio of the largest server load to the mean exceeds this.
    stop_ratio : float
        Rebalancing stops once the ratio of the largest server load to the mean is at most this.
    min_load_ratio : float
        Rebalancing also starts, and continues, while the ratio of the smallest server load to
        the mean is below this.
    horizon : timedelta
        Time for which an improved balance is assumed to last.
    move_pause : timedelta
        Time for which the keys of one move are unavailable.
    unavailable_weight : float
        Cost of one second of unavailable work, in seconds of waiting work.
    move_cost : timedelta
        Fixed cost of a move, as server work. It does not shrink with the load, so that idle
        servers, whose measured loads are mostly noise, exchange nothing.
    settle_time : timedelta
        Minimum time between the last move and a rebalancing plan.
    max_moves : int
        Number of moves after which a rebalancing plan ends.
    hot_key_share : float
        Ratio of the load of a key to the mean server load from which the key may get an owner of
        its own.
    cool_key_share : float
        Ratio up to which such a key returns to the owner of its slot.
    """

    start_ratio: float
    stop_ratio: float
    unavailable_weight: float
    min_load_ratio: float = 0.5
    horizon: timedelta = timedelta(seconds=60)
    move_pause: timedelta = timedelta(milliseconds=200)
    move_cost: timedelta = timedelta(seconds=0.3)
    settle_time: timedelta = timedelta(seconds=5)
    max_moves: int = 64
    hot_key_share: float = 0.05
    cool_key_share: float = 0.01


_POLICIES = {
    Objective.UNAVAILABLE_TIME: PlanningPolicy(
        start_ratio=1.3, stop_ratio=1.15, unavailable_weight=20.0
    ),
    Objective.IMBALANCE: PlanningPolicy(start_ratio=1.15, stop_ratio=1.05, unavailable_weight=5.0),
}


def policy_of_objective(objective: Objective) -> PlanningPolicy:
    """Return the policy for an objective.

    Examples
    --------
    >>> policy_of_objective(Objective.IMBALANCE).start_ratio
    1.15
    """
    return _POLICIES[objective]
