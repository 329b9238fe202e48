"""Load of each upstream as far as this instance knows it."""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from ..clocks import milliseconds
from ..coordination.messages import KeyCount, LoadReport, RouteDemand, UpstreamStats
from .concurrency import ConcurrencyEstimate
from .reported_load import REPORT_LIFETIME, ReportedLoad
from .request_limits import RequestLimits
from .request_timings import RequestTimings
from .warmups import Warmups

__all__ = ["LoadTracker", "UpstreamLoad", "UpstreamTotals"]

# Weight of one answer in the exponentially smoothed service time.
SMOOTHING_WEIGHT = 0.12
# Half-life of the counts of answers and declined requests.
DECLINE_HALF_LIFE = milliseconds(1500)
# Time for which an unreachable upstream is avoided: initial and maximum value, doubled with each
# failure.
INITIAL_AVOIDANCE = milliseconds(600)
MAX_AVOIDANCE = milliseconds(5000)
# Interval at which the age of reports is checked.
CHECK_INTERVAL = milliseconds(100)
# Age after which the other instances' requests in flight count as zero, unless the leader sends new
# totals.
TOTALS_LIFETIME = milliseconds(1500)


@dataclass(frozen=True, slots=True)
class UpstreamTotals:
    """Load of one upstream over all instances.

    Attributes
    ----------
    name : str
    in_flight : int
        Requests in flight from all instances, as last reported.
    service_time : timedelta
        Smoothed time for which one request occupies a slot; zero before the first answer.
    declined_share : float
        Smoothed share of answers that state that the request did not run.
    """

    name: str
    in_flight: int
    service_time: timedelta
    declined_share: float


@dataclass(slots=True)
class UpstreamLoad:
    """Load of one upstream as this instance knows it.

    Attributes
    ----------
    own_in_flight : int
        Requests in flight from this instance.
    others_in_flight : int
        Requests in flight from the other instances, according to the leader's last totals or to
        what the upstream reported since.
    service_time_s : float
        Smoothed time for which a request occupies a slot, in seconds; 0 if unknown.
    answer_count, decline_count : float
        Exponentially decayed number of answers, and of those among them that state that the
        request did not run.
    decayed_at : timedelta
        Instant to which `answer_count` and `decline_count` are decayed.
    answered_at : timedelta
        Instant of the last answer to any instance.
    avoid_until : timedelta
        Instant until which the upstream is avoided because it was unreachable.
    consecutive_failures : int
        Consecutive failures to reach the upstream.
    unreported_answers, unreported_declines : int
        Answers and declined requests since the last report.
    unreported_service_time_s : float
        Sum of the service times since the last report, in seconds.
    reported_in_flight : int
        Value of `own_in_flight` in the last report.
    totals_number : int
        Number of the totals that `others_in_flight` is from; see `LoadTracker`.
    reported : ReportedLoad
        Load that the upstream reported.
    unloaded_s : float
        Estimated time of a request while slots are free, in seconds; 0 if it isn't estimated.
    concurrency : int
        Number of concurrent requests beyond which answers are slow; 0 if none is known.
    """

    own_in_flight: int = 0
    others_in_flight: int = 0
    service_time_s: float = 0.0
    answer_count: float = 0.0
    decline_count: float = 0.0
    decayed_at: timedelta = timedelta()
    answered_at: timedelta = timedelta(days=-1)
    avoid_until: timedelta = timedelta(days=-1)
    consecutive_failures: int = 0
    unreported_answers: int = 0
    unreported_declines: int = 0
    unreported_service_time_s: float = 0.0
    reported_in_flight: int = 0
    totals_number: int = 0
    reported: ReportedLoad = field(default_factory=ReportedLoad)
    unloaded_s: float = 0.0
    concurrency: int = 0

    @property
    def in_flight(self) -> int:
        """Requests in flight from all instances."""
        return self.own_in_flight + self.others_in_flight

    def declined_share(self, now: timedelta) -> float:
        """Return the recent share of answers that state that the request did not run."""
        self._decay(now)
        # One additional good answer keeps a single declined request from giving a share of 1.
        return self.decline_count / (self.answer_count + 1.0)

    def record_answers(
        self, answered: int, declined: int, service_time_s: float, now: timedelta
    ) -> None:
        """Record answers; `service_time_s` is the sum of the service times of those that ran."""
        self._decay(now)
        self.answer_count += answered + declined
        self.decline_count += declined
        if answered + declined:
            self.answered_at = now
            self.consecutive_failures = 0
            self.avoid_until = timedelta(days=-1)
        if answered:
            mean = service_time_s / answered
            weight = 1.0 - (1.0 - SMOOTHING_WEIGHT) ** answered
            self.service_time_s += (mean - self.service_time_s) * (
                weight if self.service_time_s else 1.0
            )

    def record_unreachable(self, now: timedelta) -> None:
        """Record a failure to reach the upstream."""
        self.consecutive_failures += 1
        avoidance = INITIAL_AVOIDANCE * 2 ** min(self.consecutive_failures - 1, 6)
        self.avoid_until = now + min(avoidance, MAX_AVOIDANCE)

    def set_totals_others(self, others: int, totals_at: timedelta) -> None:
        """Set the requests of the other instances by totals, unless a report is fresher."""
        self.reported.totals_others = others
        if not self.reported.is_fresher(totals_at):
            self.others_in_flight = others

    def _decay(self, now: timedelta) -> None:
        half_lives = (now - self.decayed_at) / DECLINE_HALF_LIFE
        if half_lives > 0.1:
            factor = math.pow(0.5, min(half_lives, 60.0))
            self.answer_count *= factor
            self.decline_count *= factor
            self.decayed_at = now


