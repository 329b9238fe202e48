"""Simulated targets, and the view that the entry instances have of them."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["KnownTargets", "TargetServer"]

QUEUE_LIMIT_PER_SLOT = 4


@dataclass
class TargetServer:
    """A simulated target with slots and a bounded queue.

    Attributes
    ----------
    name, data_centre : str
    slots : int
    is_up, is_frozen, is_leaving : bool
    factor : float
        Factor by which work takes longer than on a warm target at normal speed.
    running : int
        Requests that occupy a slot.
    connections, peak_connections : int
        Current and maximum number of open connections from all entry instances.
    work_done : float
        Seconds of work that have been started, not multiplied by `factor`.
    latency : float
        Moving average of the time to run a request, in seconds.
    is_undisturbed : bool
        Whether no event has concerned the target so far.
    queue : deque of callable
        Queued requests; a call starts one.
    """

    name: str
    data_centre: str
    slots: int
    is_up: bool = True
    is_frozen: bool = False
    is_leaving: bool = False
    factor: float = 1.0
    running: int = 0
    connections: int = 0
    peak_connections: int = 0
    work_done: float = 0.0
    latency: float = 0.0
    is_undisturbed: bool = True
    queue: deque[Callable[[], None]] = field(default_factory=deque)

    @property
    def in_flight(self) -> int:
        """Number of requests that run or are queued."""
        return self.running + len(self.queue)

    def submit(self, start: Callable[[], None]) -> bool:
        """Start or queue a request; return False if the queue is full."""
        if self.running < self.slots:
            self.running += 1
            start()
            return True
        if len(self.queue) >= QUEUE_LIMIT_PER_SLOT * self.slots:
            return False
        self.queue.append(start)
        return True

    def release_slot(self) -> None:
        """Pass the slot of a finished request to the next in the queue, or free it."""
        if self.queue:
            self.queue.popleft()()
        else:
            self.running -= 1

    def stop(self) -> None:
        """Stop the process and drop all its requests and connections."""
        self.is_up = False
        self.running = self.connections = 0
        self.queue.clear()


class KnownTargets:
    """View of the targets' states that all entry instances share."""

    def __init__(self) -> None:
        self.unavailable: set[str] = set()

    def takes_new_work(self, service: str, target: str) -> bool:
        """Return whether a target takes new work, to the knowledge of the instances."""
        return target not in self.unavailable
