"""Plans that move slots and hot keys between servers."""

from .interfaces import Move, PlanningView, ServerCondition

__all__ = ["Move", "PlanningView", "ServerCondition"]
