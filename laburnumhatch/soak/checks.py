"""Checks of the guarantees, based on what callers and upstreams observe."""

from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta

from ..clocks import milliseconds
from ..platform.standin import StandinUpstream
from ..platform.standin.upstream import LeasedRange
from .record import Call, FaultHistory, Finding, Outcome

__all__ = ["OK", "STORE", "GuaranteeChecks", "planned_stop_component"]

# Component of `FaultHistory` that stands for the store; instances and upstreams use their names.
STORE = "store"
# Bounds that the users set. A draining upstream gets no more requests after DRAIN_TIMEOUT, and an
# instance applies a new configuration within CONFIG_TIMEOUT. For ROLLBACK_SLACK after an answer
# from a newer version, an older version may still answer. Grants are not checked for RESUME_GRACE
# after a frozen process has resumed.
DRAIN_TIMEOUT = milliseconds(2000)
CONFIG_TIMEOUT = milliseconds(2000)
ROLLBACK_SLACK = milliseconds(250)
RESUME_GRACE = milliseconds(300)
# From ANNOUNCED_FOR after an upstream first announced a limit, it gets in any LIMIT_WINDOW at most
# LIMIT_FACTOR times what the limit allows and LIMIT_FURTHER more requests.
ANNOUNCED_FOR = milliseconds(3000)
LIMIT_WINDOW = milliseconds(4000)
LIMIT_FACTOR, LIMIT_FURTHER = 1.5, 5
# A request that has crashed as many upstreams reaches as many more at most, from STABLE_WINDOW on.
CRASHES = 3
STABLE_WINDOW = milliseconds(3000)
# Time that an answer may take from an upstream to the caller.
ANSWER_RETURN_TIME = milliseconds(500)
# Statuses which guarantee that the request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
OK, NOT_FOUND = 200, 404


def planned_stop_component(instance: str) -> str:
    """Return the component of `FaultHistory` that stands for an instance's planned stop."""
    return f"{instance} stops"


