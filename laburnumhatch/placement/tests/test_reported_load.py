"""What upstreams report of their load corrects the leader's totals for a short time."""

from datetime import timedelta

import pytest

from ..loads import LoadTracker, UpstreamTotals


def at(seconds):
    return timedelta(seconds=seconds)


def apply_totals(tracker, in_flight, seconds):
    """Apply totals of the leader, in which this instance's share is as last reported."""
    total = UpstreamTotals("u", in_flight, timedelta(), 0.0)
    tracker.apply_totals(lambda name: total, at(seconds))


def report(tracker, in_flight, seconds, declined=False, pace=None):
    tracker.record_reported("u", in_flight, pace, declined=declined, now=at(seconds))


@pytest.fixture
def tracker():
    """Return loads after totals of ten requests from other instances."""
    tracker = LoadTracker()
    apply_totals(tracker, 10, 100)
    assert tracker.load_of("u").in_flight == 10
    return tracker


def test_report_replaces_totals_and_own_requests_are_added(tracker):
    tracker.load_of("u").own_in_flight = 2
    report(tracker, 6, 100.1)
    assert tracker.load_of("u").in_flight == 6
    tracker.load_of("u").own_in_flight += 3
    assert tracker.load_of("u").in_flight == 9


def test_totals_replace_a_report_from_before_their_counts(tracker):
    report(tracker, 3, 100.1)
    apply_totals(tracker, 12, 100.25)
    assert tracker.load_of("u").in_flight == 3
    apply_totals(tracker, 12, 100.5)
    assert tracker.load_of("u").in_flight == 12


@pytest.mark.parametrize("is_leader", [False, True])
def test_report_expires_within_half_a_second(tracker, is_leader):
    report(tracker, 3, 100.1)
    if is_leader:
        tracker.set_others_in_flight({"u": 10}, at(100.55))
    else:
        tracker.expire_totals(at(100.55))
    assert tracker.load_of("u").in_flight == 10


def test_report_does_not_lower_what_a_declined_answer_says(tracker):
    # The upstream is full for this instance, whatever it counted a moment before or after.
    report(tracker, 2, 100.1, declined=True)
    report(tracker, 1, 100.2)
    assert tracker.load_of("u").in_flight == 10
    report(tracker, 30, 100.3)
    assert tracker.load_of("u").in_flight == 30
    assert tracker.load_of("u").declined_share(at(100.3)) == 0.0
    report(tracker, 1, 100.7)
    assert tracker.load_of("u").in_flight == 1


def test_report_without_counts_keeps_the_totals(tracker):
    report(tracker, None, 100.1, pace=2.0)
    assert tracker.load_of("u").in_flight == 10


def test_pace_is_smoothed_and_expires(tracker):
    reported = tracker.load_of("u").reported
    assert reported.pace(at(100)) is None
    report(tracker, None, 100.1, pace=1.0)
    report(tracker, None, 100.2, pace=3.0)
    assert 1.0 < reported.pace(at(100.3)) < 2.0
    assert reported.pace(at(100.8)) is None
    report(tracker, None, 102, pace=3.0)
    assert reported.pace(at(102)) == pytest.approx(3.0)
