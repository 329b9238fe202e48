"""Simulation of several instances of one group, with a table, links and servers that can fail."""

from collections import deque
from dataclasses import dataclass, field, replace
from datetime import timedelta

from ...clocks import milliseconds
from ...planning.interfaces import Move
from ..effects import (
    AwaitDrain,
    Drained,
    LeaseChanged,
    MessageArrived,
    MovesPlanned,
    ReadRow,
    RowRead,
    SendGrants,
    SendMessage,
    ServerAnswered,
    StopRequested,
    Tick,
    WriteAnswered,
    WriteOutcome,
    WriteRow,
)
from ..grants import GrantAnswer
from ..group import handle_event
from ..rules import Rules
from ..state import GroupSetup, GroupState
from ..timing import LeaseTiming

STEP = milliseconds(100)
SLOTS = range(2)
SERVERS = ("s0", "s1", "s2")
NAMES = ("a", "b", "c", "d")
TIMING = LeaseTiming(max_hold_duration=timedelta(seconds=6), max_clock_drift=0.0)


class OwnersOverlap(AssertionError):
    """Two servers may act as the owner of one slot at the same instant."""


@dataclass
class Node:
    """One instance; events that arrive while it is paused are queued in `inbox`."""

    state: GroupState
    paused: bool = False
    table_cut: bool = False
    lose_replies: int = 0
    hold_writes: int = 0
    hold_reads: int = 0
    inbox: deque = field(default_factory=deque)


@dataclass
class Server:
    """An upstream that honours expiry and refuses grants under older epochs than it has seen."""

    alive: bool = True
    frozen: bool = False
    seen_epochs: dict = field(default_factory=dict)
    grants_held: dict = field(default_factory=dict)


