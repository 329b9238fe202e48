"""Tests of keys that are too busy for one owner."""

import pytest

from ...fleet import UpstreamIncarnation
from ..balance import OwnedSpan
from ..hot_keys import (
    MIN_SHARE_FOR_LIMITED_KEYS,
    KeyLimits,
    clip_hot_rates,
    plan_hot_key_moves,
    plan_key_limits,
)

OWNERS = [UpstreamIncarnation(f"u{i}", 1) for i in range(3)]
SPANS = [OwnedSpan(i * 1000, i * 1000 + 999, owner, True) for i, owner in enumerate(OWNERS)]
CAPACITIES = dict.fromkeys(OWNERS, 20.0)
WINDOW_S = 1.0


def limits(rates, capacities=CAPACITIES):
    return plan_key_limits(SPANS, rates, capacities, WINDOW_S)


def sent(rates, planned):
    return sum(rate * planned.share(*entry) for entry, rate in rates.items())


def test_no_key_is_limited_while_the_owner_is_not_full():
    assert limits({(500, 2): 15.0, (600, 2): 2.0}) == KeyLimits()


def test_busy_key_gets_what_the_other_keys_leave():
    rates = {(500, 2): 100.0, (600, 2): 2.0, (601, 1): 3.0}
    planned = limits(rates)
    assert set(planned.shares) == {(500, 2)}
    assert sent(rates, planned) == pytest.approx(20.0)


def test_other_owners_keys_are_not_limited():
    planned = limits({(500, 2): 100.0, (1500, 2): 19.0})
    assert planned.share(1500, 2) == 1.0


def test_urgent_requests_for_a_busy_key_are_sent_first():
    planned = limits({(500, 1): 12.0, (500, 2): 88.0})
    assert planned.share(500, 1) == 1.0
    assert planned.share(500, 2) == pytest.approx(8.0 / 88.0)


def test_urgent_requests_are_limited_if_they_alone_exceed_the_owner():
    planned = limits({(500, 1): 40.0, (500, 2): 10.0})
    assert planned.share(500, 1) == pytest.approx(0.5)
    assert planned.share(500, 2) == 0.0


def test_busy_keys_of_one_owner_share_it_fairly():
    rates = {(500, 2): 100.0, (700, 2): 8.0, (800, 2): 50.0}
    planned = limits(rates)
    assert rates[500, 2] * planned.share(500, 2) == pytest.approx(20.0 / 3)
    assert rates[800, 2] * planned.share(800, 2) == pytest.approx(20.0 / 3)


def test_busy_key_keeps_a_part_of_an_owner_that_is_full_without_it():
    rates = {(500, 2): 100.0, **{(600 + i, 2): 0.5 for i in range(60)}}
    planned = limits(rates)
    expected = 20.0 * MIN_SHARE_FOR_LIMITED_KEYS / 100.0
    assert planned.share(500, 2) == pytest.approx(expected)


def test_few_requests_by_chance_limit_no_key():
    slow = dict.fromkeys(OWNERS, 2.0)
    assert limits({(500, 2): 4.0}, slow) == KeyLimits()


def test_keys_of_unknown_owners_are_not_limited():
    assert limits({(500, 2): 100.0}, {}) == KeyLimits()


def test_hot_key_moves_to_a_much_faster_upstream():
    capacities = {OWNERS[0]: 10.0, OWNERS[1]: 15.0, OWNERS[2]: 25.0}
    (move,) = plan_hot_key_moves(SPANS, {500: 100.0}, capacities, WINDOW_S)
    assert (move.first, move.last, move.new_owner) == (500, 500, OWNERS[2])


def test_hot_key_stays_if_no_upstream_is_much_faster():
    capacities = {OWNERS[0]: 10.0, OWNERS[1]: 15.0, OWNERS[2]: 18.0}
    assert plan_hot_key_moves(SPANS, {500: 100.0}, capacities, WINDOW_S) == []


def test_two_hot_keys_do_not_move_to_the_same_upstream():
    capacities = {OWNERS[0]: 10.0, OWNERS[1]: 10.0, OWNERS[2]: 25.0}
    moves = plan_hot_key_moves(SPANS, {500: 100.0, 1500: 80.0}, capacities, WINDOW_S)
    assert [(m.first, m.new_owner) for m in moves] == [(500, OWNERS[2])]


def test_range_that_is_being_moved_is_left_alone():
    capacities = {OWNERS[0]: 10.0, OWNERS[2]: 25.0}
    spans = [OwnedSpan(0, 999, OWNERS[0], False), *SPANS[1:]]
    assert plan_hot_key_moves(spans, {500: 100.0}, capacities, WINDOW_S) == []


def test_excess_of_a_hot_key_does_not_count_as_load():
    _, clipped = clip_hot_rates(SPANS, {500: 100.0, 600: 3.0}, CAPACITIES)
    assert clipped == {500: 20.0, 600: 3.0}


def test_hot_key_with_a_range_of_its_own_stays():
    spans = [OwnedSpan(0, 0, OWNERS[0], True), OwnedSpan(1, 999, OWNERS[0], True), *SPANS[1:]]
    kept, _ = clip_hot_rates(spans, {0: 100.0, 600: 3.0}, CAPACITIES)
    assert [span.is_movable for span in kept] == [False, True, True, True]
