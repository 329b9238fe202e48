"""Messages between entry instances about instances and targets."""

from dataclasses import dataclass
from datetime import timedelta

from .interfaces import Instance, TargetState

__all__ = ["MEMBERSHIP_MESSAGES", "Heartbeat", "Introduction", "TargetReport"]


@dataclass(frozen=True, slots=True)
class Introduction:
    """First message on a stream.

    Attributes
    ----------
    instance : Instance
        The sender.
    leaving : bool
    """

    instance: Instance
    leaving: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive; `leaving` that it takes on nothing new."""

    leaving: bool


@dataclass(frozen=True, slots=True)
class TargetReport:
    """State of a target as the sender sees it.

    Attributes
    ----------
    service, target : str
    state : TargetState
    age : timedelta
        Time since the evidence for the state.
    """

    service: str
    target: str
    state: TargetState
    age: timedelta


MEMBERSHIP_MESSAGES: tuple[type, ...] = (Introduction, Heartbeat, TargetReport)