class World:
    """Simulated instances; each change of the state also checks for overlapping owners."""

    def __init__(self, rules=None, standby_count=1, checks_fencing=False):
        self.rules = rules or Rules()
        self.standby_count = standby_count
        self.checks_fencing = checks_fencing
        self.now = timedelta(seconds=100)
        self.row = None
        self.table_down = False
        self.held_writes = []
        self.held_replies = []
        self.cut_links = set()
        self.late_links = {}
        self.incarnations = 0
        self.servers = {name: Server() for name in SERVERS}
        self.nodes = {}
        for name in NAMES:
            self.start_node(name)

    def start_node(self, name):
        """Start an instance with a new incarnation and an empty state."""
        self.incarnations += 1
        setup = GroupSetup(
            service="loft",
            group=0,
            slots=SLOTS,
            checks_fencing=self.checks_fencing,
            member=f"{name}/{self.incarnations}",
            data_centre=name,
            standby_count=self.standby_count,
            timing=TIMING,
            rules=self.rules,
        )
        state = GroupState(setup, SERVERS, {n: n for n in NAMES if n != name})
        self.nodes[name] = Node(state)

    def run(self, duration):
        """Advance the time step by step."""
        for _ in range(duration // STEP):
            self.now += STEP
            for name, node in self.nodes.items():
                if not node.paused:
                    self.deliver(name, Tick())
            self.check()

    def deliver(self, name, event):
        """Deliver an event to an instance, or queue it while the instance is paused."""
        node = self.nodes[name]
        if node.paused:
            node.inbox.append(event)
            return
        for effect in handle_event(node.state, event, self.now):
            self._execute(name, effect)

    def resume(self, name):
        """Resume a paused instance and deliver its queued events."""
        node = self.nodes[name]
        node.paused = False
        while node.inbox and not node.paused:
            self.deliver(name, node.inbox.popleft())
        self.check()

    def move(self, slot, server, lost=()):
        """Plan a move at each instance that considers itself the coordinator."""
        for name, node in self.nodes.items():
            row = node.state.known_row
            if node.state.term is not None and row is not None and not node.paused:
                source = SERVERS.index(row.servers[row.owners[slot]])
                if source != SERVERS.index(server):
                    moves = (Move(slot, None, source, SERVERS.index(server), "test"),)
                    self.deliver(name, MovesPlanned(SERVERS, moves, frozenset(lost)))
        self.check()

    def stop_node(self, name):
        """Ask an instance to hand over."""
        self.deliver(name, StopRequested())
        self.check()

    def cut(self, u, v, late=False):
        """Cut the link between two instances, or delay its messages if `late`."""
        link = frozenset((u, v))
        if late:
            self.late_links.setdefault(link, [])
        else:
            self.cut_links.add(link)

    def heal(self, u, v):
        """Restore a link and deliver its delayed messages."""
        link = frozenset((u, v))
        self.cut_links.discard(link)
        for receiver, event in self.late_links.pop(link, []):
            self.deliver(receiver, event)
        self.check()

    def split(self, side, table):
        """Partition the instances into two sides, one of which loses the table.

        Parameters
        ----------
        side : set of str
        table : bool
            Whether `side` keeps the table.
        """
        others = set(NAMES) - set(side)
        self.cut_links = {frozenset((u, v)) for u in side for v in others}
        for name, node in self.nodes.items():
            node.table_cut = (name in side) != table

    def rejoin(self):
        """Restore all links between instances and to the table."""
        for link in [*self.cut_links, *self.late_links]:
            self.heal(*link)
        for node in self.nodes.values():
            node.table_cut = False

    def apply_held_write(self):
        """Let the oldest delayed write reach the table."""
        if self.held_writes:
            row = self.held_writes.pop(0)
            if row.version == self._version() + 1:
                self.row = row
        self.check()

    def deliver_held_reply(self):
        """Deliver the oldest delayed reply."""
        if self.held_replies:
            name, member, event = self.held_replies.pop(0)
            if self.nodes[name].state.setup.member == member:
                self.deliver(name, event)
        self.check()

    def kill_server(self, name):
        """Restart a server's process with an empty state."""
        self.servers[name] = Server()

    def check(self):
        """Raise `OwnersOverlap` if a slot has two owners now."""
        for slot in SLOTS:
            owners = self._granted(slot) | self._routed(slot)
            if len({server for server, _ in owners}) > 1:
                raise OwnersOverlap(f"slot {slot} at {self.now}: {sorted(owners)}")

    def coordinator(self):
        """Return the name of the row's coordinator."""
        return self.row.coordinator.partition("/")[0]

    def routed_by(self, name, slot):
        """Return the server to which an instance may send requests for a slot, or None."""
        lease = self.nodes[name].state.lease
        if lease.row is None or self.now >= lease.expires or slot in lease.closed_slots:
            return None
        return lease.row.servers[lease.row.owners[slot]]

    def _routed(self, slot):
        routed = set()
        for name, node in self.nodes.items():
            server = self.routed_by(name, slot)
            if server is None:
                continue
            epoch = node.state.lease.row.epochs[slot]
            if not self.checks_fencing or self.servers[server].seen_epochs.get(slot, 0) <= epoch:
                routed.add((server, "routed by " + name))
        return routed

    def _granted(self, slot):
        return {
            (name, "granted")
            for name, server in self.servers.items()
            if slot in server.grants_held and server.grants_held[slot][1] > self.now
        }

    def _version(self):
        return 0 if self.row is None else self.row.version

    def _execute(self, name, effect):
        match effect:
            case ReadRow():
                self._read(name)
            case WriteRow():
                self._write(name, effect.row)
            case SendMessage():
                self._send(name, effect)
            case SendGrants():
                self._send_grants(name, effect)
            case AwaitDrain():
                self.deliver(name, Drained(effect.version, effect.coordinator))
            case LeaseChanged():
                pass

    def _read(self, name):
        node = self.nodes[name]
        if self.table_down or node.table_cut:
            self.deliver(name, RowRead(self.now, False))
            return
        event = RowRead(self.now, True, self.row)
        if node.hold_reads > 0:
            node.hold_reads -= 1
            self.held_replies.append((name, node.state.setup.member, event))
            return
        self.deliver(name, event)

    def _write(self, name, row):
        node = self.nodes[name]
        if self.table_down or node.table_cut:
            self._answer(name, row, WriteOutcome.NOT_DONE)
        elif node.hold_writes > 0:
            node.hold_writes -= 1
            self.held_writes.append(row)
            self._answer(name, row, WriteOutcome.UNKNOWN)
        elif row.version != self._version() + 1:
            self._answer(name, row, WriteOutcome.CONFLICT)
        else:
            self.row = row
            lost = node.lose_replies > 0
            node.lose_replies -= lost
            self._answer(name, row, WriteOutcome.UNKNOWN if lost else WriteOutcome.WRITTEN)

    def _answer(self, name, row, outcome):
        current = self.row if outcome is WriteOutcome.CONFLICT else None
        self.deliver(name, WriteAnswered(row.writer, self.now, outcome, current))

    def _send(self, name, effect):
        event = MessageArrived(name, effect.message)
        link = frozenset((name, effect.instance))
        if link in self.cut_links:
            return
        if link in self.late_links:
            self.late_links[link].append((effect.instance, event))
            return
        self.deliver(effect.instance, event)

    def _send_grants(self, name, effect):
        server = self.servers[effect.server]
        answer = GrantAnswer.UNKNOWN if server.frozen else GrantAnswer.ACCEPTED
        if not server.alive:
            answer = GrantAnswer.GONE
        if answer is GrantAnswer.ACCEPTED:
            self._apply(server, effect.grants)
        self.deliver(name, ServerAnswered(effect.server, self.now, effect.grants, answer))

    def _apply(self, server, grants):
        for r in grants.revoked:
            for slot in range(r.first, r.last + 1):
                server.seen_epochs[slot] = max(server.seen_epochs.get(slot, 0), r.epoch)
                server.grants_held.pop(slot, None)
        for r in grants.granted:
            for slot in range(r.first, r.last + 1):
                if server.seen_epochs.get(slot, 0) <= r.epoch:
                    server.seen_epochs[slot] = r.epoch
                    server.grants_held[slot] = (r.epoch, self.now + grants.validity)


def settled_world(**options):
    """Return a world whose first coordinator has chosen its standbys."""
    world = World(**options)
    world.run(timedelta(seconds=6))
    assert len(world.row.standbys) == min(world.standby_count, len(NAMES) - 1)
    return world


def with_rules_off(*names):
    """Return the rules with those in `names` disabled."""
    return replace(Rules(), **dict.fromkeys(names, False))
