"""Clocks that are passed in."""

from .clock import (
    Cancellable,
    Clock,
    ReactorClock,
    TimeReactor,
    boot_seconds,
    milliseconds,
    to_milliseconds,
)

__all__ = [
    "Cancellable",
    "Clock",
    "ReactorClock",
    "TimeReactor",
    "boot_seconds",
    "milliseconds",
    "to_milliseconds",
]
