"""Upstreams that warm up, and the pace of the requests to them over all instances.

An upstream that has just started crashes under the usual load. Each request to it needs a permit of
the leader, whose token bucket keeps any second within what the platform allows.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

import logbook

from ..clocks import milliseconds
from ..fleet import ServiceProperties, Upstream, UpstreamIncarnation
from .warmup_allowance import PermitBucket, WarmupAllowance

__all__ = ["ReportedWarmup", "Warmups"]

# Time after which a registration that is read was reported later: the interval of the upstreams'
# reports, 870 ms, and a margin for the time that a report takes.
REPORT_INTERVAL = milliseconds(1000)
# Time for which a warm-up is counted on beyond the rest that was read, so that it doesn't end
# before the upstream's next report says so.
END_MARGIN = milliseconds(1000)
# Age of the last answer to any instance above which an upstream to which a connection isn't opened
# in time may have ended. Such an upstream with requests answers several times a second, and
# connections also time out at an instance whose own link is full.
SILENCE_LIMIT = milliseconds(1000)
# Difference of the delays with which the reports of two instances reach the leader, within which it
# can't tell which of two events came first.
MAX_DELAY_VARIATION = milliseconds(200)
# Time for which what this instance has found goes before the leader's list, which may be older.
OWN_OBSERVATION_LIFETIME = milliseconds(1000)
# Time after the first read of the registry, when all instances start for the first time, within
# which upstreams register that have been running before.
FOUNDING_PERIOD = milliseconds(3000)
# Time for which an upstream that isn't registered is remembered.
ABSENCE_LIFETIME = timedelta(seconds=30)

_log = logbook.Logger("laburnumhatch.warmups")


@dataclass(frozen=True, slots=True)
class ReportedWarmup:
    """What an instance tells another of an upstream that counts as warming up.

    Attributes
    ----------
    since : timedelta
        When the upstream was last assumed to warm up.
    awaits_answer : bool
        Whether the upstream was unreachable and has not answered since.
    until : timedelta or None
        When the warm-up ends by what was read; None if only a registration can tell.
    """

    since: timedelta
    awaits_answer: bool
    until: timedelta | None


@dataclass(slots=True)
class _WarmingUpstream:
    """An upstream that counts as warming up, with the permits that the leader may grant."""

    service: str
    since: timedelta
    awaits_answer: bool
    until: timedelta | None
    bucket: PermitBucket
    answered_at: timedelta | None = None

    @property
    def reported(self) -> ReportedWarmup:
        return ReportedWarmup(self.since, self.awaits_answer, self.until)


@dataclass(slots=True)
class Warmups:
    """Upstreams that count as warming up, as this instance knows them.

    Attributes
    ----------
    allowance : WarmupAllowance or None
        None if the platform sets none; then no upstream counts as warming up.
    is_first_start : bool
        Whether all instances start for the first time.
    on_assumed : callable
        Called when this instance has found that an upstream may warm up, which others don't know.
    granted_count, denied_count : int
        Number of permits that this instance granted and denied as the leader.
    """

    allowance: WarmupAllowance | None = None
    is_first_start: bool = False
    on_assumed: Callable[[], None] = lambda: None
    granted_count: int = 0
    denied_count: int = 0
    # Services that specify a rate, by name.
    _services: dict[str, ServiceProperties] = field(default_factory=dict)
    _warming: dict[str, _WarmingUpstream] = field(default_factory=dict)
    _unreported: set[str] = field(default_factory=set)
    # Upstreams to which a connection of this instance wasn't opened in time.
    _silent: set[str] = field(default_factory=set)
    # When the last answered request was sent, by upstream that awaits an answer.
    _answered: dict[str, timedelta] = field(default_factory=dict)
    # Unreachable upstreams, until they answer a request of this instance.
    _unreachable: dict[str, UpstreamIncarnation] = field(default_factory=dict)
    # Services of the registered upstreams, and the last known run of each, by upstream.
    _registered: dict[str, str] = field(default_factory=dict)
    _incarnations: dict[str, UpstreamIncarnation] = field(default_factory=dict)
    # The leader's list, as far as its upstreams aren't registered yet at this instance.
    _listed: dict[str, ReportedWarmup] = field(default_factory=dict)
    # Reads that were sent before may show registrations from before a beginning.
    _trusted_from: timedelta = timedelta()
    _first_read_at: timedelta | None = None
    _absent_since: dict[str, timedelta] = field(default_factory=dict)

    @property
    def is_in_use(self) -> bool:
        """Whether any service bounds the requests to upstreams that warm up."""
        return self.allowance is not None and bool(self._services)

    @property
    def names(self) -> list[str]:
        """Names of the upstreams that count as warming up."""
        return sorted(self._warming)

    def configure(self, services: Iterable[ServiceProperties]) -> None:
        """Use the rates of a configuration."""
        self._services = {s.name: s for s in services if s.warmup_per_s is not None}
        for name, warming in list(self._warming.items()):
            if warming.service not in self._services:
                self._end(name, "its service bounds no requests")

    def rate_per_s(self, name: str, now: timedelta) -> float | None:
        """Return the requests per second for an upstream; None if it isn't warming up."""
        return self._rate_and_burst(name)[0] if self.is_warming(name, now) else None

    def is_warming(self, name: str, now: timedelta) -> bool:
        """Return whether each request to an upstream needs a permit."""
        warming = self._warming.get(name)
        if warming is None:
            return False
        if not warming.awaits_answer and warming.until is not None and now >= warming.until:
            self._end(name, "its time is over")
            return False
        return True

    # What tells that an upstream warms up, or that it doesn't.

    def observe_registry(
        self, upstreams: Mapping[str, Upstream], read_at: timedelta | None, now: timedelta
    ) -> None:
        """Apply what the registrations say.

        Parameters
        ----------
        upstreams : mapping of str to Upstream
        read_at : timedelta or None
            When the read of the registry was sent; None if another instance read it and may have
            done so long ago.
        now : timedelta
        """
        if self.allowance is None:
            return
        if self._first_read_at is None:
            self._first_read_at = now
        is_founding = not self._incarnations or (
            self.is_first_start and now - self._first_read_at < FOUNDING_PERIOD
        )
        missing, self._registered = self._registered, {n: u.service for n, u in upstreams.items()}
        for name in missing.keys() - self._registered.keys():
            if not self._incarnations[name].started_at_ms:
                # Without the time of its start, a new run can't be told from this one.
                del self._incarnations[name]
        for name, upstream in upstreams.items():
            is_new = self._incarnations.get(name) != upstream.incarnation
            self._incarnations[name] = upstream.incarnation
            service = self._services.get(upstream.service)
            if service is None or upstream.is_kept:
                continue
            if upstream.warmup_remaining:
                self._count_on(upstream, upstream.warmup_remaining, read_at, is_new, now)
            elif is_new and not is_founding:
                self._count_on(upstream, service.warmup, read_at, True, now)
            elif read_at is not None:
                self._end_if_reported(name, read_at)
        if self._listed:
            self.apply_list(self._listed, now, is_whole=False)

    def distrust_registry(self, now: timedelta) -> None:
        """End no warm-up until all have reported again, since the registry is an older copy."""
        self._trusted_from = now + REPORT_INTERVAL

    def observe_warmup(self, upstream: Upstream, remaining: timedelta, now: timedelta) -> None:
        """Apply the rest of a warm-up that an upstream itself states; zero says nothing."""
        if self.allowance is not None and upstream.service in self._services and remaining:
            self._count_on(upstream, remaining, None, False, now)

    def note_unreachable(
        self, incarnation: UpstreamIncarnation, service: str, now: timedelta
    ) -> None:
        """Record that this instance failed to reach an upstream, which may be about to restart.

        Further failures say nothing new until the upstream has answered this instance or started
        anew. So an instance that alone is cut off doesn't slow an upstream down for all.
        """
        name = incarnation.name
        if self._unreachable.get(name) == incarnation:
            return
        if self.allowance is None or service not in self._services:
            return
        self._unreachable[name] = incarnation
        warming = self._begin(name, service, now, "it was unreachable")
        warming.since, warming.awaits_answer, warming.answered_at = now, True, None
        self._unreported.add(name)
        self.on_assumed()

    def note_silent(self, name: str) -> None:
        """Record that a connection to an upstream wasn't opened in time, for the leader to judge.

        The link of this instance may be full, or the upstream may have ended without a word.
        """
        if self.is_in_use and name not in self._silent and name not in self._warming:
            self._silent.add(name)
            self.on_assumed()

    def apply_silence(
        self, names: Iterable[str], answered_at: Callable[[str], timedelta], now: timedelta
    ) -> None:
        """Let upstreams that don't open connections count as unreachable, at the leader.

        Parameters
        ----------
        names : iterable of str
        answered_at : callable
            Returns when an upstream last answered any instance, given its name.
        now : timedelta
        """
        for name in names:
            incarnation, service = self._incarnations.get(name), self._registered.get(name)
            is_silent = now - answered_at(name) > SILENCE_LIMIT
            if incarnation is not None and service is not None and is_silent:
                self.note_unreachable(incarnation, service, now)

    def note_answered(self, name: str, sent_at: timedelta) -> None:
        """Record an answer of an upstream to a request that was sent at an instant."""
        self._unreachable.pop(name, None)
        warming = self._warming.get(name)
        if warming is not None and warming.awaits_answer:
            self._answered[name] = sent_at
            self._apply_answer(warming, sent_at)

    def assume(self, names: Iterable[str], now: timedelta) -> None:
        """Let upstreams count as warming up until a registration reported later says otherwise."""
        for name in names:
            service = self._registered.get(name)
            if self.allowance is None or service is None or service not in self._services:
                continue
            warming = self._begin(name, service, now, "it is used again")
            warming.since, warming.until = now, None
            self._unreported.add(name)
        if self._unreported:
            self.on_assumed()

    def retain(self, names: Iterable[str], now: timedelta) -> None:
        """Remove the upstreams that have not been named for `ABSENCE_LIFETIME`."""
        kept = set(names)
        known = self._warming.keys() | self._unreachable.keys() | self._incarnations.keys()
        self._absent_since = {n: self._absent_since.get(n, now) for n in known if n not in kept}
        for name, since in list(self._absent_since.items()):
            if now - since > ABSENCE_LIFETIME:
                self._unreachable.pop(name, None)
                self._incarnations.pop(name, None)
                del self._absent_since[name]
                self._end(name, "it is not registered")

    # Exchange with the other instances.

    def collect_unreported(self) -> dict[str, ReportedWarmup]:
        """Return what this instance has found since the last call, by upstream."""
        names, self._unreported = self._unreported, set()
        return {n: self._warming[n].reported for n in sorted(names) if n in self._warming}

    def collect_silent(self) -> list[str]:
        """Return the upstreams to which connections have timed out since the last call."""
        names, self._silent = self._silent, set()
        return sorted(names)

    def collect_answered(self) -> dict[str, timedelta]:
        """Return when requests answered since the last call were sent, by awaited upstream."""
        answered, self._answered = self._answered, {}
        return answered

    def all_reported(self, now: timedelta) -> dict[str, ReportedWarmup]:
        """Return all upstreams that count as warming up."""
        return {n: self._warming[n].reported for n in self.names if self.is_warming(n, now)}

    def report_again(self) -> None:
        """Include all that is known in the next report, since a new leader may not know it."""
        self._unreported.update(self._warming)

    def apply_finding(self, name: str, found: ReportedWarmup, now: timedelta) -> None:
        """Apply what another instance has found, at the leader."""
        warming = self._adopt(name, found, now, "another instance reports it")
        if warming is not None and found.since > warming.since:
            if found.awaits_answer:
                warming.awaits_answer, warming.answered_at = True, None
            warming.since = found.since

    def apply_answer(self, name: str, sent_at: timedelta) -> None:
        """Apply an answer of an upstream to another instance, at the leader."""
        warming = self._warming.get(name)
        if warming is not None:
            self._apply_answer(warming, sent_at)

    def apply_list(
        self, listed: Mapping[str, ReportedWarmup], now: timedelta, *, is_whole: bool = True
    ) -> None:
        """Apply the leader's list of upstreams that count as warming up.

        Parameters
        ----------
        listed : mapping of str to ReportedWarmup
        now : timedelta
        is_whole : bool, optional
            Whether the list has all that the leader knows.
        """
        self._listed = {n: found for n, found in listed.items() if n not in self._registered}
        for name, found in listed.items():
            warming = self._adopt(name, found, now, "the leader says so")
            if warming is not None and now - warming.since > OWN_OBSERVATION_LIFETIME:
                warming.awaits_answer, warming.until = found.awaits_answer, found.until
                warming.since = max(warming.since, found.since)
        for name in self._warming.keys() - listed.keys() if is_whole else ():
            if now - self._warming[name].since > OWN_OBSERVATION_LIFETIME:
                self._end(name, "the leader says so")

    # Permits.

    def begin_leading(self, now: timedelta) -> None:
        """Empty the token buckets, because a former leader has just used its own."""
        for warming in self._warming.values():
            warming.bucket = PermitBucket(now)

    def has_permit(self, name: str, now: timedelta) -> bool:
        """Return whether the leader could grant a permit now."""
        return self._warming[name].bucket.refill(*self._rate_and_burst(name), now)

    def grant_permit(self, name: str, now: timedelta) -> bool:
        """Return whether one request may be sent now, and count it."""
        is_granted = self.has_permit(name, now)
        if is_granted:
            self._warming[name].bucket.tokens -= 1.0
            self.granted_count += 1
        else:
            self.denied_count += 1
        return is_granted

    def _rate_and_burst(self, name: str) -> tuple[float, float]:
        rate_per_s = self._services[self._warming[name].service].warmup_per_s
        assert self.allowance is not None and rate_per_s is not None
        return self.allowance.rate_and_burst(rate_per_s)

    def _count_on(
        self,
        upstream: Upstream,
        remaining: timedelta,
        read_at: timedelta | None,
        is_new: bool,
        now: timedelta,
    ) -> None:
        warming = self._begin(upstream.name, upstream.service, now, "it has started")
        if is_new:
            # The registration is that of the new process.
            warming.since, warming.awaits_answer = now, False
        elif warming.awaits_answer and read_at is not None and self._is_reported(warming, read_at):
            warming.awaits_answer = False
        warming.until = now + remaining + END_MARGIN

    def _is_reported(self, warming: _WarmingUpstream, read_at: timedelta) -> bool:
        """Return whether a registration was reported after all that tells of a warm-up."""
        if read_at < self._trusted_from:
            return False
        since = warming.answered_at if warming.awaits_answer else warming.since
        return since is not None and read_at - since >= REPORT_INTERVAL

    def _end_if_reported(self, name: str, read_at: timedelta) -> None:
        warming = self._warming.get(name)
        if warming is not None and self._is_reported(warming, read_at):
            self._end(name, "its registration says so")

    def _apply_answer(self, warming: _WarmingUpstream, sent_at: timedelta) -> None:
        is_later = sent_at - warming.since > MAX_DELAY_VARIATION
        if warming.awaits_answer and warming.answered_at is None and is_later:
            warming.answered_at = sent_at

    def _adopt(
        self, name: str, found: ReportedWarmup, now: timedelta, reason: str
    ) -> _WarmingUpstream | None:
        """Return the state of an upstream that others know to warm up; None if it isn't known."""
        service = self._registered.get(name)
        if self.allowance is None or service is None or service not in self._services:
            return None
        if not self.is_warming(name, now):
            warming = self._begin(name, service, now, reason)
            warming.since = min(found.since, now)
            warming.awaits_answer, warming.until = found.awaits_answer, found.until
        return self._warming[name]

    def _begin(self, name: str, service: str, now: timedelta, reason: str) -> _WarmingUpstream:
        if not self.is_warming(name, now):
            _log.info("upstream {} needs permits while it warms up: {}", name, reason)
            self._warming[name] = _WarmingUpstream(service, now, False, None, PermitBucket(now))
        return self._warming[name]

    def _end(self, name: str, reason: str) -> None:
        if self._warming.pop(name, None) is not None:
            _log.info("upstream {} needs no permits any more: {}", name, reason)
        self._unreported.discard(name)
        self._answered.pop(name, None)
