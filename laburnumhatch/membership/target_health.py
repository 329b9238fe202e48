"""State of the upstream targets as known to this instance."""

import random
from collections.abc import Callable, Iterator
from datetime import timedelta

import logbook

from ..clocks import Clock, milliseconds
from ..links.interfaces import ManagedLinks
from ..routing import Snapshot, Target
from .interfaces import InstanceView, TargetState
from .messages import TargetReport
from .probe import Probe, ProbeOutcome, TargetLoad
from .prober import TargetKey, TargetProber
from .target_record import Signal, TargetRecord, apply_report, apply_signal
from .target_reports import TargetReports

__all__ = ["TargetHealth"]

# When a stream opens, a ready target is reported as well if its last trip is more recent than
# this.
RECENT_TRIP_WINDOW = timedelta(seconds=60)

# Probe intervals of a ready target, of a ready target with an unanswered probe or request, and of
# a target that is out of service. A frozen target is detected within a ready interval, two probe
# timeouts and a retry interval, 2 s in total.
READY_PROBE_INTERVAL = milliseconds(1000)
RETRY_PROBE_INTERVAL = milliseconds(100)
OUT_OF_SERVICE_PROBE_INTERVAL = milliseconds(500)

_log = logbook.Logger("laburnumhatch.membership")


class TargetHealth:
    """State of the targets of all services.

    It combines the results of probes, the results of this instance's requests and the reports of
    the other instances.

    Parameters
    ----------
    clock : Clock
    own_name : str
        Name of this instance.
    links : ManagedLinks
    instances : InstanceView
    probe : callable
        Probes one target, see `http_probe`.
    jitter : callable, optional
        Returns a random number in [0, 1); it spreads the probes over time.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        own_name: str,
        links: ManagedLinks,
        instances: InstanceView,
        probe: Probe,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._targets: dict[TargetKey, Target] = {}
        self._records: dict[TargetKey, TargetRecord] = {}
        self._loads: dict[TargetKey, TargetLoad] = {}
        self._listeners: list[Callable[[str, str, TargetState], None]] = []
        self._reports = TargetReports(
            clock=clock,
            links=links,
            make_report=self._make_report,
            initial_report_keys=self._initial_report_keys,
        )
        self._prober = TargetProber(
            clock=clock,
            own_name=own_name,
            instances=instances,
            probe=probe,
            on_outcome=self._on_probed,
            interval_of=self._interval_of,
            jitter=jitter,
        )
        links.add_handler(TargetReport, self._on_report)

    def set_targets(self, snapshot: Snapshot) -> None:
        """Replace the targets with those of a snapshot.

        A target that keeps its name and address keeps its state; a new target counts as ready.
        """
        before = self._targets
        self._targets = {(s.name, t.name): t for s in snapshot.services for t in s.targets}
        self._records = {
            key: self._records[key] if before.get(key) == target else TargetRecord()
            for key, target in self._targets.items()
        }
        self._prober.set_targets(self._targets)

    def start(self) -> None:
        """Start probing."""
        self._prober.start()

    def stop(self) -> None:
        """Stop probing and reporting."""
        self._prober.stop()
        self._reports.stop()

    def on_change(self, listener: Callable[[str, str, TargetState], None]) -> None:
        """Register a function called as ``listener(service, target, state)`` on state changes."""
        self._listeners.append(listener)

    def state(self, service: str, target: str) -> TargetState:
        """Return the state of a target; suspect if the configuration doesn't contain it."""
        record = self._records.get((service, target))
        return record.state if record is not None else TargetState.SUSPECT

    def takes_new_work(self, service: str, target: str) -> bool:
        """Return whether new requests may be sent to a target."""
        return self.state(service, target) is TargetState.READY

    def load(self, service: str, target: str) -> TargetLoad | None:
        """Return the load that this instance last read from a target, or None."""
        return self._loads.get((service, target))

    def describe(self) -> dict[str, dict[str, str]]:
        """Return the states by service and target, for the status page."""
        described: dict[str, dict[str, str]] = {}
        for (service, target), record in sorted(self._records.items()):
            described.setdefault(service, {})[target] = record.state.value
        return described

    def record_answer(self, service: str, target: str) -> None:
        """Record that a target answered a request."""
        self._apply((service, target), Signal.ANSWER)

    def record_draining(self, service: str, target: str) -> None:
        """Record that a target refused a request because it is shutting down."""
        self._apply((service, target), Signal.DRAINING)

    def record_connection_refused(self, service: str, target: str) -> None:
        """Record that a target refused a connection."""
        self._apply((service, target), Signal.REFUSED)

    def record_timeout(self, service: str, target: str) -> None:
        """Record that a target did not answer a request before its timeout."""
        self._apply((service, target), Signal.SILENCE)

    def _on_probed(self, key: TargetKey, outcome: ProbeOutcome) -> None:
        if outcome.load is not None:
            self._loads[key] = outcome.load
        self._apply(key, outcome.signal)

    def _apply(self, key: TargetKey, signal: Signal) -> None:
        record = self._records.get(key)
        if record is not None:
            self._set(key, apply_signal(record, signal, self._clock.now()), signal.value)

    def _on_report(self, instance: str, report: TargetReport) -> None:
        key = (report.service, report.target)
        record = self._records.get(key)
        if record is None:
            return
        now = self._clock.now()
        # A negative age would date the evidence in the future, and later reports would be ignored.
        evidence_at = now - max(report.evidence_age, timedelta())
        changed = apply_report(record, instance, report.state, evidence_at, now)
        self._set(key, changed, f"report of {instance}")

    def _set(self, key: TargetKey, record: TargetRecord, cause: str) -> None:
        before = self._records[key]
        self._records[key] = record
        if record.state is before.state:
            return
        _log.info(
            "target {} of service {} changed from {} to {} (cause: {})",
            key[1],
            key[0],
            before.state,
            record.state,
            cause,
        )
        if record.state is TargetState.READY:
            self._prober.unwatch(key)
        else:
            self._prober.watch(key)
        self._reports.broadcast(key)
        for listener in self._listeners:
            listener(*key, record.state)

    def _interval_of(self, key: TargetKey) -> timedelta:
        record = self._records.get(key, TargetRecord())
        if record.state is not TargetState.READY:
            return OUT_OF_SERVICE_PROBE_INTERVAL
        return RETRY_PROBE_INTERVAL if record.silence_count else READY_PROBE_INTERVAL

    def _make_report(self, key: TargetKey) -> TargetReport | None:
        record = self._records.get(key)
        if record is None:
            return None
        return TargetReport(*key, record.state, self._clock.now() - record.since)

    def _initial_report_keys(self) -> Iterator[TargetKey]:
        now = self._clock.now()
        for key, record in self._records.items():
            is_recent = (
                record.last_trip_at is not None and now - record.last_trip_at < RECENT_TRIP_WINDOW
            )
            if record.state is not TargetState.READY or is_recent:
                yield key
