"""Exchange of what upstreams announce in their answers, between the leader and other instances."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import logbook

from ..clocks import Clock
from ..fleet import RegistryView, Upstream, UpstreamIncarnation
from ..links import ManagedLinks
from ..placement import RequestLimits
from ..placement.warmups import Warmups
from .limit_sharing import LimitSharing
from .messages import (
    LeavingReport,
    LeavingUpstream,
    LimitReport,
    LimitUpdate,
    WarmupReport,
    WarmupUpdate,
)
from .permits import Permits
from .warmup_sharing import WarmupSharing

__all__ = ["Announcements"]

_log = logbook.Logger("laburnumhatch.member")


class Announcements:
    """Limits, warm-ups and departures that upstreams announced, as known to this instance.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    limits : RequestLimits
    warmups : Warmups
    registry_view : RegistryView
    answered_at : callable
        Returns when an upstream last answered any instance, as known to the leader.
    likely_instance_count : callable
        Returns the number of instances.
    leader_name : callable
        Returns the member name of the present leader.
    is_leader : callable
        Returns whether this member leads.
    has_authority : callable
        Returns whether no other member can lead now.
    on_upstreams_changed : callable
        Called when an upstream has become one that leaves.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        links: ManagedLinks,
        limits: RequestLimits,
        warmups: Warmups,
        registry_view: RegistryView,
        answered_at: Callable[[str], timedelta],
        likely_instance_count: Callable[[], int],
        leader_name: Callable[[], str],
        is_leader: Callable[[], bool],
        has_authority: Callable[[], bool],
        on_upstreams_changed: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._links = links
        self._registry_view = registry_view
        self._leader_name = leader_name
        self._is_leader = is_leader
        self._on_upstreams_changed = on_upstreams_changed
        self._limit_sharing = LimitSharing(limits, likely_instance_count, is_leader)
        self._limits = limits
        self._warmups = warmups
        self._likely_instance_count = likely_instance_count
        self._warmup_sharing = WarmupSharing(
            warmups,
            lambda: is_leader() and has_authority(),
            likely_instance_count,
            answered_at,
        )
        warmups.on_assumed = self._on_warmup_assumed
        self._permits = Permits(clock, links, self, leader_name, is_leader)
        links.add_handler(WarmupReport, self._handle_warmup_report)
        links.add_handler(WarmupUpdate, self._handle_warmup_update)
        links.add_handler(LimitReport, self._handle_limit_report)
        links.add_handler(LimitUpdate, self._handle_limit_update)
        links.add_handler(LeavingReport, self._handle_leaving_report)
        links.add_connect_handler(self._on_connected)

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service, by which instances share announced limits."""
        self._limit_sharing.count_request(service, self._clock.now())

    def may_send_to(self, upstream: Upstream) -> bool:
        """Return whether a request to an upstream keeps within what the upstream takes.

        It may still need a permit.
        """
        now = self._clock.now()
        return self._limit_sharing.may_send(upstream, now) and self._warmup_sharing.may_send(
            upstream.name, now
        )

    def needs_permit(self, upstream: Upstream) -> bool:
        """Return whether a request to an upstream may only be sent with a permit of the leader."""
        name, now = upstream.name, self._clock.now()
        return self._warmup_sharing.needs_permit(name, now) or self._limit_sharing.needs_permit(
            name, now
        )

    def request_permit(self, upstream: Upstream, on_answer: Callable[[bool], None]) -> None:
        """Ask for a permit for one request, which `on_answer(is_granted)` sends at once."""
        if self._is_leader():
            now = self._clock.now()
            is_granted = self._warmup_sharing.grant_permit(upstream.name, now)
            if not is_granted:
                self.note_denied_permit(upstream.name, now)
            on_answer(is_granted)
        else:
            self._permits.request(upstream.name, on_answer)

    def grant_permit(self, name: str, now: timedelta) -> bool:
        """Return whether another instance may send a request now; called at the leader."""
        if not self._warmup_sharing.needs_permit(name, now):
            return self._limit_sharing.grant_permit(name, now)
        # Few instances have shares of an announced limit, which they keep to beside the permit.
        has_shares = not self._limits.is_share_too_small(name, self._likely_instance_count())
        return (
            has_shares or self._limit_sharing.grant_permit(name, now)
        ) and self._warmup_sharing.grant_permit(name, now)

    def note_denied_permit(self, name: str, now: timedelta) -> None:
        """Ask for no further permit for a while."""
        self._limit_sharing.note_denied_permit(name, now)
        self._warmup_sharing.note_denied_permit(name, now)

    def assume_warming_up(self, names: Iterable[str]) -> None:
        """Let upstreams need permits until registrations reported from now on say otherwise.

        Called at each instance when upstreams are used again after an evacuation.
        """
        self._warmups.assume(names, self._clock.now())

    def begin_leading(self) -> None:
        """Grant permits from now on, after those of a former leader."""
        self._warmups.begin_leading(self._clock.now())

    def note_leaving(self, incarnation: UpstreamIncarnation) -> None:
        """Give an upstream no new work, because an answer of its says that it leaves."""
        if self._registry_view.mark_leaving(incarnation):
            _log.info("upstream {} announces that it leaves", incarnation.name)
            self._on_upstreams_changed()
            self._report_leaving([incarnation])

    def report_to_leader(self) -> None:
        """Send the leader the limits and warm-ups that this instance has found lately."""
        report = self._limit_sharing.next_report(self._clock.now())
        if report is not None:
            self._links.send(self._leader_name(), report)
        self._report_warmups()

    def update_followers(self) -> None:
        """Send the limits and warm-ups of all upstreams to the other instances."""
        peers = self._links.connected_peers()
        self._update_warmups(peers)
        upstreams = self._registry_view.upstreams
        update = self._limit_sharing.next_update(peers, upstreams, self._clock.now())
        if update is not None:
            for peer in peers:
                self._links.send(peer, update)

    def _report_leaving(self, leaving: Iterable[UpstreamIncarnation]) -> None:
        report = LeavingReport(tuple(LeavingUpstream(*incarnation) for incarnation in leaving))
        if report.upstreams and not self._is_leader():
            self._links.send(self._leader_name(), report)

    def _report_warmups(self) -> None:
        # Without a stream to the leader, all that is known is reported when there is one.
        report = self._warmup_sharing.next_report(self._clock.now())
        if report is not None:
            self._links.send(self._leader_name(), report)

    def _update_warmups(self, peers: Iterable[str]) -> None:
        update = self._warmup_sharing.next_update(self._clock.now())
        if update is not None and self._warmups.is_in_use:
            for peer in peers:
                self._links.send(peer, update)

    def _on_warmup_assumed(self) -> None:
        """Tell the others at once: an upstream that was unreachable may be back in a moment."""
        if self._is_leader():
            self._warmup_sharing.judge_own_silence(self._clock.now())
            self._update_warmups(self._links.connected_peers())
        else:
            self._report_warmups()

    def _handle_warmup_report(self, peer: str, report: WarmupReport) -> None:
        now = self._clock.now()
        if self._is_leader() and self._warmup_sharing.apply_report(report, now):
            self._update_warmups(self._links.connected_peers())

    def _handle_warmup_update(self, peer: str, update: WarmupUpdate) -> None:
        if not self._is_leader() and peer == self._leader_name():
            self._warmup_sharing.apply_update(update, self._clock.now())

    def _on_connected(self, peer: str) -> None:
        if peer == self._leader_name():
            self._warmups.report_again()
            self._report_warmups()
            self._report_leaving(self._registry_view.leaving())
        elif self._is_leader() and self._warmups.is_in_use:
            # Known before the list of upstreams, so that the first request to one has its permit.
            self._links.send(peer, self._warmup_sharing.whole_update(self._clock.now()))

    def _handle_limit_report(self, peer: str, report: LimitReport) -> None:
        if self._is_leader():
            self._limit_sharing.apply_report(peer, report, self._clock.now())

    def _handle_limit_update(self, peer: str, update: LimitUpdate) -> None:
        if not self._is_leader() and peer == self._leader_name():
            upstreams = self._registry_view.upstreams
            self._limit_sharing.apply_update(update, upstreams, self._clock.now())

    def _handle_leaving_report(self, peer: str, report: LeavingReport) -> None:
        if self._is_leader():
            for upstream in report.upstreams:
                self.note_leaving(UpstreamIncarnation(upstream.name, upstream.started_at_ms))
