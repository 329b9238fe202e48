"""Tests of the moves that balance the load."""

from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...routing import Objective
from ..interfaces import PlanningView, ServerCondition
from ..planner import plan_moves
from ..policy import policy_of_objective
from ..rebalance import plan_rebalance
from .naive_planner import as_tuples, naive_rebalance, server_loads

SLOT_COUNT = 16


@st.composite
def views(draw):
    """Return a group of 16 slots with loads in multiples of 1/8, so that sums are exact."""
    count = draw(st.integers(2, 4))
    warmup_remaining = st.sampled_from([timedelta(), timedelta(seconds=2)])
    servers = [ServerCondition(f"s{i}", True, True, draw(warmup_remaining)) for i in range(count)]
    owners = draw(st.lists(st.integers(0, count - 1), min_size=SLOT_COUNT, max_size=SLOT_COUNT))
    slot_load = [
        n / 8 for n in draw(st.lists(st.integers(1, 40), min_size=SLOT_COUNT, max_size=SLOT_COUNT))
    ]
    key_load, key_owners = {}, {}
    for i in draw(st.sets(st.integers(0, SLOT_COUNT - 1), max_size=4)):
        key_hash = (i << 60) + 7
        key_load[key_hash] = draw(st.integers(1, 30)) / 8
        if draw(st.booleans()):
            key_owners[key_hash] = draw(st.integers(0, count - 1))
        else:
            slot_load[i] += key_load[key_hash]
    objective = draw(st.sampled_from(list(Objective)))
    return PlanningView(
        objective, servers, owners, slot_load, key_owners, key_load, timedelta(seconds=60)
    )


@settings(max_examples=150)
@given(views())
def test_plan_equals_the_plan_of_the_reference(view):
    policy = policy_of_objective(view.objective)
    assert as_tuples(plan_rebalance(view, policy)) == naive_rebalance(view, policy)


@settings(max_examples=150)
@given(views())
def test_plan_does_not_raise_the_largest_load_and_moves_nothing_twice(view):
    moves = plan_moves(view)
    owners, keys = list(view.owners), dict(view.key_owners)
    before = server_loads(view, owners, keys)
    for move in moves:
        if move.key_hash is None:
            owners[move.slot] = move.destination
        elif move.destination == -1:
            keys[move.key_hash] = owners[move.slot]
        else:
            keys[move.key_hash] = move.destination
    mean = sum(before) / len(before)
    allowed = max(max(before), mean * policy_of_objective(view.objective).start_ratio)
    assert max(server_loads(view, owners, keys)) <= allowed
    # The ownership rows ignore a move of a key to its current owner.
    assert all(move.source != move.destination for move in moves)
    items = [(move.slot, move.key_hash) for move in moves]
    assert len(items) == len(set(items))


def make_view(slot_load, owners, key_load=None, objective=Objective.IMBALANCE, count=4):
    servers = [ServerCondition(f"s{i}", True, True) for i in range(count)]
    return PlanningView(
        objective, servers, owners, slot_load, {}, key_load or {}, timedelta(seconds=60)
    )


@pytest.mark.parametrize("objective", Objective)
def test_noise_moves_nothing(objective):
    noise = [1.0 + 0.1 * ((7 * i) % 5 - 2) / 2 for i in range(SLOT_COUNT)]
    assert (
        plan_moves(make_view(noise, [i % 4 for i in range(SLOT_COUNT)], objective=objective)) == ()
    )


def test_hot_key_stays_and_other_slots_of_its_server_move():
    key_hash = 7
    slot_load = [4.0] + [0.25] * (SLOT_COUNT - 1)
    view = make_view(slot_load, [i % 4 for i in range(SLOT_COUNT)], {key_hash: 3.8})
    moves = plan_moves(view)
    assert moves
    assert all(move.destination != 0 and move.key_hash is None for move in moves)
    assert all(move.slot != 0 for move in moves)
    assert {move.slot for move in moves if move.key_hash is None} >= {4, 8, 12}


def test_hot_key_moves_alone_from_a_busy_server():
    slot_load = [6.0] + [0.5] * (SLOT_COUNT - 1)
    moves = plan_moves(make_view(slot_load, [i % 4 for i in range(SLOT_COUNT)], {7: 3.0}))
    assert moves[0].key_hash == 7
    assert moves[0].source == 0


def test_rebalancing_waits_for_the_settle_time():
    view = make_view([5.0] + [1.0] * (SLOT_COUNT - 1), [0] * SLOT_COUNT)
    assert plan_moves(view)
    assert plan_moves(replace(view, time_since_last_move=timedelta(seconds=1))) == ()


def test_key_that_cooled_down_returns_to_the_owner_of_its_slot():
    view = replace(
        make_view([1.0] * SLOT_COUNT, [i % 4 for i in range(SLOT_COUNT)]), key_owners={7: 2}
    )
    assert [(move.key_hash, move.destination) for move in plan_moves(view)] == [(7, -1)]
