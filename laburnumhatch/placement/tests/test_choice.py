"""Choice of the upstream, also when many instances choose at the same time."""

import random
from datetime import timedelta

import pytest

from ...fleet import Upstream, UpstreamIncarnation
from ..choice import (
    Demand,
    choose_upstream,
    median_service_time,
    plausible_service_time,
    predict_answer_time,
)
from ..loads import LoadTracker

NOW = timedelta(seconds=10)


def make_upstreams(count, slots=2, data_centre="lade"):
    return [
        Upstream(
            UpstreamIncarnation(f"u{i}", 1),
            "s",
            "127.0.0.1",
            1,
            data_centre,
            slots,
            False,
            timedelta(),
        )
        for i in range(count)
    ]


@pytest.fixture
def load_tracker():
    return LoadTracker()


def choose(upstreams, load_tracker, seed=1, instance_count=8, is_bulky=False, data_centre="lade"):
    return choose_upstream(
        upstreams,
        load_tracker.load_of,
        data_centre,
        Demand(is_bulky=is_bulky),
        instance_count,
        NOW,
        random.Random(seed),
        median_service_time(load_tracker.load_of(u.name) for u in upstreams),
    )


def test_no_candidates_return_none(load_tracker):
    assert choose([], load_tracker) is None


def test_idle_upstream_is_preferred_to_a_busy_one(load_tracker):
    busy, idle = make_upstreams(2)
    load_tracker.load_of(busy.name).own_in_flight = 4
    assert all(choose([busy, idle], load_tracker, seed).upstream is idle for seed in range(20))


def test_requests_of_other_instances_count_as_load(load_tracker):
    busy, idle = make_upstreams(2)
    load_tracker.load_of(busy.name).others_in_flight = 4
    assert choose([busy, idle], load_tracker).upstream is idle


def test_declining_upstream_is_avoided_until_the_other_is_overloaded(load_tracker):
    declining, healthy = make_upstreams(2)
    for upstream in (declining, healthy):
        load_tracker.load_of(upstream.name).service_time_s = 0.1
    load_tracker.load_of(declining.name).record_answers(4, 12, 0.4, NOW)
    assert choose([declining, healthy], load_tracker).upstream is healthy
    load_tracker.load_of(healthy.name).own_in_flight = 40
    assert choose([declining, healthy], load_tracker).upstream is declining


def test_unreachable_upstream_is_avoided(load_tracker):
    unreachable, healthy = make_upstreams(2)
    load_tracker.load_of(unreachable.name).record_unreachable(NOW)
    load_tracker.load_of(healthy.name).own_in_flight = 9
    assert choose([unreachable, healthy], load_tracker).upstream is healthy


def test_unreachable_upstream_is_chosen_if_none_is_reachable(load_tracker):
    upstreams = make_upstreams(2)
    for upstream in upstreams:
        load_tracker.load_of(upstream.name).record_unreachable(NOW)
    assert choose(upstreams, load_tracker) is not None


def test_large_answers_prefer_the_local_data_centre(load_tracker):
    local, remote = make_upstreams(1)[0], make_upstreams(2, data_centre="byasen")[1]
    load_tracker.load_of(local.name).own_in_flight = 2
    assert choose([local, remote], load_tracker, is_bulky=False).upstream is remote
    assert choose([local, remote], load_tracker, is_bulky=True).upstream is local


def test_instances_with_equal_data_do_not_all_choose_the_same_upstream(load_tracker):
    upstreams = make_upstreams(60)
    for upstream in upstreams[1:]:
        load_tracker.load_of(upstream.name).others_in_flight = 2
    chosen = [
        choose(upstreams, load_tracker, seed, instance_count=65).upstream.name for seed in range(65)
    ]
    # All instances know of one idle upstream with two slots; with a full comparison each of them
    # would choose it.
    assert chosen.count("u0") <= 10


def test_predicted_time_grows_with_requests_beyond_the_slots(load_tracker):
    (upstream,) = make_upstreams(1)
    load = load_tracker.load_of(upstream.name)
    load.service_time_s = 0.1
    load.own_in_flight = 1
    assert predict_answer_time(upstream, load, 0.1) == pytest.approx(0.1)
    load.own_in_flight = 5
    assert predict_answer_time(upstream, load, 0.1) == pytest.approx(0.3)


def test_implausibly_short_service_time_is_raised_to_the_lower_bound():
    assert plausible_service_time(0.001, 0.1) == pytest.approx(0.05)
    assert plausible_service_time(0.4, 0.1) == pytest.approx(0.4)
    assert plausible_service_time(0.0, 0.1) == pytest.approx(0.1)