@dataclass(slots=True)
class LoadTracker:
    """Loads of all upstreams by name, and the requests by key and by priority.

    Attributes
    ----------
    loads : dict of str to UpstreamLoad
    key_counts : dict of (str, int, int) to int
        Requests since the last report by service, key and priority.
    demands_s : dict of (str, int) to float
        Expected work of the requests since the last report by service and priority, in seconds.
    limits : RequestLimits
        Limits that upstreams announced.
    warmups : Warmups
        Upstreams that warm up.
    timings : RequestTimings
        Times of this instance's requests since the last report of them.
    estimates : dict of str to ConcurrencyEstimate
        What upstreams take well, by name.

    Notes
    -----
    Totals arrive for all upstreams several times a second, and an instance sends requests to few
    of them meanwhile. Those of an upstream are applied when its load is looked up.
    """

    loads: dict[str, UpstreamLoad] = field(default_factory=dict)
    key_counts: dict[tuple[str, int, int], int] = field(default_factory=dict)
    demands_s: dict[tuple[str, int], float] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)
    warmups: Warmups = field(default_factory=Warmups)
    timings: RequestTimings = field(default_factory=RequestTimings)
    estimates: dict[str, ConcurrencyEstimate] = field(default_factory=dict)
    _totals_at: timedelta = timedelta(days=-1)
    _find_total: Callable[[str], UpstreamTotals | None] | None = None
    _totals_number: int = 0
    # Upstreams whose `others_in_flight` is from a report.
    _reporting: set[str] = field(default_factory=set)

    def load_of(self, name: str) -> UpstreamLoad:
        """Return the load of an upstream."""
        load = self.loads.get(name)
        if load is None:
            load = self.loads[name] = UpstreamLoad()
            if name in self.estimates:
                self.set_estimate(name, self.estimates[name])
        if load.totals_number != self._totals_number:
            self._apply_total(name, load)
        return load

    def retain(self, names: Iterable[str], now: timedelta) -> None:
        """Remove the other upstreams, except those with requests of this instance in flight."""
        kept_names = set(names)
        self.limits.retain(kept_names, now)
        self.warmups.retain(kept_names, now)
        self.estimates = {n: e for n, e in self.estimates.items() if n in kept_names}
        for name in [
            n for n, load in self.loads.items() if n not in kept_names and not load.own_in_flight
        ]:
            del self.loads[name]

    def set_estimate(self, name: str, estimate: ConcurrencyEstimate) -> None:
        """Set what an upstream takes well; an estimate of zeros removes it."""
        if estimate == ConcurrencyEstimate():
            self.estimates.pop(name, None)
        else:
            self.estimates[name] = estimate
        load = self.loads.get(name)
        if load is not None:
            load.unloaded_s, load.concurrency = estimate.unloaded_s, estimate.limit

    def count_key(self, service: str, key: int, priority: int) -> None:
        """Count a request for a key."""
        counted = (service, key, priority)
        self.key_counts[counted] = self.key_counts.get(counted, 0) + 1

    def count_demand(self, service: str, priority: int, work_s: float) -> None:
        """Count the expected work of a request without an owned key."""
        service_and_priority = (service, priority)
        self.demands_s[service_and_priority] = (
            self.demands_s.get(service_and_priority, 0.0) + work_s
        )

    def record_answer(
        self, name: str, now: timedelta, *, service_time_s: float | None, declined: bool
    ) -> None:
        """Record the answer to a request of this instance.

        Parameters
        ----------
        name : str
        now : timedelta
        service_time_s : float or None
            Time for which the request occupied a slot, in seconds; None if it did not run.
        declined : bool
            Whether the upstream declined the request.
        """
        load = self.load_of(name)
        answered = int(service_time_s is not None)
        load.record_answers(answered, int(declined), service_time_s or 0.0, now)
        load.unreported_answers += answered
        load.unreported_declines += int(declined)
        load.unreported_service_time_s += service_time_s or 0.0

    def record_reported(
        self,
        name: str,
        in_flight: int | None,
        pace: float | None,
        *,
        declined: bool,
        now: timedelta,
    ) -> None:
        """Record the load that an upstream reported in an answer.

        Parameters
        ----------
        name : str
        in_flight : int or None
            Requests at the upstream from all instances; None if the answer didn't tell.
        pace : float or None
            Time that work takes relative to the usual one; None if the answer didn't tell.
        declined : bool
            Whether the answer declined the request.
        now : timedelta
        """
        load = self.load_of(name)
        if declined:
            load.reported.declined_at = now
        if in_flight is not None:
            load.others_in_flight = load.reported.others_in_flight(
                in_flight, load.own_in_flight, load.others_in_flight, now
            )
            self._reporting.add(name)
        if pace is not None:
            load.reported.record_pace(pace, now)

    def collect_report(self) -> LoadReport:
        """Return a report of the load since the last report, and start a new one."""
        stats = []
        for name, load in self.loads.items():
            has_unreported = load.unreported_answers or load.unreported_declines
            if load.own_in_flight or load.reported_in_flight or has_unreported:
                # The totals received so far contain the previous report.
                if load.totals_number != self._totals_number:
                    self._apply_total(name, load)
                service = timedelta(seconds=load.unreported_service_time_s)
                stats.append(
                    UpstreamStats(
                        name,
                        load.own_in_flight,
                        load.unreported_answers,
                        load.unreported_declines,
                        service,
                    )
                )
            load.reported_in_flight = load.own_in_flight
            load.unreported_answers = load.unreported_declines = 0
            load.unreported_service_time_s = 0.0
        keys = tuple(KeyCount(*counted, n) for counted, n in self.key_counts.items())
        demands = tuple(
            RouteDemand(service, priority, timedelta(seconds=work_s))
            for (service, priority), work_s in self.demands_s.items()
        )
        self.key_counts.clear()
        self.demands_s.clear()
        return LoadReport(tuple(stats), keys, demands)

    def apply_totals(
        self, find_total: Callable[[str], UpstreamTotals | None], now: timedelta
    ) -> None:
        """Apply the totals over all instances, as sent by the leader.

        Parameters
        ----------
        find_total : callable
            Returns the totals of an upstream, given by name, or None if there are none.
        now : timedelta
        """
        self._totals_at = now
        self._find_total = find_total
        self._totals_number += 1

    def expire_totals(self, now: timedelta) -> None:
        """Drop the other instances' requests in flight by totals or reports that are too old."""
        self._expire_reports(now)
        if self._find_total is not None and now - self._totals_at > TOTALS_LIFETIME:
            self._find_total = None
            self._totals_number += 1

    def _expire_reports(self, now: timedelta) -> None:
        for name in list(self._reporting):
            load = self.loads.get(name)
            if load is None:
                self._reporting.discard(name)
            elif now - load.reported.reported_at > REPORT_LIFETIME - CHECK_INTERVAL:
                self._reporting.discard(name)
                load.others_in_flight = load.reported.totals_others

    def set_others_in_flight(self, counts: Mapping[str, int], now: timedelta) -> None:
        """Set the other instances' requests in flight by upstream, as counted by the leader."""
        self._find_total = None
        self._totals_at = now
        self._expire_reports(now)
        self._totals_number += 1
        for name, load in self.loads.items():
            load.set_totals_others(counts.get(name, 0), now)
            load.totals_number = self._totals_number

    def _apply_total(self, name: str, load: UpstreamLoad) -> None:
        load.totals_number = self._totals_number
        total = self._find_total(name) if self._find_total is not None else None
        if total is None:
            load.set_totals_others(0, self._totals_at)
            return
        others = max(0, total.in_flight - load.reported_in_flight)
        load.set_totals_others(others, self._totals_at)
        if total.service_time:
            load.service_time_s = total.service_time.total_seconds()
