"""Tests of load balancing: which key ranges are moved, and that random variation moves none."""

import random

import pytest

from ...fleet import UpstreamIncarnation
from ..balance import MAX_KEYS_PER_MOVE, OwnedSpan, plan_moves

INCARNATIONS = [UpstreamIncarnation(f"u{i}", 1) for i in range(4)]
SPANS = [
    OwnedSpan(i * 1000, i * 1000 + 999, incarnation, True)
    for i, incarnation in enumerate(INCARNATIONS)
]
CAPACITIES = dict.fromkeys(INCARNATIONS, 20.0)
WINDOW_S = 3.0


def plan(rates, spans=SPANS, capacities=CAPACITIES, max_moves=10):
    return plan_moves(spans, rates, capacities, WINDOW_S, max_moves)


def loads_after(rates, moves):
    owner = {key: INCARNATIONS[key // 1000] for key in rates}
    for move in moves:
        for key in rates:
            if move.first <= key <= move.last:
                owner[key] = move.new_owner
    return {
        incarnation: sum(r for k, r in rates.items() if owner[k] == incarnation)
        for incarnation in INCARNATIONS
    }


def test_even_loads_cause_no_moves():
    assert plan({i * 1000 + 5: 8.0 for i in range(4)}) == []


def test_load_on_neighbouring_keys_is_spread_over_upstreams():
    rates = {key: 0.4 for key in range(100, 200)}
    rates.update({i * 1000 + 500: 4.0 for i in range(4)})
    after = loads_after(rates, plan(rates))
    assert max(after.values()) <= 1.4 * sum(rates.values()) / 4


def test_moved_ranges_are_narrow():
    rates = {key: 0.4 for key in range(100, 200)}
    assert all(move.last - move.first < 100 for move in plan(rates))


def test_single_hot_key_is_moved_alone():
    moves = plan({500: 60.0, 2500: 1.0})
    assert all(move.first == move.last == 500 for move in moves)


def test_random_variation_causes_no_moves():
    generator = random.Random(5)
    rates = {}
    # 60 requests within 3 seconds, drawn uniformly over the keys.
    for _ in range(60):
        key = generator.randrange(4000)
        rates[key] = rates.get(key, 0.0) + 1 / WINDOW_S
    assert plan(rates) == []


def test_new_upstream_receives_keys():
    joined = UpstreamIncarnation("new", 1)
    rates = {key: 0.4 for key in range(0, 4000, 25)}
    moves = plan(rates, capacities={**CAPACITIES, joined: 20.0})
    assert any(move.new_owner == joined for move in moves)


def test_moves_of_sparse_load_stay_below_the_key_limit():
    wide = [
        OwnedSpan(0, 40_000, INCARNATIONS[0], True),
        OwnedSpan(40_001, 65_535, INCARNATIONS[1], True),
    ]
    rates = {key: 3.0 for key in range(0, 40_000, 5000)}
    capacities = dict.fromkeys(INCARNATIONS[:2], 20.0)
    moves = plan(rates, spans=wide, capacities=capacities)
    assert moves and all(move.last - move.first < MAX_KEYS_PER_MOVE for move in moves)


def test_ranges_that_are_being_moved_are_not_moved_again():
    spans = [OwnedSpan(s.first, s.last, s.owner, False) for s in SPANS]
    assert plan({key: 0.4 for key in range(100, 200)}, spans=spans) == []


@pytest.mark.parametrize("max_moves", [1, 3])
def test_move_count_does_not_exceed_the_maximum(max_moves):
    assert len(plan({key: 0.4 for key in range(100, 200)}, max_moves=max_moves)) <= max_moves
