"""Measurement of how late the event loop runs its calls."""

from dataclasses import dataclass, field
from datetime import timedelta

import logbook

from ..clocks import Clock, milliseconds

__all__ = ["LoopLagMonitor"]

CHECK_INTERVAL = milliseconds(250)
# Lag from which on a line is logged. Callers notice it, and a leader's renewals are late.
LOGGED_LAG = milliseconds(250)

_log = logbook.Logger("laburnumhatch.loop")


@dataclass(slots=True)
class LoopLagMonitor:
    """Measures by how much a periodic call is late.

    A lag means that other work kept the event loop busy, or that the process or its machine was
    suspended.

    Attributes
    ----------
    clock : Clock
    total : timedelta
        Sum of the lags since the start.
    longest : timedelta
        Longest lag since the start.
    """

    clock: Clock
    total: timedelta = field(default_factory=timedelta)
    longest: timedelta = field(default_factory=timedelta)

    def start(self) -> None:
        """Begin to measure."""
        self._schedule()

    def _schedule(self) -> None:
        self.clock.call_later(CHECK_INTERVAL, self._check, self.clock.now() + CHECK_INTERVAL)

    def _check(self, due: timedelta) -> None:
        self._schedule()
        lag = max(self.clock.now() - due, timedelta())
        self.total += lag
        self.longest = max(self.longest, lag)
        if lag >= LOGGED_LAG:
            _log.warning("the event loop was busy for {:.3f} s", lag.total_seconds())
