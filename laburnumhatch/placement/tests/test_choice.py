"""Choice of the upstream, also when many instances choose at the same time."""

import random
from datetime import timedelta

import pytest

from ...fleet import Upstream, UpstreamIncarnation
from ..choice import choose_upstream, plausible_service_time, predict_answer_time
from ..loads import LoadBoard

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
def board():
    return LoadBoard()


def choose(upstreams, board, seed=1, instances=8, is_bulky=False, data_centre="lade"):
    return choose_upstream(
        upstreams, board.of, data_centre, is_bulky, instances, NOW, random.Random(seed)
    )


def test_no_candidates_return_none(board):
    assert choose([], board) is None


def test_idle_upstream_is_preferred_to_a_busy_one(board):
    busy, idle = make_upstreams(2)
    board.of(busy.name).own_in_flight = 4
    assert all(choose([busy, idle], board, seed).upstream is idle for seed in range(20))


def test_requests_of_other_instances_count_as_load(board):
    busy, idle = make_upstreams(2)
    board.of(busy.name).others = 4
    assert choose([busy, idle], board).upstream is idle


def test_declining_upstream_is_avoided_until_the_other_is_overloaded(board):
    declining, healthy = make_upstreams(2)
    for upstream in (declining, healthy):
        board.of(upstream.name).service_s = 0.1
    board.of(declining.name).note_answers(4, 12, 0.4, NOW)
    assert choose([declining, healthy], board).upstream is healthy
    board.of(healthy.name).own_in_flight = 40
    assert choose([declining, healthy], board).upstream is declining


def test_unreachable_upstream_is_avoided(board):
    unreachable, healthy = make_upstreams(2)
    board.of(unreachable.name).record_unreachable(NOW)
    board.of(healthy.name).own_in_flight = 9
    assert choose([unreachable, healthy], board).upstream is healthy


def test_unreachable_upstream_is_chosen_if_none_is_reachable(board):
    upstreams = make_upstreams(2)
    for upstream in upstreams:
        board.of(upstream.name).record_unreachable(NOW)
    assert choose(upstreams, board) is not None


def test_large_answers_prefer_the_local_data_centre(board):
    local, remote = make_upstreams(1)[0], make_upstreams(2, data_centre="byasen")[1]
    board.of(local.name).own_in_flight = 2
    assert choose([local, remote], board, is_bulky=False).upstream is remote
    assert choose([local, remote], board, is_bulky=True).upstream is local


def test_instances_with_equal_data_do_not_all_choose_the_same_upstream(board):
    upstreams = make_upstreams(60)
    for upstream in upstreams[1:]:
        board.of(upstream.name).others = 2
    chosen = [choose(upstreams, board, seed, instances=65).upstream.name for seed in range(65)]
    # All instances know of one idle upstream with two slots; with a full comparison each of them
    # would choose it.
    assert chosen.count("u0") <= 10


def test_predicted_time_grows_with_requests_beyond_the_slots(board):
    (upstream,) = make_upstreams(1)
    load = board.of(upstream.name)
    load.service_s = 0.1
    load.own_in_flight = 1
    assert predict_answer_time(upstream, load, 0.1) == pytest.approx(0.1)
    load.own_in_flight = 5
    assert predict_answer_time(upstream, load, 0.1) == pytest.approx(0.3)


def test_implausibly_short_service_time_is_raised_to_the_lower_bound():
    assert plausible_service_time(0.001, 0.1) == pytest.approx(0.05)
    assert plausible_service_time(0.4, 0.1) == pytest.approx(0.4)
    assert plausible_service_time(0.0, 0.1) == pytest.approx(0.1)
