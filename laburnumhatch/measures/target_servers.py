"""Stand-ins for targets and for what the entry instances know of them."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["KnownTargets", "TargetServer"]

QUEUE_PER_SLOT = 4


@dataclass
class TargetServer:
    """A target: slots with a bounded queue before them.

    Attributes
    ----------
    name, data_centre : str
    slots : int
    up, frozen, leaving : bool
    factor : float
        How much longer than usual the work takes.
    connections, peak_connections : int
        Open connections of all entry instances.
    work_done : float
        Seconds of work, as if all targets were equally fast.
    steady : bool
        Whether nothing ever happened to it.
    """

    name: str
    data_centre: str
    slots: int
    up: bool = True
    frozen: bool = False
    leaving: bool = False
    factor: float = 1.0
    running: int = 0
    connections: int = 0
    peak_connections: int = 0
    work_done: float = 0.0
    latency: float = 0.0
    steady: bool = True
    waiting: deque[Callable[[], None]] = field(default_factory=deque)

    @property
    def in_flight(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.waiting)

    def enter(self, start: Callable[[], None]) -> bool:
        """Start a request now or later; False where the queue is full."""
        if self.running < self.slots:
            self.running += 1
            start()
            return True
        if len(self.waiting) >= QUEUE_PER_SLOT * self.slots:
            return False
        self.waiting.append(start)
        return True

    def leave(self) -> None:
        """Give a slot to the next request."""
        if self.waiting:
            self.waiting.popleft()()
        else:
            self.running -= 1

    def stop(self) -> None:
        """Lose all requests and connections."""
        self.up = False
        self.running = self.connections = 0
        self.waiting.clear()


class KnownTargets:
    """What the entry instances know of the targets' state."""

    def __init__(self) -> None:
        self.closed: set[str] = set()

    def takes_new_work(self, service: str, target: str) -> bool:
        """Return whether a target takes new work, as far as the instances know."""
        return target not in self.closed
