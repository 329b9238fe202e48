"""What is known of the load of each upstream."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from ..clocks import milliseconds
from ..coordination.messages import KeyCount, LoadReport, UpstreamShare

__all__ = ["LoadBoard", "UpstreamLoad", "UpstreamTotal"]

# Share of one answer in the smoothed service time.
SMOOTHING = 0.12
# Time in which what was seen of declined requests loses half of its weight.
DECLINE_HALF_LIFE = milliseconds(1500)
# Time for which an upstream that could not be reached is avoided, doubled with each failure.
FIRST_AVOIDANCE = milliseconds(600)
LONGEST_AVOIDANCE = milliseconds(5000)
# Other instances' requests in flight are forgotten if no news of them come for this long.
NEWS_LIFETIME = milliseconds(1500)


@dataclass(frozen=True, slots=True)
class UpstreamTotal:
    """What all instances together saw of an upstream.

    Attributes
    ----------
    name : str
    in_flight : int
        Over all instances, as last reported.
    service_time : timedelta
        Smoothed time that one request takes a slot; zero where none was answered.
    declined : float
        Smoothed share of answers that say that the request did not run.
    """

    name: str
    in_flight: int
    service_time: timedelta
    declined: float


@dataclass(slots=True)
class UpstreamLoad:
    """Load of one upstream as one instance knows it.

    Attributes
    ----------
    own : int
        Requests of this instance in flight.
    others : int
        Those of the other instances, as last told.
    service_s : float
        Smoothed time that a request takes a slot, seconds; 0 where unknown.
    answers, declines : float
        Recent answers, and those among them that say that the request did not run.
    answered_at : timedelta
        Last answer that was seen anywhere.
    avoid_until : timedelta
    failures : int
        Failures in a row to reach it.
    """

    own: int = 0
    others: int = 0
    service_s: float = 0.0
    answers: float = 0.0
    declines: float = 0.0
    decayed_at: timedelta = timedelta()
    answered_at: timedelta = timedelta(days=-1)
    avoid_until: timedelta = timedelta(days=-1)
    failures: int = 0
    fresh_answered: int = 0
    fresh_declined: int = 0
    fresh_service_s: float = 0.0
    told_own: int = 0

    @property
    def in_flight(self) -> int:
        """Requests in flight over all instances."""
        return self.own + self.others

    def declined_share(self, now: timedelta) -> float:
        """Return the recent share of answers that say that the request did not run."""
        self._decay(now)
        # One imagined good answer keeps a single decline from counting as all.
        return self.declines / (self.answers + 1.0)

    def note_answers(self, answered: int, declined: int, service_s: float, now: timedelta) -> None:
        """Take answers; `service_s` is the sum over those that ran."""
        self._decay(now)
        self.answers += answered + declined
        self.declines += declined
        if answered + declined:
            self.answered_at = now
            self.failures = 0
            self.avoid_until = timedelta(days=-1)
        if answered:
            mean = service_s / answered
            weight = 1.0 - (1.0 - SMOOTHING) ** answered
            self.service_s += (mean - self.service_s) * (weight if self.service_s else 1.0)

    def note_unreachable(self, now: timedelta) -> None:
        """Take a failure to reach the upstream."""
        self.failures += 1
        avoidance = FIRST_AVOIDANCE * 2 ** min(self.failures - 1, 6)
        self.avoid_until = now + min(avoidance, LONGEST_AVOIDANCE)

    def _decay(self, now: timedelta) -> None:
        passed = (now - self.decayed_at) / DECLINE_HALF_LIFE
        if passed > 0.1:
            factor = math.pow(0.5, min(passed, 60.0))
            self.answers *= factor
            self.declines *= factor
            self.decayed_at = now


@dataclass(slots=True)
class LoadBoard:
    """Loads of all upstreams, by name."""

    loads: dict[str, UpstreamLoad] = field(default_factory=dict)
    key_counts: dict[tuple[str, int], int] = field(default_factory=dict)
    _news_at: timedelta = timedelta(days=-1)

    def of(self, name: str) -> UpstreamLoad:
        """Return the load of an upstream."""
        load = self.loads.get(name)
        if load is None:
            load = self.loads[name] = UpstreamLoad()
        return load

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget upstreams that are gone and have nothing in flight."""
        kept = set(names)
        for name in [n for n, load in self.loads.items() if n not in kept and not load.own]:
            del self.loads[name]

    def count_key(self, service: str, key: int) -> None:
        """Count a request for a key."""
        known = (service, key)
        self.key_counts[known] = self.key_counts.get(known, 0) + 1

    def ended(self, name: str, now: timedelta, *, ran_for_s: float | None, declined: bool) -> None:
        """Note the answer to a request of this instance.

        Parameters
        ----------
        name : str
        now : timedelta
        ran_for_s : float or None
            Time that it took a slot, seconds; None where it did not run.
        declined : bool
        """
        load = self.of(name)
        answered = int(ran_for_s is not None)
        load.note_answers(answered, int(declined), ran_for_s or 0.0, now)
        load.fresh_answered += answered
        load.fresh_declined += int(declined)
        load.fresh_service_s += ran_for_s or 0.0

    def take_report(self) -> LoadReport:
        """Return what was seen since the last report."""
        shares = []
        for name, load in self.loads.items():
            seen = load.fresh_answered or load.fresh_declined
            if load.own or load.told_own or seen:
                service = timedelta(seconds=load.fresh_service_s)
                shares.append(
                    UpstreamShare(name, load.own, load.fresh_answered, load.fresh_declined, service)
                )
            load.told_own = load.own
            load.fresh_answered = load.fresh_declined = 0
            load.fresh_service_s = 0.0
        keys = tuple(KeyCount(s, key, n) for (s, key), n in self.key_counts.items())
        self.key_counts.clear()
        return LoadReport(tuple(shares), keys)

    def take_totals(self, totals: Iterable[UpstreamTotal], now: timedelta) -> None:
        """Take the leader's view of all instances together."""
        self._news_at = now
        told = {total.name: total for total in totals}
        for name, load in self.loads.items():
            if name not in told:
                load.others = 0
        for total in told.values():
            load = self.of(total.name)
            load.others = max(0, total.in_flight - load.told_own)
            if total.service_time:
                load.service_s = total.service_time.total_seconds()

    def forget_old_news(self, now: timedelta) -> None:
        """Forget the other instances' requests where no news of them come."""
        if now - self._news_at > NEWS_LIFETIME:
            for load in self.loads.values():
                load.others = 0
