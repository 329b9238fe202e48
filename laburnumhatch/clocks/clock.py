"""Clock interface, and clocks over a Twisted reactor."""

import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, Protocol

__all__ = [
    "Cancellable",
    "Clock",
    "ReactorClock",
    "TimeReactor",
    "boot_seconds",
    "milliseconds",
    "to_milliseconds",
]


class Cancellable(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; raises if it already ran or was cancelled."""

    def active(self) -> bool:
        """Return whether the call is still to run."""


class Clock(Protocol):
    """Source of time and of delayed calls.

    An instant is a `timedelta` since an origin that is fixed for the life of the process.
    """

    def now(self) -> timedelta:
        """Return the monotonic instant."""

    def utc(self) -> datetime:
        """Return the wall clock's time, for logs and people only."""

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Cancellable:
        """Run ``call(*args)`` on the loop after `delay`."""


class TimeReactor(Protocol):
    """The part of a Twisted reactor that keeps time; delays and times in seconds."""

    def seconds(self) -> float:
        """Return the reactor's time."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Any:
        """Run a call after `delay`."""


class ReactorClock:
    """Clock over a reactor, or over ``twisted.internet.task.Clock`` in tests.

    Parameters
    ----------
    reactor : TimeReactor
    monotonic : callable, optional
        Source of `now` in seconds; the reactor's own ``seconds`` by default.

    Notes
    -----
    Twisted's reactors read the wall clock, which may step. Daemons pass `boot_seconds`, which
    neither steps nor stands still while the machine is suspended.
    """

    def __init__(self, reactor: TimeReactor, monotonic: Callable[[], float] | None = None) -> None:
        self._reactor = reactor
        self._seconds = monotonic or reactor.seconds

    def now(self) -> timedelta:
        """Return the monotonic instant."""
        return timedelta(seconds=self._seconds())

    def utc(self) -> datetime:
        """Return the reactor's time as a date in UTC."""
        return datetime.fromtimestamp(self._reactor.seconds(), UTC)

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Cancellable:
        """Run ``call(*args)`` on the loop after `delay`."""
        return self._reactor.callLater(max(0.0, delay.total_seconds()), call, *args)


def boot_seconds() -> float:
    """Return the seconds since the machine started, time spent suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def milliseconds(n: float) -> timedelta:
    """Return a duration of `n` milliseconds.

    Examples
    --------
    >>> milliseconds(1500).total_seconds()
    1.5
    """
    return timedelta(milliseconds=n)


def to_milliseconds(duration: timedelta) -> int:
    """Return `duration` in whole milliseconds, rounded down.

    Examples
    --------
    >>> to_milliseconds(timedelta(seconds=1.5))
    1500
    """
    return duration // timedelta(milliseconds=1)
