"""State machine of one target: the record that an instance keeps and its transitions."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import StrEnum

from ..clocks import milliseconds
from .interfaces import TargetState

__all__ = ["Signal", "TargetRecord", "apply_report", "apply_signal", "hold_of"]

# Number of silences, each within SILENCE_WINDOW of the one before and without an answer between
# them, that make a target suspect.
SILENCE_LIMIT = 2
SILENCE_WINDOW = timedelta(seconds=10)
# Number of successful probes in a row after which a suspect, leaving or gone target is ready.
CONFIRMATIONS = 2
# Minimum time out of service; it doubles with each trip that follows the last within CALM_AFTER.
HOLD = milliseconds(1000)
LONGEST_HOLD = timedelta(seconds=30)
CALM_AFTER = timedelta(seconds=60)
# Minimum time for which a leaving target stays out of service even if its health endpoint says
# that it is ready.
LEAVING_HOLD = timedelta(seconds=30)
LONGEST_LEAVING_HOLD = timedelta(minutes=5)
# Maximum time by which health endpoints are assumed to lag behind the state of the target.
HEALTH_LAG = timedelta(seconds=10)
# An answer to this instance's requests within this time outweighs a silent or starting probe.
FRESH_ANSWER = milliseconds(1000)


class Signal(StrEnum):
    """Observation of a target by this instance itself."""

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
    silences : int
        Number of silences since the last answer, each within `SILENCE_WINDOW` of the one before.
    last_silence : timedelta or None
        Time of the last silence.
    accusers : frozenset of str
        Names of the instances that report the target as suspect.
    confirmations : int
        Number of successful probes in a row while the target is out of service.
    trips : int
        Number of times that the target went out of service, each within `CALM_AFTER` of the one
        before.
    last_trip : timedelta or None
        Time at which the target last went out of service.
    last_answer : timedelta or None
        Time of the last answer to a request of this instance.
    drained : timedelta or None
        Time at which the target last said that it is leaving.
    """

    state: TargetState = TargetState.READY
    since: timedelta = timedelta()
    silences: int = 0
    last_silence: timedelta | None = None
    accusers: frozenset[str] = frozenset()
    confirmations: int = 0
    trips: int = 0
    last_trip: timedelta | None = None
    last_answer: timedelta | None = None
    drained: timedelta | None = None

    def lags(self, now: timedelta) -> bool:
        """Return whether the health endpoint may still show the state before the last drain."""
        return self.drained is not None and now - self.drained < HEALTH_LAG

    def answered_since(self, instant: timedelta) -> bool:
        """Return whether a request of this instance was answered at `instant` or later."""
        return self.last_answer is not None and self.last_answer >= instant


Rule = Callable[[TargetRecord, timedelta], TargetRecord]


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
    counts after a refused connection or after `HEALTH_LAG`, or when a long hold time is over. A
    refused connection makes the target gone. Two silences without an answer between them make it
    suspect, even while its health endpoint says that it is ready. The hold time grows with each
    trip, so that a target that flaps, or one whose health endpoint is wrong, makes fewer and
    fewer requests fail.
    """
    return _RULES[signal](record, now)


def apply_report(
    record: TargetRecord,
    reporter: str,
    state: TargetState,
    evidence: timedelta,
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
    evidence : timedelta
        Time of the evidence for that state, on the clock of this instance.
    now : timedelta

    Notes
    -----
    A report whose evidence is no newer than that of the record changes nothing, so reports may
    arrive late, repeatedly and out of order. The suspicion of another instance counts as one
    silence, however often it is reported: only its own path to the target may have failed.
    """
    if evidence <= record.since:
        return record
    if state is TargetState.LEAVING:
        return _leaving(record, now, evidence)
    if state is TargetState.GONE:
        return record if record.answered_since(evidence) else _gone(record, now, evidence)
    if state is TargetState.SUSPECT:
        return _report_suspect(record, reporter, evidence, now)
    if state is TargetState.STARTING:
        lagging = record.state is TargetState.LEAVING and record.lags(now)
        return record if lagging else _enter(record, state, evidence)
    return _report_ready(record, reporter, evidence, now)


def hold_of(record: TargetRecord) -> timedelta:
    """Return the minimum time for which a target stays out of service.

    Examples
    --------
    >>> hold_of(TargetRecord(TargetState.SUSPECT, trips=3)).total_seconds()
    4.0
    """
    doubled = 2 ** min(max(record.trips - 1, 0), 10)
    if record.state is TargetState.LEAVING:
        return min(LEAVING_HOLD * doubled, LONGEST_LEAVING_HOLD)
    return min(HOLD * doubled, LONGEST_HOLD)


