"""Exchange of the upstreams that warm up between the leader and the other instances."""

from collections.abc import Callable
from datetime import timedelta

from ..clocks import milliseconds
from ..placement.warmups import ReportedWarmup, Warmups
from .messages import AnsweringUpstream, WarmingUpstream, WarmupReport, WarmupUpdate

__all__ = ["WarmupSharing"]

# Time after a denied permit for which this instance asks for none: a minimum, a maximum, and in
# between as long as all instances together ask for this many times the rate. Each instance has one
# request in many to send, and each denied one waits for the answer before it goes elsewhere.
MIN_DENIAL_LIFETIME = milliseconds(300)
MAX_DENIAL_LIFETIME = milliseconds(2000)
QUESTIONS_PER_PERMIT = 10.0
# Number of updates without an upstream that follow one with any; streams deliver each.
EMPTY_UPDATES = 4
ZERO = timedelta()


class WarmupSharing:
    """Upstreams that warm up, and the permits for requests to them.

    Parameters
    ----------
    warmups : Warmups
    may_grant : callable
        Returns whether this instance leads and no other one can do so now.
    instance_count : callable
        Returns the number of instances.
    answered_at : callable
        Returns when an upstream last answered any instance, as known to the leader.
    """

    def __init__(
        self,
        warmups: Warmups,
        may_grant: Callable[[], bool],
        instance_count: Callable[[], int],
        answered_at: Callable[[str], timedelta],
    ) -> None:
        self._warmups = warmups
        self._answered_at = answered_at
        self._may_grant = may_grant
        self._instance_count = instance_count
        self._empty_updates = 0
        # By upstream, until when this instance asks for no permit.
        self._denied_until: dict[str, timedelta] = {}

    def next_report(self, now: timedelta) -> WarmupReport | None:
        """Return this instance's report to the leader, or None if there is nothing to report."""
        found, answered = self._warmups.collect_unreported(), self._warmups.collect_answered()
        silent = self._warmups.collect_silent()
        if not found and not answered and not silent:
            return None
        return WarmupReport(
            _to_messages(found, now),
            tuple(
                AnsweringUpstream(name, max(now - sent_at, ZERO))
                for name, sent_at in answered.items()
            ),
            tuple(silent),
        )

    def apply_report(self, report: WarmupReport, now: timedelta) -> bool:
        """Apply another instance's report at the leader; return whether it names a new upstream."""
        known = set(self._warmups.names)
        for found in report.found:
            self._warmups.apply_finding(found.upstream, _from_message(found, now), now)
        for answering in report.answering:
            self._warmups.apply_answer(answering.upstream, now - answering.age)
        self._warmups.apply_silence(report.silent, self._answered_at, now)
        return not known.issuperset(self._warmups.names)

    def next_update(self, now: timedelta) -> WarmupUpdate | None:
        """Return the leader's update, or None if there has been nothing to tell for a while."""
        update = self.whole_update(now)
        self._empty_updates = 0 if update.upstreams else self._empty_updates + 1
        return update if self._empty_updates <= EMPTY_UPDATES else None

    def whole_update(self, now: timedelta) -> WarmupUpdate:
        """Return the leader's update for an instance that has just connected."""
        return WarmupUpdate(_to_messages(self._warmups.all_reported(now), now))

    def judge_own_silence(self, now: timedelta) -> None:
        """Apply, at the leader, that its own connections weren't opened in time."""
        self._warmups.apply_silence(self._warmups.collect_silent(), self._answered_at, now)

    def apply_update(self, update: WarmupUpdate, now: timedelta) -> None:
        """Apply the leader's update."""
        listed = {listed.upstream: _from_message(listed, now) for listed in update.upstreams}
        self._warmups.apply_list(listed, now)

    def may_send(self, name: str, now: timedelta) -> bool:
        """Return whether a permit for a request to an upstream is needless or may be granted."""
        if not self._warmups.is_warming(name, now):
            return True
        if self._may_grant():
            return self._warmups.has_permit(name, now)
        return now >= self._denied_until.get(name, now)

    def needs_permit(self, name: str, now: timedelta) -> bool:
        """Return whether a request to an upstream needs a permit, also of the leader itself."""
        return self._warmups.is_warming(name, now)

    def grant_permit(self, name: str, now: timedelta) -> bool:
        """Return whether a request to an upstream that warms up may be sent now."""
        return self._may_grant() and self._warmups.grant_permit(name, now)

    def note_denied_permit(self, name: str, now: timedelta) -> None:
        """Ask for no further permit for a while, so that the leader isn't flooded."""
        self._denied_until = {n: until for n, until in self._denied_until.items() if until > now}
        rate_per_s = self._warmups.rate_per_s(name, now)
        lifetime = MIN_DENIAL_LIFETIME
        if rate_per_s:
            seconds = self._instance_count() / (rate_per_s * QUESTIONS_PER_PERMIT)
            lifetime = min(max(lifetime, timedelta(seconds=seconds)), MAX_DENIAL_LIFETIME)
        self._denied_until[name] = now + lifetime


def _to_messages(
    reported: dict[str, ReportedWarmup], now: timedelta
) -> tuple[WarmingUpstream, ...]:
    return tuple(
        WarmingUpstream(
            name,
            max(now - r.since, ZERO),
            r.awaits_answer,
            max(r.until - now, ZERO) if r.until is not None else None,
        )
        for name, r in reported.items()
    )


def _from_message(message: WarmingUpstream, now: timedelta) -> ReportedWarmup:
    until = now + message.remaining if message.remaining is not None else None
    return ReportedWarmup(now - message.age, message.awaits_answer, until)
