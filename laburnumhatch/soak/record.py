"""Records of the calls, the findings and the disturbed components of a soak run."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..clocks import milliseconds

__all__ = ["Call", "FaultHistory", "Finding", "Outcome"]

# Time without a fault after which a component counts as undisturbed, a bound that the users set.
STABLE_WINDOW = milliseconds(3000)
# Earlier than every instant of the clock.
DISTANT_PAST = timedelta(days=-1)


@dataclass(frozen=True, slots=True)
class Finding:
    """Violation of a guarantee.

    Attributes
    ----------
    rule : str
        Name of the check that found the violation.
    found_at : timedelta
    text : str
    """

    rule: str
    found_at: timedelta
    text: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a call for its caller.

    Attributes
    ----------
    received_at : timedelta
    status : int
        Status of the answer; 0 if no complete answer arrived.
    is_own : bool
        Whether the answer is complete and belongs to the call.
    """

    received_at: timedelta
    status: int
    is_own: bool


@dataclass(slots=True)
class Call:
    """Request that a caller sent.

    Attributes
    ----------
    request_id, kind, path : str
    body : bytes
    is_repeatable : bool
    instance, incarnation : str
        Instance that received the request, and the identifier of its process start.
    sent_at : timedelta
    runs : list of str
        Upstreams that ran the request, in order.
    ended_at : timedelta or None
        Time at which an upstream answered the request.
    outcome : Outcome or None
    """

    request_id: str
    kind: str
    path: str
    body: bytes
    is_repeatable: bool
    instance: str
    incarnation: str
    sent_at: timedelta
    runs: list[str] = field(default_factory=list)
    ended_at: timedelta | None = None
    outcome: Outcome | None = None


class FaultHistory:
    """Tracks which components have a fault, and when the faults of the others ended."""

    def __init__(self) -> None:
        self._active_counts: dict[str, int] = {}
        self._last_ended_at: dict[str, timedelta] = {}

    def begin(self, component: str) -> None:
        """Record the start of a fault of a component."""
        self._active_counts[component] = self._active_counts.get(component, 0) + 1

    def end(self, component: str, now: timedelta) -> None:
        """Record the end of a fault of a component."""
        self._active_counts[component] -= 1
        self._last_ended_at[component] = now

    def record_momentary(self, component: str, now: timedelta) -> None:
        """Record a fault without a duration."""
        self._last_ended_at[component] = now

    def is_stable(self, component: str, now: timedelta, window: timedelta = STABLE_WINDOW) -> bool:
        """Return whether a component has had no fault for a duration."""
        return (
            not self._active_counts.get(component)
            and now - self._last_ended_at.get(component, DISTANT_PAST) >= window
        )
