"""Tests of the typical slot times by route."""

import pytest

from ..work_times import MAX_RATIO, WorkTimes


@pytest.fixture
def work_times():
    times = WorkTimes()
    for _ in range(100):
        times.record("s", "long", 0.4)
        times.record("s", "short", 0.1)
    return times


def test_unknown_route_counts_as_average(work_times):
    assert work_times.ratio("s", "unknown") == 1.0
    assert work_times.ratio("other", "long") == 1.0


def test_ratio_compares_the_route_with_the_mean_over_the_routes(work_times):
    assert work_times.ratio("s", "long") == pytest.approx(1.6, rel=0.1)
    assert work_times.ratio("s", "short") == pytest.approx(0.4, rel=0.1)
    assert work_times.longest_ratio("s") == work_times.ratio("s", "long")


def test_ratio_does_not_depend_on_how_often_a_route_is_used(work_times):
    before = work_times.ratio("s", "long")
    for _ in range(500):
        work_times.record("s", "short", 0.1)
    assert work_times.ratio("s", "long") == pytest.approx(before, rel=0.1)


def test_few_long_times_move_the_estimate_little(work_times):
    for _ in range(3):
        work_times.record("s", "short", 5.0)
    assert work_times.slot_time_s("s", "short") < 0.15


def test_ratio_is_bounded():
    times = WorkTimes()
    times.record("s", "tiny", 1e-9)
    for number in range(50):
        times.record("s", f"tiny{number}", 1e-9)
    times.record("s", "huge", 10.0)
    assert times.ratio("s", "huge") == MAX_RATIO


def test_removed_routes_are_forgotten(work_times):
    work_times.retain({"long"})
    assert work_times.slot_time_s("s", "short") == 0.0
    assert work_times.ratio("s", "long") == 1.0
