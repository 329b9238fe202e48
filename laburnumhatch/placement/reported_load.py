"""Load that an upstream reported in an answer, as this instance uses it."""

from dataclasses import dataclass
from datetime import timedelta

from ..clocks import milliseconds

__all__ = ["REPORT_LIFETIME", "ReportedLoad"]

# Age after which a report is not used any more.
REPORT_LIFETIME = milliseconds(500)
# Age of the counts in the leader's totals when they arrive: instances report every 250 ms, and the
# leader sends totals as often, so half of each on average.
TOTALS_AGE = milliseconds(250)
# Weight of one report in the smoothed pace, which changes many times a second.
PACE_WEIGHT = 0.12
LONG_AGO = timedelta(days=-1)


@dataclass(slots=True)
class ReportedLoad:
    """What an upstream reported of its load, and the leader's totals that it stands in for.

    Attributes
    ----------
    reported_at : timedelta
        Instant of the last answer that told the requests in flight.
    declined_at : timedelta
        Instant of the last answer that declined a request.
    totals_others : int
        Requests in flight from the other instances by the leader's last totals.
    has_invalid_figure : bool
        Whether a figure was invalid, which is logged once.
    """

    reported_at: timedelta = LONG_AGO
    declined_at: timedelta = LONG_AGO
    totals_others: int = 0
    has_invalid_figure: bool = False
    _pace: float = 0.0
    _pace_at: timedelta = LONG_AGO

    def is_fresher(self, totals_at: timedelta) -> bool:
        """Return whether the report is from after the counts in totals that arrived then."""
        return self.reported_at > totals_at - TOTALS_AGE

    def others_in_flight(
        self, in_flight: int, own_in_flight: int, known_others: int, now: timedelta
    ) -> int:
        """Return the requests in flight from other instances by an answer of this moment.

        Requests that this instance has sent since are added by its own count. An answer that
        declined a request tells that the upstream was full, so reports don't lower the count then.
        """
        self.reported_at = now
        others = max(0, in_flight - own_in_flight)
        has_declined = now - self.declined_at <= REPORT_LIFETIME
        return max(others, known_others) if has_declined else others

    def record_pace(self, pace: float, now: timedelta) -> None:
        """Record how long work takes on the machine, relative to the usual time."""
        is_recent = now - self._pace_at <= REPORT_LIFETIME
        self._pace += (pace - self._pace) * (PACE_WEIGHT if is_recent else 1.0)
        self._pace_at = now

    def pace(self, now: timedelta) -> float | None:
        """Return the smoothed relative time that work takes; None without a recent report."""
        return self._pace if now - self._pace_at <= REPORT_LIFETIME else None
