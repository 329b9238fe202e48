"""Tests of the reservation of upstreams for urgent requests, and of the load that it answers."""

import random

import pytest

from ...fleet import Upstream
from ..choice import Demand, choose_upstream
from ..loads import LoadTracker
from ..reservation import MAX_RESERVED_SHARE, Reservation, plan_reservation, reserved_upstreams
from .load_model import Counts, Kind, LoadModel
from .test_choice import NOW, make_upstreams

SLOTS = 39
# Long requests and short urgent ones that share the 13 upstreams of a service.
LONG = Kind("long", 44.6, 0.4, 0.5, objective_s=1.2, deadline_s=3.0, priority=2)
SHORT = Kind("short", 34.7, 0.064, 0.4, objective_s=0.2, deadline_s=0.5, priority=1)


def scaled(kind: Kind, factor: float) -> Kind:
    return Kind(
        kind.name,
        kind.rate * factor,
        kind.work_s,
        kind.spread,
        kind.objective_s,
        kind.deadline_s,
        kind.priority,
    )


def play(factor, *, reserves=True):
    """Return the counts by kind, summed over several seeds."""
    kinds = [scaled(LONG, factor), scaled(SHORT, factor)]
    total = {kind.name: Counts() for kind in kinds}
    for seed in range(4):
        counts = LoadModel(seed, 11, 13, 3, kinds, reserves=reserves).run(8.0, 10.0)
        for name, found in counts.items():
            total[name].asked += found.asked
            total[name].in_time += found.in_time
    return total


def names_of(upstreams: list[Upstream]) -> set[str]:
    return {upstream.name for upstream in upstreams}


def test_nothing_is_reserved_for_a_single_priority():
    assert plan_reservation({1: 20.0}, SLOTS) is None


def test_nothing_is_reserved_for_a_negligible_demand():
    assert plan_reservation({0: 0.01, 2: 20.0}, SLOTS) is None


def test_reservation_is_for_the_most_urgent_demand():
    reservation = plan_reservation({2: 10.0, 1: 4.0, 3: 10.0}, SLOTS)
    assert reservation == Reservation(1, 7)


def test_reservation_leaves_slots_for_less_urgent_requests():
    reservation = plan_reservation({1: 500.0, 2: 10.0}, SLOTS)
    assert reservation is not None
    assert reservation.slots <= SLOTS * MAX_RESERVED_SHARE


def test_reserved_upstreams_do_not_depend_on_the_order():
    upstreams = make_upstreams(13, slots=3)
    names = reserved_upstreams(upstreams, 7)
    assert len(names) == 3
    assert reserved_upstreams(reversed(upstreams), 7) == names


@pytest.mark.parametrize("seed", range(5))
def test_less_urgent_request_does_not_go_to_a_reserved_upstream(seed):
    upstreams = make_upstreams(4)
    reserved = frozenset({"u0", "u1", "u2"})
    tracker = LoadTracker()
    tracker.load_of("u3").own_in_flight = 5
    for is_urgent in (True, False):
        choice = choose_upstream(
            upstreams,
            tracker.load_of,
            "lade",
            Demand(reserved=reserved, is_urgent=is_urgent),
            8,
            NOW,
            random.Random(seed),
            0.1,
        )
        assert choice is not None
        assert (choice.upstream.name in reserved) is is_urgent


def test_less_urgent_request_goes_to_a_reserved_upstream_if_no_other_is_reachable():
    upstreams = make_upstreams(2)
    demand = Demand(reserved=frozenset({"u0", "u1"}), is_urgent=False)
    choice = choose_upstream(
        upstreams, LoadTracker().load_of, "lade", demand, 8, NOW, random.Random(1), 0.1
    )
    assert choice is not None


@pytest.mark.parametrize("factor", [1.0, 1.4, 1.7], ids=["calm", "busy", "full"])
def test_short_urgent_requests_are_answered_in_time_beside_long_ones(factor):
    """Callers of the short kind get 0.85 of their answers in time up to a utilisation of 0.87."""
    counts = play(factor)["short"]
    assert counts.in_time >= 0.85 * counts.asked


def test_overload_is_borne_by_the_less_urgent_requests():
    counts = play(2.3)
    assert counts["short"].in_time >= 0.85 * counts["short"].asked
    # The longer requests still get a part of the slots.
    assert counts["long"].in_time >= 0.25 * counts["long"].asked


def test_without_reservation_short_requests_wait_for_long_ones():
    counts = play(1.7, reserves=False)["short"]
    assert counts.in_time < 0.5 * counts.asked
