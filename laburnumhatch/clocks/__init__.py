"""Clock interface and clocks, which are injected wherever time is needed."""

from .clock import (
    Cancellable,
    Clock,
    ReactorClock,
    TimeReactor,
    boot_seconds,
    milliseconds,
    to_milliseconds,
    use_boot_time,
)
from .timeout import Timeout

__all__ = [
    "Cancellable",
    "Clock",
    "ReactorClock",
    "TimeReactor",
    "Timeout",
    "boot_seconds",
    "milliseconds",
    "to_milliseconds",
    "use_boot_time",
]
