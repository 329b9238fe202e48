"""What the planner weighs, for each objective."""

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
        Load of the busiest server over the mean at which rebalancing starts.
    stop_ratio : float
        The ratio below which no further server gives load away.
    fill_ratio : float
        Load of the least busy server over the mean below which rebalancing starts as well.
    horizon : timedelta
        Time for which a better balance is taken to last.
    pause : timedelta
        Time for which the keys of one move are unavailable.
    unavailable_weight : float
        Worth of a second of unavailable work, in seconds of work that waits.
    move_cost : timedelta
        Fixed cost of a move, as server work. It doesn't shrink with the load, so that idle
        servers, whose measured loads are mostly noise, exchange nothing.
    settle_time : timedelta
        Least time between two plans that rebalance.
    moves_limit : int
        Most moves in one plan that rebalances.
    hot_key_share : float
        Load of a key, over the mean of the servers, from which it may get an owner of its own.
    cool_key_share : float
        Load below which such a key returns to its slot's owner.
    """

    start_ratio: float
    stop_ratio: float
    unavailable_weight: float
    fill_ratio: float = 0.5
    horizon: timedelta = timedelta(seconds=60)
    pause: timedelta = timedelta(milliseconds=200)
    move_cost: timedelta = timedelta(seconds=0.3)
    settle_time: timedelta = timedelta(seconds=5)
    moves_limit: int = 64
    hot_key_share: float = 0.05
    cool_key_share: float = 0.01


_POLICIES = {
    Objective.UNAVAILABLE_TIME: PlanningPolicy(
        start_ratio=1.3, stop_ratio=1.15, unavailable_weight=20.0
    ),
    Objective.IMBALANCE: PlanningPolicy(start_ratio=1.15, stop_ratio=1.05, unavailable_weight=5.0),
}


def policy_of_objective(objective: Objective) -> PlanningPolicy:
    """Return the policy that serves an objective.

    Examples
    --------
    >>> policy_of_objective(Objective.IMBALANCE).start_ratio
    1.15
    """
    return _POLICIES[objective]
