"""Which requests crash the upstreams that run them.

All requests aboard a crashing upstream are lost with it, so a single crash accuses many innocent
requests. The one at fault is aboard every time, and never gets an answer.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from itertools import pairwise

from ..fleet import UpstreamIncarnation

__all__ = ["DEFAULT_HEAD_LENGTH", "CrashRecord", "LostCopies"]

# Crashes that must be attributed to a request before it is sent to no further upstream.
BAN_CRASH_COUNT = 3
# Crashes attributed to a request from which on it isn't repeated on behalf of its caller.
SUSPECT_CRASH_COUNT = 2
# Time after its last crash for which a banned request is sent to no upstream at all, and between
# the single requests that are let through afterwards.
BAN_DURATION = timedelta(minutes=5)
# Time after which a crash no longer counts.
CRASH_LIFETIME = timedelta(minutes=15)
# Age below which a crash is told to a new leader or follower also if its requests were aboard no
# other one.
RECENT = timedelta(seconds=30)
# Time after a crash within which an answer to a later request shows that the upstream only lost
# connections. A later answer may come from a new process that the registry doesn't show yet.
RETRACTION_WINDOW = timedelta(milliseconds=1500)
# Time within which crashes count as one: upstreams that share a machine end together.
SIMULTANEOUS = timedelta(milliseconds=20)
MAX_CRASHES = 128
# Requests that are remembered for one crash; an upstream runs and queues fewer.
MAX_ABOARD = 48
MAX_ANSWERED = 4096
DEFAULT_HEAD_LENGTH = 12


@dataclass(frozen=True, slots=True)
class LostCopies:
    """Copies of a request that were lost with an upstream.

    Attributes
    ----------
    upstream : UpstreamIncarnation
    fingerprint : bytes
    copies : int
    crashed_at : timedelta
        Instant at which the first request was lost with the upstream.
    """

    upstream: UpstreamIncarnation
    fingerprint: bytes
    copies: int
    crashed_at: timedelta


@dataclass(slots=True)
class _Crash:
    """A crash and the copies, by fingerprint, of the requests that were lost with it."""

    at: timedelta
    aboard: dict[bytes, int] = field(default_factory=dict)


class CrashRecord:
    """Recent crashes of upstreams, attributed to the requests that were aboard.

    Parameters
    ----------
    head_length : int, optional
        Length in bytes of the first part of a fingerprint, by which `knows` finds it.

    Notes
    -----
    Each crash is attributed to one request: the one that was aboard most crashes, and among these
    the one with most copies. So innocent requests that were aboard with it are not accused, however
    popular they are. A request that gets an answer is cleared, and a crash whose upstream answers a
    later request is retracted.
    """

    def __init__(self, head_length: int = DEFAULT_HEAD_LENGTH) -> None:
        self._head_length = head_length
        self._crashes: dict[UpstreamIncarnation, _Crash] = {}
        # Upstreams that were lost with each request, and the number of requests by their heads.
        self._lost_with: dict[bytes, set[UpstreamIncarnation]] = {}
        self._heads: Counter[bytes] = Counter()
        # Instant of sending of the last request that was answered.
        self._answered: dict[UpstreamIncarnation, timedelta] = {}
        self._probed_at: dict[bytes, timedelta] = {}
        # Number and last instant of the crashes attributed to each request; None if outdated.
        self._attributed: dict[bytes, tuple[int, timedelta]] | None = {}

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def add(self, lost: LostCopies) -> bool:
        """Count further copies that were lost; return whether the record changes."""
        known = self.lost_copies(lost.upstream, lost.fingerprint)
        return self.merge(replace(lost, copies=lost.copies + (known.copies if known else 0)))

    def merge(self, lost: LostCopies) -> bool:
        """Apply the count of all copies that were lost; return whether the record changes."""
        if self.refutes(lost.upstream, lost.crashed_at):
            return False
        crash = self._crashes.setdefault(lost.upstream, _Crash(lost.crashed_at))
        if lost.copies <= crash.aboard.get(lost.fingerprint, 0):
            return False
        if lost.fingerprint not in crash.aboard and len(crash.aboard) >= MAX_ABOARD:
            return False
        crash.aboard[lost.fingerprint] = lost.copies
        if lost.fingerprint not in self._lost_with:
            self._heads[self._head(lost.fingerprint)] += 1
        self._lost_with.setdefault(lost.fingerprint, set()).add(lost.upstream)
        while len(self._crashes) > MAX_CRASHES:
            self.retract(next(iter(self._crashes)))
        self._attributed = None
        return True

    def refutes(self, upstream: UpstreamIncarnation, crashed_at: timedelta) -> bool:
        """Return whether an upstream has answered a request that was sent after its crash."""
        answered_at = self._answered.get(upstream)
        return (
            answered_at is not None and timedelta() < answered_at - crashed_at < RETRACTION_WINDOW
        )

    def note_answered(self, upstream: UpstreamIncarnation, sent_at: timedelta) -> bool:
        """Record an answer to a request sent at an instant; return whether a crash is retracted."""
        self._answered.pop(upstream, None)
        self._answered[upstream] = sent_at
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        crash = self._crashes.get(upstream)
        return crash is not None and self.refutes(upstream, crash.at) and self.retract(upstream)

    def retract(self, upstream: UpstreamIncarnation) -> bool:
        """Remove a crash, because its upstream lives; return whether it was recorded."""
        crash = self._crashes.pop(upstream, None)
        for fingerprint in crash.aboard if crash is not None else ():
            self._lost_with[fingerprint].discard(upstream)
            self._forget_if_unused(fingerprint)
        self._attributed = None
        return crash is not None

    def clear(self, fingerprint: bytes) -> bool:
        """Remove a request from all crashes, because it got an answer; return if it was aboard."""
        upstreams = self._lost_with.get(fingerprint)
        if upstreams is None:
            return False
        for upstream in upstreams:
            del self._crashes[upstream].aboard[fingerprint]
        upstreams.clear()
        self._forget_if_unused(fingerprint)
        self._attributed = None
        return True

    def _forget_if_unused(self, fingerprint: bytes) -> None:
        if self._lost_with[fingerprint]:
            return
        del self._lost_with[fingerprint]
        head = self._head(fingerprint)
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]

    def _head(self, fingerprint: bytes) -> bytes:
        return fingerprint[: self._head_length]

    def knows(self, head: bytes) -> bool:
        """Return whether a request whose fingerprint begins with `head` was aboard a crash."""
        return head in self._heads

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a request should not be sent again on behalf of its caller."""
        return self._attribute().get(fingerprint, (0, None))[0] >= SUSPECT_CRASH_COUNT

    def is_banned(self, fingerprint: bytes, now: timedelta, *, may_probe: bool) -> bool:
        """Return whether a request may be sent to no upstream.

        Parameters
        ----------
        fingerprint : bytes
        now : timedelta
        may_probe : bool
            Whether this instance lets a single request through after `BAN_DURATION`, to find out
            whether it is harmless now. One instance at a time must do so.
        """
        count, last_at = self._attribute().get(fingerprint, (0, timedelta()))
        if count < BAN_CRASH_COUNT:
            return False
        blocked_until = max(last_at, self._probed_at.get(fingerprint, last_at)) + BAN_DURATION
        if may_probe and now >= blocked_until:
            self._probed_at[fingerprint] = now
            return False
        return True

    def banned(self) -> dict[bytes, int]:
        """Return the fingerprints of all banned requests with the crashes attributed to each."""
        return {f: n for f, (n, _) in self._attribute().items() if n >= BAN_CRASH_COUNT}

    def relevant(self, now: timedelta) -> Iterable[LostCopies]:
        """Return the counts of requests that were aboard a recent crash or more than one."""
        for fingerprint, upstreams in self._lost_with.items():
            for upstream in upstreams:
                crash = self._crashes[upstream]
                if len(upstreams) > 1 or now - crash.at < RECENT:
                    yield LostCopies(upstream, fingerprint, crash.aboard[fingerprint], crash.at)

    def lost_copies(self, upstream: UpstreamIncarnation, fingerprint: bytes) -> LostCopies | None:
        """Return the count of a request's copies that were lost with an upstream, if any were."""
        crash = self._crashes.get(upstream)
        if crash is None or fingerprint not in crash.aboard:
            return None
        return LostCopies(upstream, fingerprint, crash.aboard[fingerprint], crash.at)

    def expire(self, now: timedelta) -> None:
        """Remove crashes that no longer count."""
        expired = [u for u, crash in self._crashes.items() if now - crash.at > CRASH_LIFETIME]
        for upstream in expired:
            self.retract(upstream)
        known = self._attribute()
        self._probed_at = {f: at for f, at in self._probed_at.items() if f in known}

    def _attribute(self) -> dict[bytes, tuple[int, timedelta]]:
        """Return the number and the last instant of the crashes attributed to each request."""
        if self._attributed is not None:
            return self._attributed
        self._attributed = {}
        repeated = {f: ups for f, ups in self._lost_with.items() if len(ups) >= SUSPECT_CRASH_COUNT}
        while repeated:
            ranks = {f: (len(ups), self._count_copies(f, ups)) for f, ups in repeated.items()}
            first = max(ranks, key=lambda f: ranks[f])
            attributed = set(repeated.pop(first))
            is_tied = any(
                ranks[f] == ranks[first] and ups == attributed for f, ups in repeated.items()
            )
            if not is_tied:
                times = sorted(self._crashes[u].at for u in attributed)
                separate = 1 + sum(b - a > SIMULTANEOUS for a, b in pairwise(times))
                self._attributed[first] = separate, times[-1]
            repeated = {
                f: left
                for f, ups in repeated.items()
                if len(left := ups - attributed) >= SUSPECT_CRASH_COUNT
            }
        return self._attributed

    def _count_copies(self, fingerprint: bytes, upstreams: set[UpstreamIncarnation]) -> int:
        return sum(self._crashes[upstream].aboard[fingerprint] for upstream in upstreams)
