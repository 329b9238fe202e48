"""State machine of one target: the record that an instance keeps and its transitions."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import StrEnum

from ..clocks import milliseconds
from .interfaces import TargetState

__all__ = ["Signal", "TargetRecord", "apply_report", "apply_signal", "min_hold_duration"]

# Number of silences, each within SILENCE_WINDOW of the one before and without an answer between
# them, that make a target suspect.
SILENCE_LIMIT = 2
SILENCE_WINDOW = timedelta(seconds=10)
# Number of successful probes in a row after which a suspect, leaving or gone target is ready.
CONFIRMATIONS_REQUIRED = 2
# Minimum time out of service; it doubles with each trip within TRIP_RESET_TIME of the one before.
MIN_HOLD_TIME = milliseconds(1000)
MAX_HOLD_TIME = timedelta(seconds=30)
TRIP_RESET_TIME = timedelta(seconds=60)
# Minimum time for which a leaving target stays out of service even if its health endpoint says
# that it is ready.
MIN_LEAVING_HOLD_TIME = timedelta(seconds=30)
MAX_LEAVING_HOLD_TIME = timedelta(minutes=5)
# Maximum time by which health endpoints are assumed to lag behind the state of the target.
MAX_HEALTH_LAG = timedelta(seconds=10)
# An answer to this instance's requests within this time outweighs a silent or starting probe.
RECENT_ANSWER_WINDOW = milliseconds(1000)


class Signal(StrEnum):
    """Observation of a target by this instance itself.

    `SILENCE` means that a request got no answer before its timeout, and `PROBE_SILENCE` that a
    probe got no valid answer.
    """

    ANSWER = "answer"
    DRAINING = "draining"
    REFUSED = "refused"
    SILENCE = "silence"
    HEALTH_READY = "health-ready"
    HEALTH_STARTING = "health-starting"
    PROBE_SILENCE = "probe-silence"


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """State of one target and the observations on which it is based.

    Attributes
    ----------
    state : TargetState
    since : timedelta
        Time of the evidence for the state.
    silence_count : int
        Number of silences since the last answer, each within `SILENCE_WINDOW` of the one before.
    last_silence_at : timedelta or None
        Time of the last silence.
    suspecting_instances : frozenset of str
        Names of the instances that report the target as suspect.
    confirmation_count : int
        Number of successful probes in a row while the target is out of service.
    trip_count : int
        Number of times that the target went out of service, each within `TRIP_RESET_TIME` of the
        one before.
    last_trip_at : timedelta or None
        Time at which the target last went out of service.
    last_answer_at : timedelta or None
        Time of the last answer to a request of this instance.
    drained_at : timedelta or None
        Time at which the target last announced that it is leaving.
    """

    state: TargetState = TargetState.READY
    since: timedelta = timedelta()
    silence_count: int = 0
    last_silence_at: timedelta | None = None
    suspecting_instances: frozenset[str] = frozenset()
    confirmation_count: int = 0
    trip_count: int = 0
    last_trip_at: timedelta | None = None
    last_answer_at: timedelta | None = None
    drained_at: timedelta | None = None

    def is_health_lagging(self, now: timedelta) -> bool:
        """Return whether the health endpoint may still show the state before the last drain."""
        return self.drained_at is not None and now - self.drained_at < MAX_HEALTH_LAG

    def answered_since(self, instant: timedelta) -> bool:
        """Return whether a request of this instance was answered at `instant` or later."""
        return self.last_answer_at is not None and self.last_answer_at >= instant


SignalRule = Callable[[TargetRecord, timedelta], TargetRecord]


def apply_signal(record: TargetRecord, signal: Signal, now: timedelta) -> TargetRecord:
    """Return the record after an observation by this instance.

    Parameters
    ----------
    record : TargetRecord
    signal : Signal
    now : timedelta

    Notes
    -----
    A failure takes effect at once, a success only after the hold time. A target that answers
    that it is draining stays out of service until a new process has started: health endpoints
    lag, and over a connection that was kept open they answer even after the port was closed. A
    leaving target therefore returns only if its health endpoint says that it is starting, which
    counts after a refused connection or after `MAX_HEALTH_LAG`, or when a long hold time is over. A
    refused connection makes the target gone. Two silences without an answer between them make it
    suspect, even while its health endpoint says that it is ready. The hold time grows with each
    trip, so that a target that flaps, or one whose health endpoint is wrong, makes fewer and
    fewer requests fail.
    """
    return _SIGNAL_RULES[signal](record, now)


def apply_report(
    record: TargetRecord,
    reporter: str,
    state: TargetState,
    evidence_at: timedelta,
    now: timedelta,
) -> TargetRecord:
    """Return the record after a report of another instance.

    Parameters
    ----------
    record : TargetRecord
    reporter : str
        Name of the other instance.
    state : TargetState
        State of the target according to the other instance.
    evidence_at : timedelta
        Time of the evidence for that state, on the clock of this instance.
    now : timedelta

    Notes
    -----
    A report whose evidence is no newer than that of the record changes nothing, so reports may
    arrive late, repeatedly and out of order. The suspicion of another instance counts as one
    silence, however often it is reported: only its own path to the target may have failed.
    """
    if evidence_at <= record.since:
        return record
    if state is TargetState.LEAVING:
        return _enter_leaving(record, now, evidence_at)
    if state is TargetState.GONE:
        return (
            record if record.answered_since(evidence_at) else _enter_gone(record, now, evidence_at)
        )
    if state is TargetState.SUSPECT:
        return _report_suspect(record, reporter, evidence_at, now)
    if state is TargetState.STARTING:
        is_lagging = record.state is TargetState.LEAVING and record.is_health_lagging(now)
        return record if is_lagging else _enter_state(record, state, evidence_at)
    return _report_ready(record, reporter, evidence_at, now)


def min_hold_duration(record: TargetRecord) -> timedelta:
    """Return the minimum time for which a target stays out of service.

    Examples
    --------
    >>> min_hold_duration(TargetRecord(TargetState.SUSPECT, trip_count=3)).total_seconds()
    4.0
    """
    factor = 2 ** min(max(record.trip_count - 1, 0), 10)
    if record.state is TargetState.LEAVING:
        return min(MIN_LEAVING_HOLD_TIME * factor, MAX_LEAVING_HOLD_TIME)
    return min(MIN_HOLD_TIME * factor, MAX_HOLD_TIME)


def _enter_state(record: TargetRecord, state: TargetState, since: timedelta) -> TargetRecord:
    return replace(
        record,
        state=state,
        since=since,
        silence_count=0,
        last_silence_at=None,
        suspecting_instances=frozenset(),
        confirmation_count=0,
    )


def _trip(
    record: TargetRecord, state: TargetState, now: timedelta, since: timedelta
) -> TargetRecord:
    if record.state is state:
        return replace(record, since=since, confirmation_count=0)
    is_first_trip = record.last_trip_at is None or now - record.last_trip_at > TRIP_RESET_TIME
    trip_count = 1 if is_first_trip else record.trip_count + 1
    return replace(_enter_state(record, state, since), trip_count=trip_count, last_trip_at=now)


def _on_answer(record: TargetRecord, now: timedelta) -> TargetRecord:
    answered = replace(
        record, last_answer_at=now, silence_count=0, suspecting_instances=frozenset()
    )
    if record.state is TargetState.SUSPECT and now - record.since >= min_hold_duration(record):
        return _enter_state(answered, TargetState.READY, now)
    return answered


def _on_draining(record: TargetRecord, now: timedelta) -> TargetRecord:
    return _enter_leaving(record, now, now)


def _enter_leaving(record: TargetRecord, now: timedelta, since: timedelta) -> TargetRecord:
    return replace(_trip(record, TargetState.LEAVING, now, since), drained_at=since)


def _on_refused(record: TargetRecord, now: timedelta) -> TargetRecord:
    return _enter_gone(record, now, now)


def _enter_gone(record: TargetRecord, now: timedelta, since: timedelta) -> TargetRecord:
    if record.state is TargetState.LEAVING:
        # The planned exit of a leaving process doesn't count as a trip.
        return _enter_state(record, TargetState.GONE, since)
    return _trip(record, TargetState.GONE, now, since)


def _on_silence(record: TargetRecord, now: timedelta) -> TargetRecord:
    is_recent = (
        record.last_silence_at is not None and now - record.last_silence_at <= SILENCE_WINDOW
    )
    silence_count = record.silence_count + 1 if is_recent else 1
    counted = replace(
        record, silence_count=silence_count, last_silence_at=now, confirmation_count=0
    )
    return _suspect_if_enough(counted, now)


def _suspect_if_enough(record: TargetRecord, now: timedelta) -> TargetRecord:
    suspicion_count = record.silence_count + len(record.suspecting_instances)
    if record.state is TargetState.READY and suspicion_count >= SILENCE_LIMIT:
        return _trip(record, TargetState.SUSPECT, now, now)
    return record


def _on_probe_silence(record: TargetRecord, now: timedelta) -> TargetRecord:
    if record.answered_since(now - RECENT_ANSWER_WINDOW):
        return replace(record, confirmation_count=0)
    return _on_silence(record, now)


def _on_health_ready(record: TargetRecord, now: timedelta) -> TargetRecord:
    if record.state is TargetState.READY:
        return record
    if record.state is TargetState.STARTING:
        return _enter_state(record, TargetState.READY, now)
    confirmed = replace(record, confirmation_count=record.confirmation_count + 1)
    is_held = record.is_health_lagging(now) or now - record.since < min_hold_duration(record)
    if is_held or confirmed.confirmation_count < CONFIRMATIONS_REQUIRED:
        return confirmed
    return _enter_state(record, TargetState.READY, now)


def _on_health_starting(record: TargetRecord, now: timedelta) -> TargetRecord:
    if record.state is TargetState.LEAVING and record.is_health_lagging(now):
        return record
    if record.state is TargetState.STARTING or record.answered_since(now - RECENT_ANSWER_WINDOW):
        return record
    return _enter_state(record, TargetState.STARTING, now)


def _report_suspect(
    record: TargetRecord, reporter: str, evidence_at: timedelta, now: timedelta
) -> TargetRecord:
    if record.answered_since(evidence_at):
        return record
    suspected = replace(record, suspecting_instances=record.suspecting_instances | {reporter})
    return _suspect_if_enough(suspected, now)


def _report_ready(
    record: TargetRecord, reporter: str, evidence_at: timedelta, now: timedelta
) -> TargetRecord:
    if record.state is TargetState.READY:
        return replace(record, suspecting_instances=record.suspecting_instances - {reporter})
    is_held = record.state in (TargetState.SUSPECT, TargetState.LEAVING)
    if is_held and now - record.since < min_hold_duration(record):
        return record
    if record.state is TargetState.GONE and record.is_health_lagging(now):
        return record
    return _enter_state(record, TargetState.READY, evidence_at)


_SIGNAL_RULES: dict[Signal, SignalRule] = {
    Signal.ANSWER: _on_answer,
    Signal.DRAINING: _on_draining,
    Signal.REFUSED: _on_refused,
    Signal.SILENCE: _on_silence,
    Signal.HEALTH_READY: _on_health_ready,
    Signal.HEALTH_STARTING: _on_health_starting,
    Signal.PROBE_SILENCE: _on_probe_silence,
}
