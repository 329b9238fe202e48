"""Decision when a member tries to take over a lost leadership.

Many members find at the same time that there is no leader. Their attempts are spread, so that one
succeeds before the others try, and strong machines go before weak ones.
"""

import random
from collections.abc import Callable
from datetime import timedelta

from ..clocks import milliseconds
from .leadership import Leadership, LeadershipTiming

__all__ = ["Candidacy"]

# Processor cores needed to lead with many upstreams, and the delay of an attempt to take over for
# each missing core.
MIN_LEADER_CORES = 0.8
DELAY_PER_MISSING_CORE = milliseconds(1500)
# Bandwidth needed to lead, for each instance: a new leader sends each of them all upstreams and key
# ranges, some 65 kB, before its other messages. With 15 Mbit/s for 67 instances, that alone fills
# the link for seconds, and the leader yields because it seems to reach nothing.
MIN_LEADER_MBPS_PER_INSTANCE = 0.5
# Delay of an attempt with less bandwidth; longer than the spread of the attempts of the others.
NARROW_LINK_DELAY = milliseconds(600)
# Factor on these delays when there has been no leader yet. Machines start at different speeds, and
# whoever becomes the first leader stays it; nobody is served yet.
FIRST_ELECTION_DELAY_FACTOR = 4
# Time per instance over which the members spread their attempts to replace a lost leader, and the
# maximum of the whole time. The maximum is one interval between reads of the leader's row, since
# members that would try later detect the new leader by such a read.
SPREAD_PER_INSTANCE = milliseconds(8)
MAX_SPREAD = milliseconds(600)
# Time for which a member whose store was unavailable leaves the leadership to others: what it knows
# is older than what they know, and a former leader may renew its row.
RETURN_DELAY = milliseconds(700)
# Time after its store became available within which a member doesn't delay its attempt at random:
# members find at different times that it is. In a model of 67 instances whose leader was lost in an
# outage, there was a leader again 0.1 to 0.3 s earlier, for up to 30 attempts instead of 3.
RETURN_SPREAD_LIMIT = 2 * RETURN_DELAY
# Part of the spread that the members' periodic checks, which begin at different times, account for.
CHECK_SPREAD = milliseconds(100)
LONG_AGO = timedelta(days=-1)


class Candidacy:
    """Times of this member's attempts to become the leader.

    Parameters
    ----------
    leadership : Leadership
    timing : LeadershipTiming
    cores : float
        Processing power of the machine, in cores of the usual speed.
    link_mbps : float
        Bandwidth of the machine's link, in Mbit/s.
    instance_count : callable
        Returns the likely number of instances.

    Attributes
    ----------
    random_source : random.Random
    """

    def __init__(
        self,
        leadership: Leadership,
        timing: LeadershipTiming,
        cores: float,
        link_mbps: float,
        instance_count: Callable[[], int],
    ) -> None:
        self._leadership = leadership
        self._timing = timing
        self._missing_cores = max(0.0, MIN_LEADER_CORES - cores)
        self._link_mbps = link_mbps
        self._instance_count = instance_count
        self._vacant_since: timedelta | None = None
        self._delay = timedelta()
        self._retry_interval = self._weak_machine_delay()
        self.random_source = random.Random()

    def may_try_now(
        self,
        now: timedelta,
        *,
        is_able: bool,
        last_tried_at: timedelta,
        store_available_since: timedelta = LONG_AGO,
    ) -> bool:
        """Return whether this member should try to become the leader now.

        Parameters
        ----------
        now : timedelta
        is_able : bool
            Whether the member has what it needs to lead.
        last_tried_at : timedelta
            When its last write of the leader's row was sent.
        store_available_since : timedelta, optional
            When the store became available to it after an outage.
        """
        if now - store_available_since < RETURN_DELAY:
            return False
        if not is_able or not self._leadership.may_take_over(now):
            self._vacant_since = None
            return False
        if self._vacant_since is None:
            self._vacant_since = now
            self._delay = self._spread() * self.random_source.random()
            if now - store_available_since < RETURN_SPREAD_LIMIT:
                self._delay = timedelta()
        has_waited = now - self._vacant_since >= self._weak_machine_delay() + self._delay
        if not has_waited or now - last_tried_at < self._retry_interval:
            return False
        # Randomised, because all waiting members may try at the same instant.
        retry_interval = self._timing.takeover_retry_interval * (1 + self.random_source.random())
        self._retry_interval = retry_interval + self._weak_machine_delay()
        self._vacant_since = None
        return True

    def _spread(self) -> timedelta:
        """Return the time over which the members spread their attempts."""
        spread = min(SPREAD_PER_INSTANCE * self._instance_count(), MAX_SPREAD)
        return max(spread - CHECK_SPREAD, timedelta())

    def _weak_machine_delay(self) -> timedelta:
        is_first_election = self._leadership.is_row_known and self._leadership.row is None
        factor = FIRST_ELECTION_DELAY_FACTOR if is_first_election else 1
        delay = DELAY_PER_MISSING_CORE * self._missing_cores
        if self._link_mbps < MIN_LEADER_MBPS_PER_INSTANCE * self._instance_count():
            delay += NARROW_LINK_DELAY
        return delay * factor
