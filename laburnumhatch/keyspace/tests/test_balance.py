"""Busy keys go to idle upstreams, in narrow ranges, and not by chance."""

import random

import pytest

from ...fleet import UpstreamLife
from ..balance import MOST_KEYS, OwnedSpan, plan_moves

LIVES = [UpstreamLife(f"u{i}", 1) for i in range(4)]
SPANS = [OwnedSpan(i * 1000, i * 1000 + 999, life, True) for i, life in enumerate(LIVES)]
CAPACITIES = dict.fromkeys(LIVES, 20.0)
WINDOW_S = 3.0


def plan(rates, spans=SPANS, capacities=CAPACITIES, most=10):
    return plan_moves(spans, rates, capacities, WINDOW_S, most)


def loads_after(rates, moves):
    owner = {key: LIVES[key // 1000] for key in rates}
    for move in moves:
        for key in rates:
            if move.first <= key <= move.last:
                owner[key] = move.to
    return {life: sum(r for k, r in rates.items() if owner[k] == life) for life in LIVES}


def test_even_loads_stay():
    assert plan({i * 1000 + 5: 8.0 for i in range(4)}) == []


def test_a_burst_on_neighbouring_keys_is_spread():
    rates = {key: 0.4 for key in range(100, 200)}
    rates.update({i * 1000 + 500: 4.0 for i in range(4)})
    after = loads_after(rates, plan(rates))
    assert max(after.values()) <= 1.4 * sum(rates.values()) / 4


def test_the_moved_ranges_are_narrow():
    rates = {key: 0.4 for key in range(100, 200)}
    assert all(move.last - move.first < 100 for move in plan(rates))


def test_one_hot_key_is_not_cut():
    moves = plan({500: 60.0, 2500: 1.0})
    assert all(move.first == move.last == 500 for move in moves)


def test_chance_moves_nothing():
    source = random.Random(5)
    rates = {}
    # Sixty requests over three seconds, spread evenly by chance.
    for _ in range(60):
        key = source.randrange(4000)
        rates[key] = rates.get(key, 0.0) + 1 / WINDOW_S
    assert plan(rates) == []


def test_an_upstream_that_joins_gets_keys():
    joined = UpstreamLife("new", 1)
    rates = {key: 0.4 for key in range(0, 4000, 25)}
    moves = plan(rates, capacities={**CAPACITIES, joined: 20.0})
    assert any(move.to == joined for move in moves)


def test_few_requests_move_few_keys():
    wide = [OwnedSpan(0, 40_000, LIVES[0], True), OwnedSpan(40_001, 65_535, LIVES[1], True)]
    rates = {key: 3.0 for key in range(0, 40_000, 5000)}
    capacities = dict.fromkeys(LIVES[:2], 20.0)
    moves = plan(rates, spans=wide, capacities=capacities)
    assert moves and all(move.last - move.first < MOST_KEYS for move in moves)


def test_a_range_on_its_way_is_left_alone():
    spans = [OwnedSpan(s.first, s.last, s.owner, False) for s in SPANS]
    assert plan({key: 0.4 for key in range(100, 200)}, spans=spans) == []


@pytest.mark.parametrize("most", [1, 3])
def test_no_more_moves_than_wanted(most):
    assert len(plan({key: 0.4 for key in range(100, 200)}, most=most)) <= most
