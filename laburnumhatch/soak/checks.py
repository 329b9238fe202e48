"""Checks of the guarantees, based on what callers and upstreams observe."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from ..clocks import milliseconds
from ..platform.standin import StandinUpstream
from ..platform.standin.upstream import LeasedRange
from .record import Call, Disturbances, Finding, Outcome

__all__ = ["FOUND", "STORE", "PromiseChecks", "planned_stop"]

# Component of `Disturbances` that stands for the store; instances and upstreams use their names.
STORE = "store"
# Bounds that the users set. A draining upstream gets no more requests after DRAIN, and an instance
# applies a new configuration within CONFIG_APPLY. For ROLLBACK_SLACK after an answer from a newer
# version, requests may still get an answer from an older one. Grants are not checked for THAW after
# a frozen process has resumed.
DRAIN = milliseconds(2000)
CONFIG_APPLY = milliseconds(2000)
ROLLBACK_SLACK = milliseconds(250)
THAW = milliseconds(300)
# Time that an answer may take from an upstream to the caller.
WAY_BACK = milliseconds(500)
# Statuses which guarantee that the request did not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
FOUND, NOT_FOUND = 200, 404


def planned_stop(instance: str) -> str:
    """Return the component of `Disturbances` that stands for an instance's planned stop."""
    return f"{instance} stops"


class PromiseChecks:
    """Checks the guarantees from the events of callers, upstreams and processes.

    Parameters
    ----------
    now : callable
        Returns the current time.
    disturbances : Disturbances
    upstreams : callable
        Returns all upstreams, including those that were stopped.

    Attributes
    ----------
    findings : list of Finding
    calls : dict of str to Call
        All calls by the identifier of their request.
    grants : int
        Number of grants that upstreams applied.
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

    # Events of callers and of the environment.

    def sent(self, call: Call) -> None:
        """Record a request immediately before it is sent."""
        self.calls[call.request_id] = call

    def left(self, upstream: str) -> None:
        """Record that the announced shutdown of an upstream is stored."""
        self._left.setdefault(upstream, self._now())

    def returned(self, upstream: str) -> None:
        """Record the start of an upstream, which ends an earlier announcement under its name."""
        self._left.pop(upstream, None)

    def thawed(self) -> None:
        """Record that a frozen process resumes."""
        self._thawed = self._now()

    def configured(self) -> None:
        """Record that the next version of the configuration is stored."""
        self._versions.append(self._now())

    def answered(self, call: Call, outcome: Outcome) -> None:
        """Record the outcome of a call and check it."""
        call.outcome = outcome
        if outcome.status == FOUND and not outcome.is_own:
            self._find("MIXED", f"{call.request_id} got an answer that doesn't belong to it")
        if outcome.status in NOT_RUN and call.runs and not call.is_repeatable:
            self._find("REFUSED", f"{call.request_id} ran but was answered with {outcome.status}")
        if outcome.status == 0:
            self._check_lost(call, outcome)

    # Events of upstreams.

    def on_grant_applied(
        self, upstream: StandinUpstream, granted_range: LeasedRange, is_new: bool
    ) -> None:
        """Check a grant against the leases and tokens of the other upstreams."""
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
                    text = f"{upstream.name} was granted {where} during the lease of {other.name}"
                    self._find("OWNER", text)
                elif is_new and held.fencing_token >= granted_range.fencing_token:
                    text = (
                        f"{upstream.name} was granted {where} "
                        f"with token {granted_range.fencing_token}"
                    )
                    self._find(
                        "OWNER", f"{text}, but {other.name} already had {held.fencing_token}"
                    )

    def on_request_arrived(self, upstream: StandinUpstream, request_id: str) -> None:
        """Check that a draining upstream gets no more requests after the bound."""
        call, now = self.calls.get(request_id), self._now()
        left = self._left.get(upstream.name)
        if call is None or left is None or now - left <= DRAIN:
            return
        if self._is_in_touch(call.instance):
            text = (
                f"{request_id} reached {upstream.name} {now - left} "
                "after its shutdown was announced"
            )
            self._find("DRAIN", text)

    def on_run_started(
        self, upstream: StandinUpstream, request_id: str, path: str, body: bytes
    ) -> None:
        """Check that a caller sent the request and that it may run at this time."""
        call = self.calls.get(request_id)
        if call is None or call.path != path or call.body != body:
            self._find(
                "UNASKED",
                f"{upstream.name} runs an unknown or altered request: {request_id} {path}",
            )
            return
        if call.runs and not call.is_repeatable:
            self._find("TWICE", f"{request_id} ran at {call.runs[-1]} and {upstream.name}")
        refused = call.outcome is not None and call.outcome.status in NOT_RUN
        if refused and not call.is_repeatable:
            self._find("REFUSED", f"{request_id} was refused but runs at {upstream.name}")
        call.runs.append(upstream.name)

    def on_run_ended(self, upstream: StandinUpstream, request_id: str) -> None:
        """Record the end of a run."""
        call = self.calls.get(request_id)
        if call is not None:
            call.ended_at = self._now()

    # Events of the instances' processes.

    def process_ended(self, instance: str, code: int) -> None:
        """Record the unexpected end of a process as a finding."""
        self._find("ENDED", f"{instance} exited unexpectedly with code {code}")

    def probed(self, call: Call, version: int, status: int) -> None:
        """Check which version of the configuration an instance has in force.

        Parameters
        ----------
        call : Call
            Call to a route that exists in a single version of the configuration.
        version : int
            The version, which is at least 1.
        status : int
        """
        if status == FOUND:
            self._check_version(call, version, is_served=True)
        elif status == NOT_FOUND:
            self._check_version(call, version, is_served=False)

    def not_restored(self, what: str) -> None:
        """Record as a finding that service was not restored in time."""
        self._find("RECOVER", what)

    def _check_version(self, call: Call, version: int, *, is_served: bool) -> None:
        newest = len(self._versions)
        in_touch = self._is_in_touch(call.instance)
        due = [n for n, at in enumerate(self._versions, 1) if at + CONFIG_APPLY < call.sent]
        bound = max(due, default=0)
        if in_touch and is_served and version < bound:
            self._find("CONFIG", f"{call.instance} still has version {version} of {newest}")
        if in_touch and not is_served and version == bound == newest:
            self._find("CONFIG", f"{call.instance} doesn't have version {version} yet")
        seen, at = self._seen.get(call.boot, (0, timedelta()))
        is_later = call.sent > at + ROLLBACK_SLACK
        if is_later and (version < seen if is_served else version == seen == newest):
            self._find("CONFIG", f"{call.instance} reverted from version {seen} to an older one")
        if is_served and version > seen:
            self._seen[call.boot] = (version, self._now())

    def _is_in_touch(self, instance: str) -> bool:
        parts = (STORE, instance, planned_stop(instance))
        return all(self._disturbances.is_calm(part, self._now()) for part in parts)

    def _check_lost(self, call: Call, outcome: Outcome) -> None:
        """Check that no undisturbed instance lost the answer of an undisturbed upstream."""
        if call.ended_at is None or outcome.at - call.ended_at < WAY_BACK:
            return
        parts = (call.instance, call.runs[-1])
        if all(self._disturbances.is_calm(part, outcome.at) for part in parts):
            text = (
                f"{call.request_id} was answered by {call.runs[-1]} "
                f"but got no answer from {call.instance}"
            )
            self._find("LOST", text)

    def _find(self, rule: str, text: str) -> None:
        self.findings.append(Finding(rule, self._now(), text))
