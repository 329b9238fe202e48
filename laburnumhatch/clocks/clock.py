"""Clock interface, and a clock based on a Twisted reactor."""

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
    "use_boot_time",
]


class Cancellable(Protocol):
    """Scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; raise an error if it has already run or been cancelled."""

    def active(self) -> bool:
        """Return whether the call is still pending."""


class Clock(Protocol):
    """Source of time and of delayed calls.

    An instant is a `timedelta` since an origin that is fixed while the process runs.
    """

    def now(self) -> timedelta:
        """Return the monotonic instant."""

    def utc(self) -> datetime:
        """Return the wall-clock time in UTC, for display and logs only."""

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Cancellable:
        """Schedule ``call(*args)`` on the event loop after `delay`."""


class TimeReactor(Protocol):
    """Time functions of a Twisted reactor; delays and times are in seconds."""

    def seconds(self) -> float:
        """Return the reactor's time."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Any:
        """Schedule ``callable(*args)`` after `delay`."""


class ReactorClock:
    """Clock based on a reactor, or on ``twisted.internet.task.Clock`` in tests.

    Parameters
    ----------
    reactor : TimeReactor
    monotonic : callable, optional
        Source of `now` in seconds; the reactor's own ``seconds`` by default.

    Notes
    -----
    Twisted's reactors read the wall clock, which may jump. Daemons pass `boot_seconds`, which
    neither jumps nor stops while the machine is suspended, and call `use_boot_time` for the timers.
    """

    def __init__(self, reactor: TimeReactor, monotonic: Callable[[], float] | None = None) -> None:
        self._reactor = reactor
        self._has_own_source = monotonic is not None
        self._seconds = monotonic or reactor.seconds

    def now(self) -> timedelta:
        """Return the monotonic instant."""
        return timedelta(seconds=self._seconds())

    def utc(self) -> datetime:
        """Return the wall-clock time in UTC: the machine's, or the reactor's if it has no other."""
        if self._has_own_source:
            return datetime.now(UTC)
        return datetime.fromtimestamp(self._reactor.seconds(), UTC)

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Cancellable:
        """Schedule ``call(*args)`` on the event loop after `delay`."""
        return self._reactor.callLater(max(0.0, delay.total_seconds()), call, *args)


def boot_seconds() -> float:
    """Return the seconds since the machine booted, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_time(reactor: Any) -> None:
    """Let a reactor's timers go by the time since boot.

    By default they go by the wall clock: they would stand still while it has jumped back, and run
    out at once when it jumps ahead. Call this before any timer is set.
    """
    reactor.seconds = boot_seconds


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