class GuaranteeChecks:
    """Checks the guarantees from the events of callers, upstreams and processes.

    Parameters
    ----------
    now : callable
        Returns the current time.
    fault_history : FaultHistory
    upstreams : callable
        Returns all upstreams, including those that were stopped.
    on_crash : callable, optional
        Called with each upstream that has crashed under a request.

    Attributes
    ----------
    findings : list of Finding
    calls : dict of str to Call
        All calls by the identifier of their request.
    grant_count : int
        Number of grants that upstreams applied.
    """

    def __init__(
        self,
        now: Callable[[], timedelta],
        fault_history: FaultHistory,
        upstreams: Callable[[], Iterable[StandinUpstream]],
        on_crash: Callable[[StandinUpstream], None] = lambda upstream: None,
    ) -> None:
        self._on_crash = on_crash
        self._now = now
        self._fault_history = fault_history
        self._upstreams = upstreams
        self._drain_announced_at: dict[str, timedelta] = {}
        # Announced requests per second and the time of the announcement, by upstream.
        self._limits: dict[str, tuple[float, timedelta]] = {}
        self._limited_arrivals: dict[str, list[timedelta]] = {}
        # Times of the crashes, and the number of requests that came too late after them, by path.
        self._crashes_by_path: dict[str, list[timedelta]] = {}
        self._late_sends: Counter[str] = Counter()
        self._published_at: list[timedelta] = []
        self._newest_seen: dict[str, tuple[int, timedelta]] = {}
        self._last_resumed_at = timedelta(days=-1)
        self.findings: list[Finding] = []
        self.calls: dict[str, Call] = {}
        self.grant_count = 0

    # Events of callers and of the environment.

    def on_request_sent(self, call: Call) -> None:
        """Record a request immediately before it is sent."""
        self.calls[call.request_id] = call

    def on_drain_announced(self, upstream: str) -> None:
        """Record that the announced shutdown of an upstream is stored."""
        self._drain_announced_at.setdefault(upstream, self._now())

    def on_upstream_started(self, upstream: str) -> None:
        """Record the start of an upstream, which ends an earlier announcement under its name."""
        self._drain_announced_at.pop(upstream, None)

    def on_limit_announced(self, upstream: str, limit_per_s: float) -> None:
        """Record that an upstream begins to announce how many requests it takes."""
        self._limits[upstream] = limit_per_s, self._now()
        self._limited_arrivals[upstream] = []

    def on_limit_ended(self, upstream: str) -> None:
        """Record that an upstream announces no limit any more."""
        self._limits.pop(upstream, None)

    def on_process_resumed(self) -> None:
        """Record that a frozen process resumes."""
        self._last_resumed_at = self._now()

    def on_configuration_published(self) -> None:
        """Record that the next version of the configuration is stored."""
        self._published_at.append(self._now())

    def on_call_ended(self, call: Call, outcome: Outcome) -> None:
        """Record the outcome of a call and check it."""
        call.outcome = outcome
        if outcome.status == OK and not outcome.is_own:
            self._add_finding("MIXED", f"{call.request_id} got an answer that doesn't belong to it")
        if outcome.status in NOT_RUN_STATUSES and call.runs and not call.is_repeatable:
            self._add_finding(
                "REFUSED", f"{call.request_id} ran but was answered with {outcome.status}"
            )
        if outcome.status == 0:
            self._check_lost_answer(call, outcome)

    # Events of upstreams.

    def on_grant_applied(
        self, upstream: StandinUpstream, granted: LeasedRange, is_new: bool
    ) -> None:
        """Check a grant against the leases and tokens of the other upstreams."""
        now = self._now()
        self.grant_count += 1
        if now - self._last_resumed_at < RESUME_GRACE:
            return
        for other in self._upstreams():
            if other is upstream or other.service != upstream.service or not other.is_up:
                continue
            for leased in other.leased_ranges:
                if leased.last < granted.first or leased.first > granted.last:
                    continue
                keys = f"{max(leased.first, granted.first)}-{min(leased.last, granted.last)}"
                if min(leased.expires_at, granted.expires_at) > now:
                    text = f"{upstream.name} was granted {keys} while {other.name} leased them"
                    self._add_finding("OWNER", text)
                elif is_new and leased.fencing_token >= granted.fencing_token:
                    text = f"{upstream.name} was granted {keys} with token {granted.fencing_token}"
                    self._add_finding(
                        "OWNER", f"{text}, but {other.name} already had {leased.fencing_token}"
                    )

    def on_crashed(self, upstream: StandinUpstream, path: str) -> None:
        """Record that an upstream has crashed under a request."""
        self._crashes_by_path.setdefault(path, []).append(self._now())
        self._on_crash(upstream)

    def _check_crashing(self, upstream: str, call: Call) -> None:
        """Check that a request is sent no more, some time after it has crashed three upstreams."""
        crashes = self._crashes_by_path.get(call.path, [])
        if len(crashes) < CRASHES or self._now() - crashes[CRASHES - 1] < STABLE_WINDOW:
            return
        if self._is_undisturbed(call.instance):
            self._late_sends[call.path] += 1
            if self._late_sends[call.path] > CRASHES:
                text = (
                    f"{call.path}, which has crashed {len(crashes)} upstreams, reached {upstream}"
                )
                self._add_finding("BUDGET", text)

    def on_request_arrived(self, upstream: StandinUpstream, request_id: str) -> None:
        """Check that an upstream gets no more requests than it may."""
        call, now = self.calls.get(request_id), self._now()
        if call is not None:
            self._check_crashing(upstream.name, call)
        if call is not None and upstream.name in self._limits:
            self._check_limit(upstream.name, call)
        announced_at = self._drain_announced_at.get(upstream.name)
        if call is None or announced_at is None or now - announced_at <= DRAIN_TIMEOUT:
            return
        if self._is_undisturbed(call.instance):
            text = (
                f"{request_id} reached {upstream.name} {now - announced_at} "
                "after its shutdown was announced"
            )
            self._add_finding("DRAIN", text)

    def _check_limit(self, upstream: str, call: Call) -> None:
        limit_per_s, announced_at = self._limits[upstream]
        now, arrivals = self._now(), self._limited_arrivals[upstream]
        if now - announced_at < ANNOUNCED_FOR or not self._is_undisturbed(call.instance):
            return
        arrivals.append(now)
        recent = sum(now - t <= LIMIT_WINDOW for t in arrivals)
        if recent > LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW.total_seconds() + LIMIT_FURTHER:
            text = f"{upstream}, which takes {limit_per_s:g} a second, got {recent} in 4 s"
            self._add_finding("LIMIT", text)

    def on_run_started(
        self, upstream: StandinUpstream, request_id: str, path: str, body: bytes
    ) -> None:
        """Check that a caller sent the request and that it may run at this time."""
        call = self.calls.get(request_id)
        if call is None or call.path != path or call.body != body:
            self._add_finding(
                "UNASKED",
                f"{upstream.name} runs an unknown or altered request: {request_id} {path}",
            )
            return
        if call.runs and not call.is_repeatable:
            self._add_finding("TWICE", f"{request_id} ran at {call.runs[-1]} and {upstream.name}")
        was_refused = call.outcome is not None and call.outcome.status in NOT_RUN_STATUSES
        if was_refused and not call.is_repeatable:
            self._add_finding("REFUSED", f"{request_id} was refused but runs at {upstream.name}")
        call.runs.append(upstream.name)

    def on_run_ended(self, upstream: StandinUpstream, request_id: str) -> None:
        """Record the end of a run."""
        call = self.calls.get(request_id)
        if call is not None:
            call.ended_at = self._now()

    # Events of the instances' processes.

    def on_process_exited(self, instance: str, code: int) -> None:
        """Record the unexpected end of a process as a finding."""
        self._add_finding("ENDED", f"{instance} exited unexpectedly with code {code}")

    def on_probe_answered(self, call: Call, version: int, status: int) -> None:
        """Check which version of the configuration an instance has in force.

        Parameters
        ----------
        call : Call
            Call to a route that exists in a single version of the configuration.
        version : int
            The version, which is at least 1.
        status : int
        """
        if status == OK:
            self._check_version(call, version, is_served=True)
        elif status == NOT_FOUND:
            self._check_version(call, version, is_served=False)

    def on_recovery_timeout(self, missing: str) -> None:
        """Record as a finding that service was not restored in time."""
        self._add_finding("RECOVER", missing)

    def _check_version(self, call: Call, version: int, *, is_served: bool) -> None:
        newest_version = len(self._published_at)
        is_undisturbed = self._is_undisturbed(call.instance)
        due_versions = [
            n
            for n, published_at in enumerate(self._published_at, 1)
            if published_at + CONFIG_TIMEOUT < call.sent_at
        ]
        oldest_allowed = max(due_versions, default=0)
        if is_undisturbed and is_served and version < oldest_allowed:
            self._add_finding(
                "CONFIG", f"{call.instance} still has version {version} of {newest_version}"
            )
        if is_undisturbed and not is_served and version == oldest_allowed == newest_version:
            self._add_finding("CONFIG", f"{call.instance} doesn't have version {version} yet")
        seen_version, seen_at = self._newest_seen.get(call.incarnation, (0, timedelta()))
        is_later = call.sent_at > seen_at + ROLLBACK_SLACK
        if is_later and (
            version < seen_version if is_served else version == seen_version == newest_version
        ):
            self._add_finding(
                "CONFIG", f"{call.instance} reverted from version {seen_version} to an older one"
            )
        if is_served and version > seen_version:
            self._newest_seen[call.incarnation] = (version, self._now())

    def _is_undisturbed(self, instance: str) -> bool:
        components = (STORE, instance, planned_stop_component(instance))
        return all(
            self._fault_history.is_stable(component, self._now()) for component in components
        )

    def _check_lost_answer(self, call: Call, outcome: Outcome) -> None:
        """Check that no undisturbed instance lost the answer of an undisturbed upstream."""
        if call.ended_at is None or outcome.received_at - call.ended_at < ANSWER_RETURN_TIME:
            return
        components = (call.instance, call.runs[-1])
        if all(
            self._fault_history.is_stable(component, outcome.received_at)
            for component in components
        ):
            text = (
                f"{call.request_id} was answered by {call.runs[-1]} "
                f"but got no answer from {call.instance}"
            )
            self._add_finding("LOST", text)

    def _add_finding(self, rule: str, text: str) -> None:
        self.findings.append(Finding(rule, self._now(), text))
