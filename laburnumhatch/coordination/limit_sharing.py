"""Exchange of the limits that upstreams announce between the leader and the other instances."""

from collections.abc import Callable, Collection, Mapping
from datetime import timedelta

from ..clocks import milliseconds
from ..fleet import Upstream
from ..keyspace.key_rates import KeyRates
from ..placement import RequestLimits
from .messages import AnnouncedLimit, LimitReport, LimitUpdate, ServiceDemand

__all__ = ["LimitSharing"]

# Half-life of the counted requests by which the instances share a limit: several reports, so that
# their shares don't vary by chance.
HALF_LIFE = milliseconds(3000)
# Age after which the leader's totals are not used any more.
TOTALS_LIFETIME = milliseconds(1500)
# Part of a limit that is divided equally; the rest is divided by the requests of each instance. If
# these are few, those of the last seconds say little about the next.
EQUAL_PART = 0.5
# Time after a denied permit for which this instance asks for none, so that the leader isn't flooded
# with questions by requests beyond the limit.
DENIAL_LIFETIME = milliseconds(300)


class LimitSharing:
    """Limits of upstreams and this instance's share of them.

    Requests are counted and reported only while a limit is known.

    Parameters
    ----------
    limits : RequestLimits
    instance_count : callable
        Returns the number of instances.
    is_leader : callable
        Returns whether this instance leads.
    """

    def __init__(
        self,
        limits: RequestLimits,
        instance_count: Callable[[], int],
        is_leader: Callable[[], bool],
    ) -> None:
        self._limits = limits
        self._instance_count = instance_count
        self._is_leader = is_leader
        # By upstream, until when this instance asks for no permit.
        self._denied_until: dict[str, timedelta] = {}
        self._own_rates: KeyRates[str] = KeyRates(HALF_LIFE)
        # This instance's rates as they are in the totals.
        self._counted_rates: dict[str, float] = {}
        # Requests per second by service, as reported by each other instance to the leader.
        self._reported_rates: dict[str, dict[str, float]] = {}
        # Requests per second by service over all instances.
        self._totals: dict[str, float] = {}
        self._totals_at = timedelta(days=-1)
        self._has_sent_limits = False

    def count_request(self, service: str, now: timedelta) -> None:
        """Count a caller's request for a service."""
        if self._limits.has_any:
            self._own_rates.count_requests(service, 1.0, now)

    def next_report(self, now: timedelta) -> LimitReport | None:
        """Return this instance's report to the leader, or None if there is nothing to report."""
        observations = self._limits.collect_observations()
        if not observations and not self._limits.has_any:
            return None
        self._counted_rates = self._own_rates.rates(now)
        return LimitReport(
            tuple(
                AnnouncedLimit(name, observation.rate_per_s, now - observation.observed_at)
                for name, observation in observations.items()
            ),
            tuple(ServiceDemand(*demand) for demand in self._counted_rates.items()),
        )

    def apply_report(self, peer: str, report: LimitReport, now: timedelta) -> None:
        """Apply another instance's report at the leader."""
        for limit in report.limits:
            self._limits.observe(limit.upstream, limit.rate_per_s, now - limit.age)
        self._reported_rates[peer] = {d.service: d.rate_per_s for d in report.demands}

    def next_update(
        self, peers: Collection[str], upstreams: Mapping[str, Upstream], now: timedelta
    ) -> LimitUpdate | None:
        """Return the leader's update, or None if there is neither a limit nor the end of one."""
        self._limits.collect_observations()
        if not self._limits.has_any and not self._has_sent_limits:
            return None
        self._has_sent_limits = self._limits.has_any
        rates_per_s = self._limits.rates_per_s
        for disconnected in self._reported_rates.keys() - set(peers):
            del self._reported_rates[disconnected]
        self._counted_rates = self._own_rates.rates(now)
        all_rates = [self._counted_rates, *self._reported_rates.values()]
        self._totals = {
            service: sum(rates.get(service, 0.0) for rates in all_rates)
            for service in {upstreams[name].service for name in rates_per_s if name in upstreams}
        }
        self._totals_at = now
        self._update_shares(upstreams, now)
        return LimitUpdate(
            tuple(AnnouncedLimit(*limit, timedelta()) for limit in rates_per_s.items()),
            tuple(ServiceDemand(*demand) for demand in self._totals.items()),
        )

    def apply_update(
        self, update: LimitUpdate, upstreams: Mapping[str, Upstream], now: timedelta
    ) -> None:
        """Apply the leader's update."""
        rates_per_s = {
            limit.upstream: limit.rate_per_s
            for limit in update.limits
            if limit.rate_per_s is not None
        }
        self._limits.apply(rates_per_s, now)
        self._totals = {demand.service: demand.rate_per_s for demand in update.demands}
        self._totals_at = now
        self._update_shares(upstreams, now)

    def may_send(self, upstream: Upstream, now: timedelta) -> bool:
        """Return whether an upstream takes a request from this instance now.

        It may still need a permit.
        """
        name = upstream.name
        if self._limits.remaining_pause(name, now):
            return False
        if self._limits.rate_per_s(name) is None:
            return True
        if self.needs_permit(name, now):
            self._limits.withhold(name, now)
            return now >= self._denied_until.get(name, now)
        return self._limits.may_send(name, self._share(upstream, now), now)

    def needs_permit(self, name: str, now: timedelta) -> bool:
        """Return whether this instance has to ask the leader for each request to an upstream.

        Without a leader, it keeps to an equal share of the limit.
        """
        return (
            not self._is_leader()
            and self._has_recent_totals(now)
            and self._limits.is_share_too_small(name, self._instance_count())
        )

    def grant_permit(self, name: str, now: timedelta) -> bool:
        """Return whether another instance may send a request now; called at the leader."""
        is_granted = self._limits.may_send(name, 1.0, now)
        if is_granted:
            self._limits.count_sent(name)
        return is_granted

    def note_denied_permit(self, name: str, now: timedelta) -> None:
        """Ask for no further permit for a while."""
        self._denied_until = {n: until for n, until in self._denied_until.items() if until > now}
        self._denied_until[name] = now + DENIAL_LIFETIME

    def _update_shares(self, upstreams: Mapping[str, Upstream], now: timedelta) -> None:
        """Let tokens accrue by the shares of this moment, also for upstreams without requests."""
        for name in self._limits.rates_per_s:
            if name in upstreams:
                self.may_send(upstreams[name], now)

    def _has_recent_totals(self, now: timedelta) -> bool:
        return now - self._totals_at <= TOTALS_LIFETIME

    def _share(self, upstream: Upstream, now: timedelta) -> float:
        """Return this instance's share of the limit of an upstream, from 0 to 1.

        It is the instance's share of the requests for the service, or an equal one while the total
        is unknown. If the others need permits, the leader has the whole limit to grant.
        """
        instance_count = self._instance_count()
        if self._is_leader() and self._limits.is_share_too_small(upstream.name, instance_count):
            return 1.0
        equal_share = 1.0 / instance_count
        total = self._totals.get(upstream.service, 0.0)
        if total <= 0.0 or not self._has_recent_totals(now):
            return equal_share
        own = self._counted_rates.get(upstream.service, 0.0)
        return EQUAL_PART * equal_share + (1.0 - EQUAL_PART) * min(own / total, 1.0)
