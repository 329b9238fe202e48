"""Records of the calls, the findings and the disturbed components of a soak run."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..clocks import milliseconds

__all__ = ["Call", "Disturbances", "Finding", "Outcome"]

# Time without a fault after which a component counts as undisturbed, a bound that the users set.
STABLE_WINDOW = milliseconds(3000)
# Earlier than every instant of the clock.
ALWAYS = timedelta(days=-1)


@dataclass(frozen=True, slots=True)
class Finding:
    """Violation of a guarantee.

    Attributes
    ----------
    rule : str
        Name of the check that found the violation.
    at : timedelta
    text : str
    """

    rule: str
    at: timedelta
    text: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a call for its caller.

    Attributes
    ----------
    at : timedelta
    status : int
        Status of the answer; 0 if no complete answer arrived.
    is_own : bool
        Whether the answer is complete and belongs to the call.
    """

    at: timedelta
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
    instance, boot : str
        Instance that received the request, and the identifier of its process start.
    sent : timedelta
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
    boot: str
    sent: timedelta
    runs: list[str] = field(default_factory=list)
    ended_at: timedelta | None = None
    outcome: Outcome | None = None


class Disturbances:
    """Tracks which components have a fault, and when the faults of the others ended."""

    def __init__(self) -> None:
        self._open: dict[str, int] = {}
        self._ended: dict[str, timedelta] = {}

    def begin(self, part: str) -> None:
        """Record the start of a fault of a component."""
        self._open[part] = self._open.get(part, 0) + 1

    def end(self, part: str, now: timedelta) -> None:
        """Record the end of a fault of a component."""
        self._open[part] -= 1
        self._ended[part] = now

    def touch(self, part: str, now: timedelta) -> None:
        """Record a fault without a duration."""
        self._ended[part] = now

    def is_calm(self, part: str, now: timedelta, window: timedelta = STABLE_WINDOW) -> bool:
        """Return whether a component has had no fault for a duration."""
        return not self._open.get(part) and now - self._ended.get(part, ALWAYS) >= window
