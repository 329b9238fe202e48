"""Discrete-event simulation of a reactor's clock."""

import heapq
from collections.abc import Callable
from typing import Any

__all__ = ["EventLoop"]


class EventLoop:
    """The time interface of a Twisted reactor, in simulated time.

    The time jumps from one event to the next. Events at the same time run in the order in which
    they were scheduled.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._sequence = 0
        self._events: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []

    def seconds(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    def call_at(self, at: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedule a call at a time in seconds."""
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, call, args))

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> None:
        """Schedule a call after a delay in seconds."""
        self.call_at(self._now + delay, callable, *args)

    def run_until(self, end: float) -> None:
        """Run all events up to and including a time in seconds."""
        while self._events and self._events[0][0] <= end:
            self._now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self._now = end
