"""Stateful tests of the ownership decisions under arbitrary failures."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from ...clocks import milliseconds
from .protocol_world import (
    NAMES,
    SERVERS,
    SLOTS,
    OwnersOverlap,
    settled_world,
    with_rules_off,
)

names = st.sampled_from(NAMES)
servers = st.sampled_from(SERVERS)
slots = st.sampled_from(SLOTS)
durations = st.sampled_from([milliseconds(n) for n in (100, 300, 800, 1600, 3000)])


class ProtocolMachine(RuleBasedStateMachine):
    """Failures in any order; every step checks that no slot has two owners.

    `protocol_rules` are the safety rules in force; None enables all.
    """

    protocol_rules = None

    @initialize(standby_count=st.integers(1, 2), checks_fencing=st.booleans())
    def begin(self, standby_count, checks_fencing):
        self.world = settled_world(
            rules=self.protocol_rules, standby_count=standby_count, checks_fencing=checks_fencing
        )

    @rule(duration=durations)
    def let_time_pass(self, duration):
        self.world.run(duration)

    @rule(slot=slots, server=servers)
    def move(self, slot, server):
        self.world.move(slot, server)

    @rule(slot=slots, server=servers)
    def move_from_lost_server(self, slot, server):
        self.world.move(slot, server, lost=SERVERS)

    @rule(name=names)
    def pause_or_resume(self, name):
        if self.world.nodes[name].paused:
            self.world.resume(name)
        else:
            self.world.nodes[name].paused = True

    @rule(u=names, v=names, late=st.booleans())
    def cut_or_heal(self, u, v, late):
        link = frozenset((u, v))
        if u == v:
            return
        if link in self.world.cut_links or link in self.world.late_links:
            self.world.heal(u, v)
        else:
            self.world.cut(u, v, late)

    @rule(side=st.sets(names, min_size=1, max_size=3), table=st.booleans())
    def split(self, side, table):
        self.world.split(side, table)

    @rule()
    def rejoin(self):
        self.world.rejoin()

    @rule(name=names)
    def cut_table_or_heal(self, name):
        node = self.world.nodes[name]
        node.table_cut = not node.table_cut

    @rule()
    def table_outage_or_end(self):
        self.world.table_down = not self.world.table_down

    @rule(name=names, kind=st.sampled_from(["lose_replies", "hold_writes", "hold_reads"]))
    def disturb_next_call(self, name, kind):
        setattr(self.world.nodes[name], kind, 1)

    @rule()
    def apply_held_write(self):
        self.world.apply_held_write()

    @rule()
    def deliver_held_reply(self):
        self.world.deliver_held_reply()

    @rule(name=servers)
    def freeze_or_thaw_server(self, name):
        server = self.world.servers[name]
        server.frozen = not server.frozen

    @rule(name=names)
    def stop_instance(self, name):
        self.world.stop_node(name)

    @rule(name=names)
    def replace_instance(self, name):
        self.world.start_node(name)


def test_slot_never_has_two_owners_under_any_failures():
    """No sequence of failures gives a slot two owners."""
    run_state_machine_as_test(
        ProtocolMachine, settings=settings(max_examples=200, stateful_step_count=40)
    )


def test_state_machine_finds_overlap_without_wait_before_granting():
    """Missing other rules need longer sequences of failures, which test_rules.py has for each."""

    class FaultyMachine(ProtocolMachine):
        protocol_rules = with_rules_off("wait_before_granting")

    with pytest.raises(OwnersOverlap):
        run_state_machine_as_test(
            FaultyMachine,
            settings=settings(
                max_examples=400,
                stateful_step_count=40,
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
            ),
        )
