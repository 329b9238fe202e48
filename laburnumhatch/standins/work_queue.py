"""Concurrency limit of an upstream stand-in, with a bounded queue."""

from collections import deque

from twisted.internet.defer import Deferred, succeed

__all__ = ["WorkQueue"]


class WorkQueue:
    """FIFO queue for a fixed number of slots.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run concurrently.
    limit : int
        Maximum number of waiting requests.
    """

    def __init__(self, slots: int, limit: int) -> None:
        self.slots = slots
        self.limit = limit
        self.running = 0
        self._waiting: deque[Deferred[None]] = deque()

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether neither a slot nor a place in the queue is free."""
        return self.running >= self.slots and self.queued >= self.limit

    @property
    def idle(self) -> bool:
        """Whether no request runs or waits."""
        return self.running == 0 and not self._waiting

    def enter(self) -> Deferred[None]:
        """Return a deferred that fires once a slot is acquired; cancelling it leaves the queue."""
        if self.running < self.slots:
            self.running += 1
            return succeed(None)
        turn: Deferred[None] = Deferred(self._waiting.remove)
        self._waiting.append(turn)
        return turn

    def leave(self) -> None:
        """Release a slot, and pass it to the first request in the queue if there is one."""
        if self._waiting:
            self._waiting.popleft().callback(None)
        else:
            self.running -= 1
