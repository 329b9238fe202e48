"""Slots of an upstream stand-in, and the bounded queue before them."""

from collections import deque

from twisted.internet.defer import Deferred, succeed

__all__ = ["WorkQueue"]


class WorkQueue:
    """First-come queue for a fixed number of slots.

    Parameters
    ----------
    slots : int
        Requests that run at a time.
    limit : int
        Requests that wait at most.
    """

    def __init__(self, slots: int, limit: int) -> None:
        self.slots = slots
        self.limit = limit
        self.running = 0
        self._waiting: deque[Deferred[None]] = deque()

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether a further request would neither run nor wait."""
        return self.running >= self.slots and self.queued >= self.limit

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self.running == 0 and not self._waiting

    def enter(self) -> Deferred[None]:
        """Return a deferred that fires when a slot is taken; cancelling it leaves the queue."""
        if self.running < self.slots:
            self.running += 1
            return succeed(None)
        turn: Deferred[None] = Deferred(self._waiting.remove)
        self._waiting.append(turn)
        return turn

    def leave(self) -> None:
        """Give a slot back, to the next request in the queue if there is one."""
        if self._waiting:
            self._waiting.popleft().callback(None)
        else:
            self.running -= 1
