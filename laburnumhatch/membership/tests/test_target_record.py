"""Tests of the state machine of one target."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..interfaces import TargetState
from ..target_record import (
    MAX_HOLD_TIME,
    MAX_LEAVING_HOLD_TIME,
    Signal,
    TargetRecord,
    apply_report,
    apply_signal,
)

HEALTHY = [Signal.ANSWER, Signal.HEALTH_READY, Signal.HEALTH_STARTING]
STEP = timedelta(milliseconds=500)

steps = st.integers(1, 30).map(lambda n: timedelta(milliseconds=100 * n))
signals = st.lists(st.tuples(st.sampled_from(Signal), steps), max_size=30)
reports = st.tuples(st.sampled_from("pq"), st.sampled_from(TargetState), st.integers(0, 50))
events = st.lists(
    st.tuples(st.sampled_from(Signal) | reports, steps),
    max_size=30,
)


def replay(history, record=None, now=timedelta(seconds=100)):
    """Return the record after signals and reports, and the time of the last of them."""
    record = record or TargetRecord()
    for event, step in history:
        now += step
        if isinstance(event, Signal):
            record = apply_signal(record, event, now)
        else:
            reporter, state, age = event
            evidence_at = now - timedelta(milliseconds=100 * age)
            record = apply_report(record, reporter, state, evidence_at, now)
    return record, now


@given(events, st.lists(st.tuples(st.sampled_from(HEALTHY), steps), max_size=30))
def test_healthy_signals_do_not_end_the_hold_of_a_leaving_target(before, after):
    record, now = replay(before)
    drained = now
    record = apply_signal(record, Signal.DRAINING, now)
    restarted = False
    for signal, step in after:
        now += step
        record = apply_signal(record, signal, now)
        lag_over = now - drained >= timedelta(seconds=10)
        restarted = restarted or (lag_over and signal is Signal.HEALTH_STARTING)
        if not restarted and now - drained < timedelta(seconds=30):
            assert record.state is TargetState.LEAVING


@given(st.lists(st.tuples(st.sampled_from([*HEALTHY, Signal.REFUSED]), steps), max_size=30))
def test_drained_target_that_closed_its_port_is_not_ready_by_a_kept_connection(after):
    now = timedelta(seconds=100)
    record = apply_signal(TargetRecord(), Signal.DRAINING, now)
    for signal, step in after:
        now += step
        if signal is not Signal.HEALTH_STARTING and now < timedelta(seconds=110):
            record = apply_signal(record, signal, now)
            assert record.state is not TargetState.READY


@given(events)
def test_refused_connection_and_repeated_silence_end_new_work_at_once(history):
    record, now = replay(history)
    assert apply_signal(record, Signal.REFUSED, now).state is TargetState.GONE
    silent, _ = replay([(Signal.SILENCE, STEP)] * 2, record, now)
    assert silent.state is not TargetState.READY


@given(events)
def test_healthy_target_becomes_ready_again(history):
    record, now = replay(history)
    wait = max(MAX_HOLD_TIME, MAX_LEAVING_HOLD_TIME)
    probes = int(wait / STEP) + 3
    record, _ = replay([(Signal.HEALTH_READY, STEP)] * probes, record, now)
    assert record.state is TargetState.READY


@given(signals)
def test_state_agrees_with_a_scan_of_the_history(history):
    """Compare the state with rules that evaluate the whole history of signals."""
    record, now = replay(history)
    instants, instant = [], timedelta(seconds=100)
    for signal, step in history:
        instant += step
        instants.append((signal, instant))

    def last(*kinds):
        return max((when for signal, when in instants if signal in kinds), default=None)

    refused, drained = last(Signal.REFUSED), last(Signal.DRAINING)
    good = last(Signal.HEALTH_READY, Signal.HEALTH_STARTING, Signal.ANSWER)
    if refused is not None and now == refused:
        assert record.state is TargetState.GONE
    elif drained is not None and (refused is None or drained > refused):
        if now - drained < timedelta(seconds=10):
            assert record.state is TargetState.LEAVING
    elif refused is None and last(Signal.SILENCE, Signal.PROBE_SILENCE) is None:
        starting = last(Signal.HEALTH_STARTING)
        if drained is None and starting is None:
            assert record.state is TargetState.READY
    if good is None:
        assert record.state is not TargetState.STARTING


@given(events, st.sampled_from(TargetState), st.integers(0, 300))
def test_report_of_older_evidence_changes_nothing(history, state, age):
    record, now = replay(history)
    evidence_at = record.since - timedelta(milliseconds=age)
    assert apply_report(record, "p", state, evidence_at, now) == record


@pytest.mark.parametrize("failure", [Signal.REFUSED, Signal.SILENCE])
def test_wrong_health_endpoint_causes_fewer_trips_over_time(failure):
    """Check that trips grow rarer if every request fails while health probes say ready."""
    record, now, trips = TargetRecord(), timedelta(seconds=100), []
    for _ in range(240):
        now += STEP
        record = apply_signal(record, Signal.HEALTH_READY, now)
        if record.state is TargetState.READY:
            record = apply_signal(record, failure, now)
            if record.state is not TargetState.READY:
                trips.append(now)
    gaps = [(v - u).total_seconds() for u, v in zip(trips, trips[1:], strict=False)]
    assert gaps == sorted(gaps)
    assert len(trips) <= 10


def test_suspicion_of_one_other_instance_does_not_suspend_a_target():
    now = timedelta(seconds=100)
    record = TargetRecord()
    for _ in range(3):
        now += STEP
        record = apply_report(record, "p", TargetState.SUSPECT, now, now)
        assert record.state is TargetState.READY
    by_another = apply_report(record, "q", TargetState.SUSPECT, now, now)
    assert by_another.state is TargetState.SUSPECT
    assert apply_signal(record, Signal.SILENCE, now).state is TargetState.SUSPECT
    withdrawn = apply_report(record, "p", TargetState.READY, now, now)
    assert apply_signal(withdrawn, Signal.SILENCE, now).state is TargetState.READY


@pytest.mark.parametrize("state", [TargetState.STARTING, TargetState.READY])
@pytest.mark.parametrize(
    "signals", [[Signal.DRAINING], [Signal.DRAINING, Signal.REFUSED], [Signal.SILENCE] * 2]
)
def test_report_of_health_does_not_shorten_the_hold(signals, state):
    record, now = replay([(signal, STEP) for signal in signals])
    reported, _ = replay([(("p", state, 1), STEP)], record, now)
    assert reported.state is not TargetState.READY
    if signals == [Signal.DRAINING]:
        assert reported.state is TargetState.LEAVING


def test_own_answers_outweigh_a_report_that_the_target_is_gone():
    now = timedelta(seconds=100)
    record = apply_signal(TargetRecord(), Signal.ANSWER, now)
    assert apply_report(record, "p", TargetState.GONE, now - STEP, now) == record
    later = apply_report(record, "p", TargetState.GONE, now + STEP, now + STEP)
    assert later.state is TargetState.GONE
