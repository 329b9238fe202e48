"""Checks of the promises, from what callers and upstreams see."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from ..clocks import milliseconds
from ..platform.standin import StandinUpstream
from ..platform.standin.upstream import LeasedRange
from .record import Call, Disturbances, Finding, Outcome

__all__ = ["FOUND", "STORE", "PromiseChecks", "planned_stop"]

# Part that stands for the store in `Disturbances`; the instances are parts by their names.
STORE = "store"
# Bounds of the users' settings.
DRAIN = milliseconds(2000)
CONFIG_APPLY = milliseconds(2000)
ROLLBACK_SLACK = milliseconds(250)
THAW = milliseconds(300)
# Time for an answer to come back from an upstream.
WAY_BACK = milliseconds(500)
# Statuses that promise that a request did not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
FOUND, NOT_FOUND = 200, 404


def planned_stop(instance: str) -> str:
    """Return the part of `Disturbances` that stands for an instance's planned stop."""
    return f"{instance} stops"


class PromiseChecks:
    """Hears callers and upstreams, and keeps what is wrong.

    Parameters
    ----------
    now : callable
        Returns the present instant.
    disturbances : Disturbances
    upstreams : callable
        Returns the upstreams that run.

    Attributes
    ----------
    findings : list of Finding
    calls : dict of str to Call
    """

    def __init__(
        self,
        now: Callable[[], timedelta],
        disturbances: Disturbances,
        upstreams: Callable[[], Iterable[StandinUpstream]],
    ) -> None:
        self._now = now
        self._disturbances = disturbances
        self._upstreams = upstreams
        self._left: dict[str, timedelta] = {}
        self._versions: list[timedelta] = []
        self._seen: dict[str, tuple[int, timedelta]] = {}
        self._thawed = timedelta(days=-1)
        self.findings: list[Finding] = []
        self.calls: dict[str, Call] = {}
        self.grants = 0

    # What happens.

    def sent(self, call: Call) -> None:
        """Take a request immediately before it is sent."""
        self.calls[call.request_id] = call

    def left(self, upstream: str) -> None:
        """Note that the store has taken an upstream's leaving."""
        self._left.setdefault(upstream, self._now())

    def returned(self, upstream: str) -> None:
        """Note that an upstream started again under its name."""
        self._left.pop(upstream, None)

    def thawed(self) -> None:
        """Note that a paused process goes on."""
        self._thawed = self._now()

    def configured(self) -> None:
        """Note that the store has taken the next version of the configuration."""
        self._versions.append(self._now())

    def answered(self, call: Call, outcome: Outcome) -> None:
        """Take what a caller got."""
        call.outcome = outcome
        if outcome.status == FOUND and not outcome.is_own:
            self._find("MIXED", f"{call.request_id} got an answer that isn't its own")
        if outcome.status in NOT_RUN and call.runs and not call.is_repeatable:
            self._find("REFUSED", f"{call.request_id} ran and got {outcome.status}")
        if outcome.status == 0:
            self._check_lost(call, outcome)

    # What upstreams see.

    def on_grant_applied(
        self, upstream: StandinUpstream, granted_range: LeasedRange, is_new: bool
    ) -> None:
        """Check a grant against what the other upstreams hold."""
        now = self._now()
        self.grants += 1
        if now - self._thawed < THAW:
            return
        for other in self._upstreams():
            if other is upstream or other.service != upstream.service or not other.is_up:
                continue
            for held in other.leased_ranges:
                if held.last < granted_range.first or held.first > granted_range.last:
                    continue
                where = (
                    f"{max(held.first, granted_range.first)}-{min(held.last, granted_range.last)}"
                )
                if min(held.expires_at, granted_range.expires_at) > now:
                    text = f"{upstream.name} takes {where} which {other.name} holds"
                    self._find("OWNER", text)
                elif is_new and held.fencing_token >= granted_range.fencing_token:
                    text = f"{upstream.name} takes {where} with token {granted_range.fencing_token}"
                    self._find("OWNER", f"{text}, {other.name} had {held.fencing_token}")

    def on_request_arrived(self, upstream: StandinUpstream, request_id: str) -> None:
        """Check that a leaving upstream gets nothing more."""
        call, now = self.calls.get(request_id), self._now()
        left = self._left.get(upstream.name)
        if call is None or left is None or now - left <= DRAIN:
            return
        if self._is_in_touch(call.instance):
            text = f"{request_id} reached {upstream.name} {now - left} after it announced its end"
            self._find("DRAIN", text)

    def on_run_started(
        self, upstream: StandinUpstream, request_id: str, path: str, body: bytes
    ) -> None:
        """Check that a run was asked for, and not before."""
        call = self.calls.get(request_id)
        if call is None or call.path != path or call.body != body:
            self._find("UNASKED", f"{upstream.name} runs {request_id} {path}")
            return
        if call.runs and not call.is_repeatable:
            self._find("TWICE", f"{request_id} ran at {call.runs[-1]} and {upstream.name}")
        refused = call.outcome is not None and call.outcome.status in NOT_RUN
        if refused and not call.is_repeatable:
            self._find("REFUSED", f"{request_id} was refused and runs at {upstream.name}")
        call.runs.append(upstream.name)

    def on_run_ended(self, upstream: StandinUpstream, request_id: str) -> None:
        """Take the end of a run."""
        call = self.calls.get(request_id)
        if call is not None:
            call.ended_at = self._now()

    # What the instances' processes show.

    def process_ended(self, instance: str, code: int) -> None:
        """Take the end of a process that nobody ended."""
        self._find("ENDED", f"{instance} ended by itself with {code}")

    def probed(self, call: Call, version: int, status: int) -> None:
        """Check which version an instance goes by.

        Parameters
        ----------
        call : Call
            To a route that stands in one version only.
        version : int
            That version, from 1.
        status : int
        """
        if status == FOUND:
            self._check_version(call, version, is_served=True)
        elif status == NOT_FOUND:
            self._check_version(call, version, is_served=False)

    def not_restored(self, what: str) -> None:
        """Note that a service wasn't back in time."""
        self._find("RECOVER", what)

    def _check_version(self, call: Call, version: int, *, is_served: bool) -> None:
        newest = len(self._versions)
        in_touch = self._is_in_touch(call.instance)
        due = [n for n, at in enumerate(self._versions, 1) if at + CONFIG_APPLY < call.sent]
        bound = max(due, default=0)
        if in_touch and is_served and version < bound:
            self._find("CONFIG", f"{call.instance} still goes by version {version} of {newest}")
        if in_touch and not is_served and version == bound == newest:
            self._find("CONFIG", f"{call.instance} doesn't go by version {version} yet")
        seen, at = self._seen.get(call.boot, (0, timedelta()))
        is_later = call.sent > at + ROLLBACK_SLACK
        if is_later and (version < seen if is_served else version == seen == newest):
            self._find("CONFIG", f"{call.instance} went back from version {seen} to an older one")
        if is_served and version > seen:
            self._seen[call.boot] = (version, self._now())

    def _is_in_touch(self, instance: str) -> bool:
        parts = (STORE, instance, planned_stop(instance))
        return all(self._disturbances.is_calm(part, self._now()) for part in parts)

    def _check_lost(self, call: Call, outcome: Outcome) -> None:
        """Check that an answer that an upstream gave was not lost by a sound instance."""
        if call.ended_at is None or outcome.at - call.ended_at < WAY_BACK:
            return
        parts = (call.instance, call.runs[-1])
        if all(self._disturbances.is_calm(part, outcome.at) for part in parts):
            text = f"{call.request_id} was answered by {call.runs[-1]} and not by {call.instance}"
            self._find("LOST", text)

    def _find(self, rule: str, text: str) -> None:
        self.findings.append(Finding(rule, self._now(), text))
