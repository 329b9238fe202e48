"""Description of a fault scenario."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .verdict import Verdict
from .world import World

__all__ = ["ScenarioRun", "Scenario"]

ScenarioRun = Callable[[World], Awaitable[list[Verdict]]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Fault that is injected into a running deployment, with its checks.

    Attributes
    ----------
    name : str
    description : str
        Description of the fault.
    checks_fencing : bool
        Whether the servers that own keys check fencing tokens.
    run : callable
        Injects the fault into a `World` and returns the verdicts specific to the scenario.
    """

    name: str
    description: str
    checks_fencing: bool
    run: ScenarioRun
