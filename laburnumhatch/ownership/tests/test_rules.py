"""For each rule of the protocol, a sequence of failures that goes wrong where it is left out."""

from datetime import timedelta

import pytest

from ...clocks import milliseconds
from ..effects import MessageArrived
from ..messages import Handover
from ..rules import Rules
from .protocol_world import (
    NAMES,
    SERVERS,
    STEP,
    TIMING,
    OwnersOverlap,
    settled_world,
    with_rules_off,
)

LONG = timedelta(seconds=4)


def _roles(world):
    """Return the coordinator, its standby and the two other instances."""
    coordinator = world.coordinator()
    standby = world.row.standbys[0].partition("/")[0]
    return coordinator, standby, *sorted(set(NAMES) - {coordinator, standby})


def _run_until(world, condition):
    for _ in range(80):
        if condition():
            return
        world.run(STEP)
    raise AssertionError("it did not come about within 8 s")


def _run_until_coordinator(world, names):
    _run_until(world, lambda: world.coordinator() in names)


def _move_lost_slot(world):
    """Move slot 0 as if its server were lost, and let the move take effect."""
    owner = world.row.servers[world.row.owners[0]]
    target = next(name for name in SERVERS if name != owner)
    world.servers[owner].frozen = True
    world.move(0, target, lost=SERVERS)


def _invite(world, name):
    known = world.nodes[name].state.known
    message = Handover("loft", 0, known.coordinator, known.version)
    world.deliver(name, MessageArrived(world.coordinator(), message))


def move_while_an_entry_is_cut_off(world):
    coordinator, _, _, entry = _roles(world)
    world.cut(coordinator, entry)
    world.move(0, "s2")
    world.run(LONG)


def renewal_arrives_late(world):
    """The former coordinator gets a reply when its successor has long taken over."""
    coordinator, *_ = _roles(world)
    world.nodes[coordinator].hold_reads = 1
    world.run(milliseconds(500))
    world.split({coordinator}, table=False)
    _run_until_coordinator(world, set(NAMES) - {coordinator})
    world.run(milliseconds(700))
    world.deliver_held_reply()
    _move_lost_slot(world)
    world.run(LONG)


def standby_that_moved_is_asked_by_the_former_coordinator(world):
    coordinator, standby, third, fourth = _roles(world)
    world.split({coordinator}, table=False)
    _run_until_coordinator(world, {standby})
    world.run(milliseconds(1600))
    world.move(0, "s2")
    world.run(milliseconds(400))
    world.nodes[standby].paused = True
    _run_until_coordinator(world, {third, fourth})
    world.resume(standby)
    world.heal(coordinator, standby)
    world.run(timedelta(seconds=2))


def standby_takes_over_after_its_promise(world):
    """The standby becomes coordinator just after its consent, and its notice is lost."""
    coordinator, standby, *_ = _roles(world)
    node = world.nodes[standby]
    world.nodes[coordinator].table_cut = True
    _run_until(world, lambda: node.state.candidate.reached is not None)
    world.run(milliseconds(1000))
    node.hold_reads = 1
    _run_until(world, lambda: world.held_replies)
    world.split({coordinator}, table=False)
    world.deliver_held_reply()
    assert world.coordinator() == standby
    _move_lost_slot(world)
    world.run(LONG)


def strangers_move_while_the_standby_consents(world):
    coordinator, standby, third, fourth = _roles(world)
    world.split({coordinator, standby}, table=False)
    _run_until_coordinator(world, {third, fourth})
    _move_lost_slot(world)
    world.run(LONG)


def successor_of_a_stranger_moves(world):
    """A stranger's standby takes over from it while the first coordinator is still held up."""
    coordinator, standby, third, fourth = _roles(world)
    world.split({coordinator, standby}, table=False)
    _run_until_coordinator(world, {third, fourth})
    world.run(milliseconds(300))
    stranger = world.coordinator()
    world.nodes[stranger].paused = True
    _run_until_coordinator(world, {third, fourth} - {stranger})
    _move_lost_slot(world)
    world.run(LONG)


def standby_list_changes_unnoticed(world):
    """The change of the standby took effect, but its reply was lost and the table is cut off."""
    coordinator, standby, third, fourth = _roles(world)
    world.split({standby}, table=False)
    world.nodes[coordinator].lose_replies = 1
    version = world.row.version
    _run_until(world, lambda: world.row.version > version)
    world.split({coordinator, standby}, table=False)
    _run_until_coordinator(world, {third, fourth})
    _move_lost_slot(world)
    world.run(LONG)


def coordinator_returns_within_its_own_grants(world):
    """A coordinator held by consent is superseded, and takes over again at once."""
    coordinator, standby, *_ = _roles(world)
    world.table_down = True
    world.run(milliseconds(2500))
    term = world.nodes[coordinator].state.term
    _run_until(world, lambda: term.granted == world.now)
    world.servers["s0"].frozen = True
    world.table_down = False
    for successor in (standby, coordinator):
        _invite(world, successor)
        assert world.coordinator() == successor
    world.move(0, "s2", lost=SERVERS)
    world.run(LONG)


CASES = [
    (move_while_an_entry_is_cut_off, ["wait_before_granting"]),
    (renewal_arrives_late, ["count_from_sending"]),
    (standby_that_moved_is_asked_by_the_former_coordinator, ["refuse_older_versions"]),
    (standby_takes_over_after_its_promise, ["remember_own_promises"]),
    (strangers_move_while_the_standby_consents, ["wait_as_stranger"]),
    (successor_of_a_stranger_moves, ["inherit_debt"]),
    (standby_list_changes_unnoticed, ["ask_both_lists"]),
    (coordinator_returns_within_its_own_grants, ["remember_own_grants", "inherit_debt"]),
]


@pytest.mark.parametrize(("scenario", "left_out"), CASES)
def test_scenario_is_safe_with_all_rules(scenario, left_out):
    scenario(settled_world(rules=Rules()))


@pytest.mark.parametrize(("scenario", "left_out"), CASES)
def test_scenario_shows_the_rule_that_is_left_out(scenario, left_out):
    world = settled_world(rules=with_rules_off(*left_out))
    with pytest.raises(OwnersOverlap):
        scenario(world)


@pytest.mark.parametrize("standby_is_new", [False, True])
def test_stranger_need_not_wait_for_the_cap(standby_is_new):
    """A former standby, or its new process, rules out a longer hold; the debt is then settled."""
    world = settled_world(rules=Rules())
    coordinator, standby, third, fourth = _roles(world)
    world.nodes[standby].table_cut = True
    if standby_is_new:
        world.start_node(standby)
        world.nodes[standby].table_cut = True
    world.nodes[coordinator].paused = True
    _run_until_coordinator(world, {third, fourth})
    assert world.row.debt >= TIMING.hold_cap
    _move_lost_slot(world)
    moved_to = world.row.servers[world.row.owners[0]]
    world.run(timedelta(seconds=3))
    assert world.routed_by(third, 0) == world.routed_by(fourth, 0) == moved_to
    world.run(LONG)
    assert not world.row.debt


def test_entry_cut_off_from_the_coordinator_gets_leases_through_others():
    world = settled_world(rules=Rules())
    coordinator, _, _, entry = _roles(world)
    version = world.row.version
    world.cut(coordinator, entry)
    for _ in range(60):
        world.run(STEP)
        assert world.routed_by(entry, 0) == "s0"
    assert world.row.version == version
