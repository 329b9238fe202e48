"""Messages that entry instances exchange about instances and targets."""

from dataclasses import dataclass
from datetime import timedelta

from .interfaces import Instance, TargetState

__all__ = ["MEMBERSHIP_MESSAGES", "Heartbeat", "Introduction", "TargetReport"]


@dataclass(frozen=True, slots=True)
class Introduction:
    """First message on a stream; it identifies the sender.

    Attributes
    ----------
    instance : Instance
        The sender.
    is_leaving : bool
        Whether the sender is shutting down and takes on no new work.
    """

    instance: Instance
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message that shows that the sender is running.

    Attributes
    ----------
    is_leaving : bool
        Whether the sender is shutting down and takes on no new work.
    """

    is_leaving: bool


@dataclass(frozen=True, slots=True)
class TargetReport:
    """State of a target as observed by the sender.

    Attributes
    ----------
    service, target : str
    state : TargetState
    evidence_age : timedelta
        Time since the observation on which the state is based.
    """

    service: str
    target: str
    state: TargetState
    evidence_age: timedelta


MEMBERSHIP_MESSAGES: tuple[type, ...] = (Introduction, Heartbeat, TargetReport)
