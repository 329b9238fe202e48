"""Upstreams of unknown speed, of which some slow down early, get what they take well."""

import random
from datetime import timedelta

import pytest

from ...fleet import Upstream, UpstreamIncarnation
from ..capacities import serving_capacities
from ..choice import Demand, choose_upstream, predict_answer_time
from ..concurrency import ConcurrencyEstimate
from ..loads import LoadTracker
from .load_model import Kind
from .uneven_model import uneven_model

NOW = timedelta(seconds=10)
# Rate at which the upstreams of the model are full, including their noise.
FULL_RATE = 28 * 4 * 1.04 / 0.201 / 1.4
NO_LIMIT = 99


def read_kind(load):
    return Kind("read", FULL_RATE * load, 0.201, 0.3, 0.88, 5.473, 0, retries=2)


def play(rule, load, slowing=None, *, is_keyed=False, seconds=14.0):
    model = uneven_model(read_kind(load), rule, 3, slowing or {}, is_keyed=is_keyed)
    counts = model.run(6.0, seconds)["read"]
    return model, counts.in_time / counts.asked


def limits_of(model, name):
    return {round(at, 2): limit for at, seen, limit in model.limits_seen if seen == name}


def test_speeds_are_found_and_noise_gives_no_limits():
    # Fails if slow periods of 400 ms are taken for the speed or for a slow-down.
    model, _ = play("estimated", 0.7)
    ratios = sorted(
        estimate.unloaded_s * model.servers[name].speed / 0.201
        for name, estimate in model.leader.estimates.items()
    )
    assert len(ratios) == 28
    # Noise makes the mean time 1.4 times the usual one; speeds differ by more than three times.
    assert ratios[2] > 1.1 and ratios[-3] < 1.6 and ratios[-3] / ratios[2] < 1.35
    limited = sum(limit < 4 for _, _, limit in model.limits_seen)
    assert limited < 0.03 * 28 * 20 / 0.25


def test_slow_down_is_found_soon_and_recovery_later():
    # Fails if an upstream that slows down is kept full, or is avoided for good.
    names = [f"u{n}" for n in range(0, 28, 4)]
    model, _ = play("estimated", 0.7, dict.fromkeys(names, (8.0, 14.0)), seconds=24.0)
    found, ended = [], []
    for name in names:
        limits = limits_of(model, name)
        found.append(min((at for at, n in limits.items() if at > 8 and n < 4), default=99) - 8)
        ended.append(max((at for at, n in limits.items() if n < 4), default=99) - 14)
    assert sorted(found)[len(found) // 2] <= 2.5
    assert sorted(ended)[len(ended) // 2] <= 10.0


@pytest.mark.parametrize("slowing", [{}, {f"u{n}": (0.0, 99.0) for n in range(0, 28, 5)}])
def test_more_requests_are_answered_in_time_than_by_smoothed_times(slowing):
    # Fails if the estimates don't reach the choice, or mislead it.
    shares = {rule: play(rule, 0.95, slowing)[1] for rule in ("smoothed", "estimated", "known")}
    assert shares["estimated"] > shares["smoothed"] + 0.03
    assert shares["estimated"] > shares["known"] - 0.15


def test_fewer_keys_move_and_as_many_requests_are_in_time():
    # Fails if capacities follow noise.
    smoothed, smoothed_share = play("smoothed", 0.7, is_keyed=True)
    estimated, estimated_share = play("estimated", 0.7, is_keyed=True)
    assert estimated_share > smoothed_share - 0.02
    assert len(estimated.move_times) < 0.5 * len(smoothed.move_times)


def make_upstream(name, slots=4):
    incarnation = UpstreamIncarnation(name, 1)
    return Upstream(incarnation, "s", "127.0.0.1", 1, "d", slots, False, timedelta())


@pytest.fixture
def tracker():
    """Return loads of a usual upstream and one that takes two requests well."""
    tracker = LoadTracker()
    tracker.set_estimate("usual", ConcurrencyEstimate(0.2, 0))
    tracker.set_estimate("limited", ConcurrencyEstimate(0.2, 2))
    return tracker


def test_request_beyond_the_limit_is_predicted_to_take_long(tracker):
    load = tracker.load_of("limited")
    load.own_in_flight = 1
    assert predict_answer_time(make_upstream("limited"), load, 0.2) == pytest.approx(0.2)
    load.own_in_flight = 2
    assert predict_answer_time(make_upstream("limited"), load, 0.2) == pytest.approx(0.9)


def test_upstream_at_its_limit_ranks_behind_a_busier_one(tracker):
    tracker.load_of("limited").own_in_flight = 2
    tracker.load_of("usual").own_in_flight = 30
    upstreams = [make_upstream("usual"), make_upstream("limited")]
    choice = choose_upstream(
        upstreams, tracker.load_of, "d", Demand(), 1, NOW, random.Random(1), 0.2
    )
    assert choice.upstream.name == "usual"


def test_capacity_is_what_the_limit_allows(tracker):
    upstreams = [make_upstream("usual"), make_upstream("limited")]
    capacities = {i.name: c for i, c in serving_capacities(upstreams, tracker, NOW).items()}
    assert capacities == pytest.approx({"usual": 20.0, "limited": 10.0})


def test_estimate_of_zeros_is_removed(tracker):
    # Fails if a restarted upstream keeps the limit of its former run.
    tracker.set_estimate("limited", ConcurrencyEstimate())
    assert tracker.load_of("limited").concurrency == 0 and "limited" not in tracker.estimates
