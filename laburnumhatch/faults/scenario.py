"""A failure that is brought about in a running deployment."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .verdict import Verdict
from .world import World

__all__ = ["ScenarioRun", "Scenario"]

ScenarioRun = Callable[[World], Awaitable[list[Verdict]]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A failure and its verdicts.

    Attributes
    ----------
    name : str
    failure : str
        What is brought about.
    checks_fencing : bool
        Whether the servers that own keys check fencing tokens.
    run : callable
        Brings the failure about in a `World` and returns the verdicts of its own.
    """

    name: str
    failure: str
    checks_fencing: bool
    run: ScenarioRun
