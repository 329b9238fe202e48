"""Choice of the upstream, also when many instances choose at the same time."""

import random
from datetime import timedelta

import pytest

from ...fleet import Upstream, UpstreamLife
from ..choice import choose_upstream, plausible_service_time, predict_answer_time
from ..loads import LoadBoard

NOW = timedelta(seconds=10)


def make_upstreams(count, slots=2, data_centre="lade"):
    return [
        Upstream(
            UpstreamLife(f"u{i}", 1), "s", "127.0.0.1", 1, data_centre, slots, False, timedelta()
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


def test_nothing_is_chosen_from_nothing(board):
    assert choose([], board) is None


def test_an_idle_upstream_is_preferred_to_a_busy_one(board):
    busy, idle = make_upstreams(2)
    board.of(busy.name).own = 4
    assert all(choose([busy, idle], board, seed).upstream is idle for seed in range(20))


def test_requests_of_other_instances_count(board):
    busy, idle = make_upstreams(2)
    board.of(busy.name).others = 4
    assert choose([busy, idle], board).upstream is idle


def test_an_upstream_that_declines_is_avoided_but_tried(board):
    declining, good = make_upstreams(2)
    for upstream in (declining, good):
        board.of(upstream.name).service_s = 0.1
    board.of(declining.name).note_answers(4, 12, 0.4, NOW)
    assert choose([declining, good], board).upstream is good
    board.of(good.name).own = 40
    assert choose([declining, good], board).upstream is declining


def test_one_that_could_not_be_reached_is_left_out_for_a_while(board):
    lost, good = make_upstreams(2)
    board.of(lost.name).note_unreachable(NOW)
    board.of(good.name).own = 9
    assert choose([lost, good], board).upstream is good


def test_all_unreachable_are_tried_all_the_same(board):
    upstreams = make_upstreams(2)
    for upstream in upstreams:
        board.of(upstream.name).note_unreachable(NOW)
    assert choose(upstreams, board) is not None


def test_large_answers_stay_near(board):
    near, far = make_upstreams(1)[0], make_upstreams(2, data_centre="byasen")[1]
    board.of(near.name).own = 2
    assert choose([near, far], board, is_bulky=False).upstream is far
    assert choose([near, far], board, is_bulky=True).upstream is near


def test_many_instances_with_one_view_do_not_all_choose_the_same(board):
    upstreams = make_upstreams(60)
    for upstream in upstreams[1:]:
        board.of(upstream.name).others = 2
    chosen = [choose(upstreams, board, seed, instances=65).upstream.name for seed in range(65)]
    # All instances know of one idle upstream with two slots; with a full comparison each of them
    # would choose it.
    assert chosen.count("u0") <= 10


def test_a_request_beyond_the_slots_waits_for_its_turn(board):
    (upstream,) = make_upstreams(1)
    load = board.of(upstream.name)
    load.service_s = 0.1
    load.own = 1
    assert predict_answer_time(upstream, load, 0.1) == pytest.approx(0.1)
    load.own = 5
    assert predict_answer_time(upstream, load, 0.1) == pytest.approx(0.3)


def test_an_implausibly_fast_upstream_is_not_believed():
    assert plausible_service_time(0.001, 0.1) == pytest.approx(0.05)
    assert plausible_service_time(0.4, 0.1) == pytest.approx(0.4)
    assert plausible_service_time(0.0, 0.1) == pytest.approx(0.1)