def _enter(record: TargetRecord, state: TargetState, since: timedelta) -> TargetRecord:
    return replace(
        record,
        state=state,
        since=since,
        silences=0,
        last_silence=None,
        accusers=frozenset(),
        confirmations=0,
    )


def _trip(
    record: TargetRecord, state: TargetState, now: timedelta, since: timedelta
) -> TargetRecord:
    if record.state is state:
        return replace(record, since=since, confirmations=0)
    calm = record.last_trip is None or now - record.last_trip > CALM_AFTER
    trips = 1 if calm else record.trips + 1
    return replace(_enter(record, state, since), trips=trips, last_trip=now)


def _answer(record: TargetRecord, now: timedelta) -> TargetRecord:
    answered = replace(record, last_answer=now, silences=0, accusers=frozenset())
    if record.state is TargetState.SUSPECT and now - record.since >= hold_of(record):
        return _enter(answered, TargetState.READY, now)
    return answered


def _draining(record: TargetRecord, now: timedelta) -> TargetRecord:
    return _leaving(record, now, now)


def _leaving(record: TargetRecord, now: timedelta, since: timedelta) -> TargetRecord:
    return replace(_trip(record, TargetState.LEAVING, now, since), drained=since)


def _refused(record: TargetRecord, now: timedelta) -> TargetRecord:
    return _gone(record, now, now)


def _gone(record: TargetRecord, now: timedelta, since: timedelta) -> TargetRecord:
    if record.state is TargetState.LEAVING:
        # The planned exit of a leaving process doesn't count as a trip.
        return _enter(record, TargetState.GONE, since)
    return _trip(record, TargetState.GONE, now, since)


def _silence(record: TargetRecord, now: timedelta) -> TargetRecord:
    recent = record.last_silence is not None and now - record.last_silence <= SILENCE_WINDOW
    silences = record.silences + 1 if recent else 1
    heard = replace(record, silences=silences, last_silence=now, confirmations=0)
    return _suspect_if_enough(heard, now)


def _suspect_if_enough(record: TargetRecord, now: timedelta) -> TargetRecord:
    doubts = record.silences + len(record.accusers)
    if record.state is TargetState.READY and doubts >= SILENCE_LIMIT:
        return _trip(record, TargetState.SUSPECT, now, now)
    return record


def _probe_silence(record: TargetRecord, now: timedelta) -> TargetRecord:
    if record.answered_since(now - FRESH_ANSWER):
        return replace(record, confirmations=0)
    return _silence(record, now)


def _health_ready(record: TargetRecord, now: timedelta) -> TargetRecord:
    if record.state is TargetState.READY:
        return record
    if record.state is TargetState.STARTING:
        return _enter(record, TargetState.READY, now)
    confirmed = replace(record, confirmations=record.confirmations + 1)
    held = record.lags(now) or now - record.since < hold_of(record)
    if held or confirmed.confirmations < CONFIRMATIONS:
        return confirmed
    return _enter(record, TargetState.READY, now)


def _health_starting(record: TargetRecord, now: timedelta) -> TargetRecord:
    if record.state is TargetState.LEAVING and record.lags(now):
        return record
    if record.state is TargetState.STARTING or record.answered_since(now - FRESH_ANSWER):
        return record
    return _enter(record, TargetState.STARTING, now)


def _report_suspect(
    record: TargetRecord, reporter: str, evidence: timedelta, now: timedelta
) -> TargetRecord:
    if record.answered_since(evidence):
        return record
    accused = replace(record, accusers=record.accusers | {reporter})
    return _suspect_if_enough(accused, now)


def _report_ready(
    record: TargetRecord, reporter: str, evidence: timedelta, now: timedelta
) -> TargetRecord:
    if record.state is TargetState.READY:
        return replace(record, accusers=record.accusers - {reporter})
    held = record.state in (TargetState.SUSPECT, TargetState.LEAVING)
    if held and now - record.since < hold_of(record):
        return record
    if record.state is TargetState.GONE and record.lags(now):
        return record
    return _enter(record, TargetState.READY, evidence)


_RULES: dict[Signal, Rule] = {
    Signal.ANSWER: _answer,
    Signal.DRAINING: _draining,
    Signal.REFUSED: _refused,
    Signal.SILENCE: _silence,
    Signal.HEALTH_READY: _health_ready,
    Signal.HEALTH_STARTING: _health_starting,
    Signal.PROBE_SILENCE: _probe_silence,
}
