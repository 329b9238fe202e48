"""Planning of the moves of slots and hot keys between servers."""

from .interfaces import Move, PlanningView, ServerCondition
from .load import LoadMeter, LoadReport, merge_load_reports
from .planner import plan_moves

__all__ = [
    "LoadMeter",
    "LoadReport",
    "Move",
    "PlanningView",
    "ServerCondition",
    "merge_load_reports",
    "plan_moves",
]
