"""The planner."""

from .evacuation import plan_evacuation
from .interfaces import Move, PlanningView

__all__ = ["plan_moves"]


def plan_moves(view: PlanningView) -> tuple[Move, ...]:
    """Return the moves to start now.

    Parameters
    ----------
    view : PlanningView

    Returns
    -------
    tuple of Move
        In the order in which they should start. Slots and keys of servers that take no keys
        come first, whatever they cost.
    """
    return plan_evacuation(view)
