"""Exchange of the requests that were lost with crashing upstreams, so that all instances know.

The leader collects what the instances have lost, and tells all of them the sums. Each instance
decides by its own record, so that a lost leader or a new one changes nothing.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

import logbook

from ..clocks import Clock, milliseconds
from ..fleet import UpstreamIncarnation
from ..links import ManagedLinks
from ..placement import CrashRecord, LostCopies
from .messages import CrashReport, LostRequest, RefutedCrash

__all__ = ["CrashReports"]

# Losses within this time are reported together: a crash costs all requests of the upstream at once.
REPORT_DELAY = milliseconds(3)
# Time between a change of the record and the log lines about bans, within which changes add up.
LOG_DELAY = milliseconds(50)
# Entries of one message, which keep it far below the longest frame.
MAX_ENTRIES = 500
# Bounds of what is taken from a report.
MAX_COPIES = 100_000
MAX_AGE = timedelta(hours=1)
MAX_FINGERPRINT_BYTES = 64

_log = logbook.Logger("laburnumhatch.member")


class CrashReports:
    """Record of crashes at this instance, kept in step with those of the others.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    leader_name : callable
        Returns the member name of the present leader.
    is_leader : callable
        Returns whether this member leads.

    Attributes
    ----------
    record : CrashRecord
    """

    def __init__(
        self,
        clock: Clock,
        links: ManagedLinks,
        leader_name: Callable[[], str],
        is_leader: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._links = links
        self._leader_name = leader_name
        self._is_leader = is_leader
        # Changes since the last report. The counts are those of this instance's own copies.
        self._lost: dict[tuple[UpstreamIncarnation, bytes], int] = {}
        self._answered: set[bytes] = set()
        self._refuted: set[UpstreamIncarnation] = set()
        self._is_report_scheduled = False
        self._logged: set[bytes] = set()
        self._is_log_scheduled = False
        self.record = CrashRecord()
        links.add_handler(CrashReport, self._handle_report)
        links.add_connect_handler(self._on_connected)

    def is_banned(self, fingerprint: bytes) -> bool:
        """Return whether a request may be sent to no upstream now."""
        return self.record.is_banned(fingerprint, self._clock.now(), may_probe=self._is_leader())

    def note_lost(self, upstream: UpstreamIncarnation, fingerprint: bytes) -> None:
        """Record that a request was lost with an upstream, which may have crashed."""
        now = self._clock.now()
        self.record.expire(now)
        if self.record.add(LostCopies(upstream, fingerprint, 1, now)):
            self._note_change(upstream, fingerprint, 1)
            self._schedule_log()

    def note_alive(self, upstream: UpstreamIncarnation, sent_at: timedelta) -> None:
        """Record that an upstream has answered a request that was sent at an instant."""
        if self.record.note_answered(upstream, sent_at):
            self._note_refuted(upstream)

    def note_answered(self, fingerprint: bytes) -> None:
        """Record that a request got an answer, so that it isn't to blame for a crash."""
        if self.record.clear(fingerprint):
            self._answered.add(fingerprint)
            self._schedule_report()

    def _note_change(self, upstream: UpstreamIncarnation, fingerprint: bytes, copies: int) -> None:
        key = (upstream, fingerprint)
        self._lost[key] = self._lost.get(key, 0) + copies
        self._schedule_report()

    def _note_refuted(self, upstream: UpstreamIncarnation) -> None:
        _log.info("upstream {} lost connections but has not crashed", upstream.name)
        self._refuted.add(upstream)
        self._schedule_report()

    def _schedule_report(self) -> None:
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            self._clock.call_later(REPORT_DELAY, self._report)

    def _report(self) -> None:
        """Send the changes to the leader, or as the leader to all."""
        self._is_report_scheduled = False
        is_leader = self._is_leader()
        lost = []
        for (upstream, fingerprint), copies in self._lost.items():
            known = self.record.lost_copies(upstream, fingerprint)
            if known is not None:
                total = known.copies if is_leader else copies
                lost.append(LostCopies(upstream, fingerprint, total, known.crashed_at))
        report = CrashReport(
            is_leader,
            self._encode(lost[:MAX_ENTRIES]),
            tuple(self._answered),
            tuple(RefutedCrash(*upstream) for upstream in self._refuted),
        )
        self._lost.clear()
        self._answered.clear()
        self._refuted.clear()
        for peer in self._links.connected_peers() if is_leader else (self._leader_name(),):
            self._links.send(peer, report)

    def _encode(self, lost: Iterable[LostCopies]) -> tuple[LostRequest, ...]:
        now = self._clock.now()
        return tuple(
            LostRequest(
                *copies.upstream, copies.fingerprint, copies.copies, now - copies.crashed_at
            )
            for copies in lost
        )

    def announce(self) -> None:
        """Tell all connected members of the crashes that matter, because this one leads now."""
        for peer in self._links.connected_peers():
            self._tell(peer)

    def _on_connected(self, peer: str) -> None:
        """Tell a new leader or a new follower of the crashes that matter."""
        if self._is_leader() or peer == self._leader_name():
            self._tell(peer)

    def _tell(self, peer: str) -> None:
        lost = list(self.record.relevant(self._clock.now()))
        for first in range(0, len(lost), MAX_ENTRIES):
            entries = self._encode(lost[first : first + MAX_ENTRIES])
            self._links.send(peer, CrashReport(True, entries, (), ()))

    def _handle_report(self, peer: str, report: CrashReport) -> None:
        is_leader = self._is_leader()
        if not is_leader and peer != self._leader_name() and not report.has_totals:
            # Totals count also where this member isn't known to itself as the leader yet.
            return
        for lost in report.lost:
            self._apply_lost(peer, lost, is_total=report.has_totals, is_leader=is_leader)
        for fingerprint in report.answered:
            if self.record.clear(fingerprint) and is_leader:
                self._answered.add(fingerprint)
                self._schedule_report()
        for refuted in report.refuted:
            upstream = UpstreamIncarnation(refuted.upstream, refuted.started_at_ms)
            if self.record.retract(upstream) and is_leader:
                self._note_refuted(upstream)
        self._schedule_log()

    def _apply_lost(self, peer: str, lost: LostRequest, *, is_total: bool, is_leader: bool) -> None:
        if not (
            0 < lost.copies <= MAX_COPIES
            and timedelta() <= lost.age <= MAX_AGE
            and len(lost.fingerprint) <= MAX_FINGERPRINT_BYTES
        ):
            _log.warning("ignored an invalid report of {} on upstream {}", peer, lost.upstream)
            return
        upstream = UpstreamIncarnation(lost.upstream, lost.started_at_ms)
        crashed_at = self._clock.now() - lost.age
        if self.record.refutes(upstream, crashed_at):
            self._note_refuted(upstream)
            return
        copies = LostCopies(upstream, lost.fingerprint, lost.copies, crashed_at)
        is_changed = self.record.merge(copies) if is_total else self.record.add(copies)
        if is_changed and is_leader:
            self._note_change(upstream, lost.fingerprint, 0)

    def _schedule_log(self) -> None:
        if not self._is_log_scheduled:
            self._is_log_scheduled = True
            self._clock.call_later(LOG_DELAY, self._log_bans)

    def _log_bans(self) -> None:
        self._is_log_scheduled = False
        banned = self.record.banned()
        for fingerprint in banned.keys() - self._logged:
            _log.warning(
                "requests with fingerprint {} have crashed {} upstreams and are not sent any more",
                fingerprint.hex(),
                banned[fingerprint],
            )
        for fingerprint in self._logged - banned.keys():
            _log.info("requests with fingerprint {} are sent again", fingerprint.hex())
        self._logged = set(banned)
