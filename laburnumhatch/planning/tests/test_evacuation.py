"""Tests of the moves of slots and keys whose owner cannot serve them."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from ...routing import Objective
from ..evacuation import plan_evacuation
from ..interfaces import PlanningView, ServerCondition


@st.composite
def views(draw):
    servers = [
        ServerCondition(f"s{i}", accepts_keys=draw(st.booleans()), is_alive=draw(st.booleans()))
        for i in range(draw(st.integers(1, 5)))
    ]
    owner = st.integers(-1, len(servers) - 1)
    owners = draw(st.lists(owner, min_size=1, max_size=12))
    load = st.floats(0.0, 10.0)
    return PlanningView(
        Objective.UNAVAILABLE_TIME,
        servers,
        owners,
        [draw(load) for _ in owners],
        draw(st.dictionaries(st.integers(0, 2**64 - 1), owner, max_size=3)),
        {},
        timedelta(seconds=60),
    )


@given(views())
def test_exactly_the_slots_without_a_usable_owner_move(view):
    moves = plan_evacuation(view)
    receivers = {i for i, server in enumerate(view.servers) if server.accepts_keys}
    slots_to_move = {i for i, owner in enumerate(view.owners) if owner not in receivers}
    moved = [move.slot for move in moves if move.key_hash is None]
    assert len(moved) == len(set(moved))
    assert set(moved) == (slots_to_move if receivers else set())
    assert all(move.destination in receivers for move in moves if move.key_hash is None)


def test_slots_of_a_new_group_are_distributed_evenly():
    servers = [ServerCondition(f"s{i}", True, True) for i in range(4)]
    view = PlanningView(
        Objective.IMBALANCE, servers, [-1] * 16, [0.0] * 16, {}, {}, timedelta(seconds=60)
    )
    destinations = [move.destination for move in plan_evacuation(view)]
    assert all(destinations.count(i) == 4 for i in range(4))
