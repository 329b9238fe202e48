"""Concurrency limit of an upstream stand-in, with a bounded queue."""

from collections import deque

from twisted.internet.defer import Deferred, succeed

__all__ = ["WorkQueue"]


class WorkQueue:
    """FIFO queue for a fixed number of slots.

    Parameters
    ----------
    max_running : int
        Maximum number of requests that run concurrently.
    max_queued : int
        Maximum number of waiting requests.
    """

    def __init__(self, max_running: int, max_queued: int) -> None:
        self.max_running = max_running
        self.max_queued = max_queued
        self.running_count = 0
        self._waiting: deque[Deferred[None]] = deque()

    @property
    def queued_count(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether neither a slot nor a place in the queue is free."""
        return self.running_count >= self.max_running and self.queued_count >= self.max_queued

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or waits."""
        return self.running_count == 0 and not self._waiting

    def acquire(self) -> Deferred[None]:
        """Return a deferred that fires once a slot is acquired; cancelling it leaves the queue."""
        if self.running_count < self.max_running:
            self.running_count += 1
            return succeed(None)
        acquired: Deferred[None] = Deferred(self._waiting.remove)
        self._waiting.append(acquired)
        return acquired

    def release(self) -> None:
        """Release a slot, and pass it to the first request in the queue if there is one."""
        if self._waiting:
            self._waiting.popleft().callback(None)
        else:
            self.running_count -= 1
