"""For each safety rule, a sequence of failures that gives a slot two owners without the rule."""

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

SETTLE_TIME = timedelta(seconds=4)


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
    raise AssertionError("condition was not met within 8 s")


def _run_until_coordinator(world, names):
    _run_until(world, lambda: world.coordinator() in names)


def _move_lost_slot(world):
    """Plan a move of slot 0 from a frozen server that counts as lost."""
    owner = world.row.servers[world.row.owners[0]]
    target = next(name for name in SERVERS if name != owner)
    world.servers[owner].frozen = True
    world.move(0, target, lost=SERVERS)


def _send_handover(world, name):
    known = world.nodes[name].state.known_row
    message = Handover("loft", 0, known.coordinator, known.version)
    world.deliver(name, MessageArrived(world.coordinator(), message))


def move_while_an_entry_is_cut_off(world):
    coordinator, _, _, entry = _roles(world)
    world.cut(coordinator, entry)
    world.move(0, "s2")
    world.run(SETTLE_TIME)


def table_reply_arrives_after_takeover(world):
    """A reply of the table reaches the former coordinator long after its successor took over."""
    coordinator, *_ = _roles(world)
    world.nodes[coordinator].hold_reads = 1
    world.run(milliseconds(500))
    world.split({coordinator}, table=False)
    _run_until_coordinator(world, set(NAMES) - {coordinator})
    world.run(milliseconds(700))
    world.deliver_held_reply()
    _move_lost_slot(world)
    world.run(SETTLE_TIME)


def former_coordinator_asks_standby_that_has_moved(world):
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
    """The standby takes over just after its consent, and its notice to the former one is lost."""
    coordinator, standby, *_ = _roles(world)
    node = world.nodes[standby]
    world.nodes[coordinator].table_cut = True
    _run_until(world, lambda: node.state.candidate.table_reached_since is not None)
    world.run(milliseconds(1000))
    node.hold_reads = 1
    _run_until(world, lambda: world.held_replies)
    world.split({coordinator}, table=False)
    world.deliver_held_reply()
    assert world.coordinator() == standby
    _move_lost_slot(world)
    world.run(SETTLE_TIME)


def non_standby_moves_while_the_standby_consents(world):
    coordinator, standby, third, fourth = _roles(world)
    world.split({coordinator, standby}, table=False)
    _run_until_coordinator(world, {third, fourth})
    _move_lost_slot(world)
    world.run(SETTLE_TIME)


def successor_of_non_standby_moves(world):
    """The second successor takes over while the first coordinator still has authority by consent.

    The first successor was not a standby of the first coordinator, so it passes its wait on.
    """
    coordinator, standby, third, fourth = _roles(world)
    world.split({coordinator, standby}, table=False)
    _run_until_coordinator(world, {third, fourth})
    world.run(milliseconds(300))
    non_standby = world.coordinator()
    world.nodes[non_standby].paused = True
    _run_until_coordinator(world, {third, fourth} - {non_standby})
    _move_lost_slot(world)
    world.run(SETTLE_TIME)


def standby_change_is_applied_but_its_reply_is_lost(world):
    """A change of the standby takes effect, but the reply is lost and the table is unreachable."""
    coordinator, standby, third, fourth = _roles(world)
    world.split({standby}, table=False)
    world.nodes[coordinator].lose_replies = 1
    version = world.row.version
    _run_until(world, lambda: world.row.version > version)
    world.split({coordinator, standby}, table=False)
    _run_until_coordinator(world, {third, fourth})
    _move_lost_slot(world)
    world.run(SETTLE_TIME)


def coordinator_returns_before_its_own_grants_end(world):
    """A coordinator with authority by consent is superseded and takes over again at once."""
    coordinator, standby, *_ = _roles(world)
    world.table_down = True
    world.run(milliseconds(2500))
    term = world.nodes[coordinator].state.term
    _run_until(world, lambda: term.grants_sent_at == world.now)
    world.servers["s0"].frozen = True
    world.table_down = False
    for successor in (standby, coordinator):
        _send_handover(world, successor)
        assert world.coordinator() == successor
    world.move(0, "s2", lost=SERVERS)
    world.run(SETTLE_TIME)


CASES = [
    (move_while_an_entry_is_cut_off, ["wait_before_granting"]),
    (table_reply_arrives_after_takeover, ["count_from_send_time"]),
    (former_coordinator_asks_standby_that_has_moved, ["refuse_older_versions"]),
    (standby_takes_over_after_its_promise, ["remember_own_promises"]),
    (non_standby_moves_while_the_standby_consents, ["wait_as_non_standby"]),
    (successor_of_non_standby_moves, ["inherit_takeover_wait"]),
    (standby_change_is_applied_but_its_reply_is_lost, ["ask_both_standby_lists"]),
    (
        coordinator_returns_before_its_own_grants_end,
        ["remember_own_grants", "inherit_takeover_wait"],
    ),
]


@pytest.mark.parametrize(("scenario", "disabled_rules"), CASES)
def test_scenario_never_gives_a_slot_two_owners_with_all_rules(scenario, disabled_rules):
    scenario(settled_world(rules=Rules()))


@pytest.mark.parametrize(("scenario", "disabled_rules"), CASES)
def test_scenario_gives_a_slot_two_owners_without_its_rules(scenario, disabled_rules):
    world = settled_world(rules=with_rules_off(*disabled_rules))
    with pytest.raises(OwnersOverlap):
        scenario(world)


@pytest.mark.parametrize("standby_restarted", [False, True])
def test_non_standby_waits_less_than_max_hold_after_promise_reply(standby_restarted):
    """The reply of a former standby, or of its new process, ends the wait.

    The coordinator then clears the wait in the row.
    """
    world = settled_world(rules=Rules())
    coordinator, standby, third, fourth = _roles(world)
    world.nodes[standby].table_cut = True
    if standby_restarted:
        world.start_node(standby)
        world.nodes[standby].table_cut = True
    world.nodes[coordinator].paused = True
    _run_until_coordinator(world, {third, fourth})
    assert world.row.takeover_wait >= TIMING.max_hold_duration
    _move_lost_slot(world)
    moved_to = world.row.servers[world.row.owners[0]]
    world.run(timedelta(seconds=3))
    assert world.routed_by(third, 0) == world.routed_by(fourth, 0) == moved_to
    world.run(SETTLE_TIME)
    assert not world.row.takeover_wait


def test_entry_cut_off_from_coordinator_gets_leases_through_relays():
    world = settled_world(rules=Rules())
    coordinator, _, _, entry = _roles(world)
    version = world.row.version
    world.cut(coordinator, entry)
    for _ in range(60):
        world.run(STEP)
        assert world.routed_by(entry, 0) == "s0"
    assert world.row.version == version
