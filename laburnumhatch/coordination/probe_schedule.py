"""Times of the calls by which a member finds out whether an unavailable store is back."""

from collections.abc import Callable
from datetime import timedelta

from ..clocks import milliseconds

__all__ = ["MIN_PROBE_INTERVAL", "ProbeSchedule"]

# Time between two probes: a minimum, a time for each instance at first and after some of them, and
# a maximum. All instances together must not add to the load of a store in trouble; whichever of
# them finds it available leads and tells the others. But the store may be unavailable to this
# member alone. 30 ms for each instance let one that heard no leader use upstreams for too long that
# had left.
MIN_PROBE_INTERVAL = milliseconds(600)
FIRST_INTERVAL_PER_INSTANCE = milliseconds(13)
INTERVAL_PER_INSTANCE = milliseconds(20)
MAX_PROBE_INTERVAL = milliseconds(3000)
BACKOFF_FACTOR = 1.5
# Outages of a second or two, in which the leader may be lost as well, are to cost no time. The
# first probe follows the failed call at once.
PROBES_BEFORE_BACKOFF = 2
# Largest part by which an interval differs from the mean, in general and after backing off. With
# the former alone the probes of all instances would come together, with gaps, in long outages.
JITTER = 0.2
BACKED_OFF_JITTER = 0.35
# Limits the exponent; the maximum is reached long before.
MAX_BACKOFF_STEPS = 20
# The same for a member to which a leader sends what it needs. It must know whether it may succeed
# that leader, which others can do meanwhile.
SUPPLIED_PROBE_INTERVAL = milliseconds(5000)
LONG_AGO = timedelta(days=-1)


class ProbeSchedule:
    """Decides when a member other than the leader probes an unavailable store.

    Parameters
    ----------
    instance_count : callable
        Returns the likely number of instances.
    draw : callable
        Returns a random number from 0 to 1.
    """

    def __init__(self, instance_count: Callable[[], int], draw: Callable[[], float]) -> None:
        self._instance_count = instance_count
        self._draw = draw
        self._probe_count = 0
        self._deviation = 0.0
        self._supplied_since: timedelta | None = None

    def reset(self) -> None:
        """Begin anew, because the store has become available or unavailable."""
        self._probe_count = 0
        self._supplied_since = None

    def is_due(self, last_sent_at: timedelta, now: timedelta, *, is_supplied: bool) -> bool:
        """Return whether to probe now, and count the probe if so.

        Parameters
        ----------
        last_sent_at : timedelta
            When the last probe was sent.
        now : timedelta
        is_supplied : bool
            Whether a leader is heard that reads the store.
        """
        if is_supplied != (self._supplied_since is not None):
            self._supplied_since = now if is_supplied else None
            self._probe_count = 0
        # A leader is heard by all at the same time, when the store is back. They don't all probe
        # at once then.
        since = max(last_sent_at, self._supplied_since or LONG_AGO)
        if now - since < self._interval():
            return False
        self._probe_count += 1
        # Drawn once for each probe: of one draw for each check the shortest would count.
        self._deviation = 2 * self._draw() - 1.0
        return True

    def _interval(self) -> timedelta:
        jitter = 1.0 + JITTER * self._deviation
        if self._supplied_since is not None and self._probe_count:
            return SUPPLIED_PROBE_INTERVAL * jitter
        count = self._instance_count()
        steps = min(max(self._probe_count - PROBES_BEFORE_BACKOFF, 0), MAX_BACKOFF_STEPS)
        backed_off = FIRST_INTERVAL_PER_INSTANCE * count * BACKOFF_FACTOR**steps
        interval = min(backed_off, INTERVAL_PER_INSTANCE * count, MAX_PROBE_INTERVAL)
        if steps and interval > MIN_PROBE_INTERVAL:
            jitter = 1.0 + BACKED_OFF_JITTER * self._deviation
        return max(interval, MIN_PROBE_INTERVAL) * jitter
