"""Tests of several instances' keepers over one table, with lost servers and instances."""

from datetime import timedelta

import pytest
from twisted.internet.defer import ensureDeferred

from ...clocks import milliseconds
from ...membership import Instance, TargetState
from ...planning import Move, plan_moves
from ...results import ResultCode
from ...routing import KeyLocation, KeySource, Objective, Ownership, Service, Snapshot, Target
from ..grants import GrantAnswer
from ..keeper import OwnershipKeeper
from ..owner import Owner

NAMES = ("lade-1", "byasen-1", "heimdal-1")
MAX_RECOVERY_TIME = timedelta(seconds=3)
STEP = milliseconds(50)
KEYS = [f"loft-{n}" for n in range(24)]
SERVICE = "loft-availability"


class FakeLinks:
    """In-memory links that drop messages to and from lost instances."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name
        self.handlers = {}

    def send(self, instance, message):
        receiver = self._fleet.links.get(instance)
        if receiver is None or self._name not in self._fleet.links:
            return False
        call = receiver.handlers[type(message)]
        # Each hop takes 1 ms of the test clock.
        self._fleet.clock.call_later(milliseconds(1), call, self._name, message)
        return True

    def add_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def connected_peers(self):
        return tuple(name for name in self._fleet.links if name != self._name)


class FakeServers:
    """Servers that accept grants at once, and the view of their states."""

    def __init__(self):
        self.states = {}
        self.refuses = set()

    async def send(self, service, target, grants):
        return GrantAnswer.GONE if target.name in self.refuses else GrantAnswer.ACCEPTED

    def state(self, service, target):
        return self.states.get(target, TargetState.READY)

    def takes_new_work(self, service, target):
        return self.state(service, target) is TargetState.READY

    def lose(self, name):
        self.refuses.add(name)
        self.states[name] = TargetState.GONE


class Fleet:
    """Three instances of one service."""

    def __init__(self, clock, table):
        self.clock = clock
        self.table = table
        self.servers = FakeServers()
        self.links = {}
        self.keepers = {}
        self.plan = plan_moves
        for name in NAMES:
            self.links[name] = FakeLinks(self, name)
            self.keepers[name] = OwnershipKeeper(
                clock.reactor,
                clock,
                name,
                name,
                table,
                self.links[name],
                self,
                self.servers,
                lambda view: self.plan(view),
                self.servers,
            )
            self.keepers[name].apply_snapshot(Snapshot(1, "d", (_service(),)))
            self.keepers[name].start()

    def live(self):
        return tuple(Instance(n, "127.0.0.1", 1, 2, n) for n in sorted(self.links))

    def run(self, duration):
        for _ in range(duration // STEP):
            self.clock.advance(STEP)

    def lose(self, name):
        """End an instance's process."""
        del self.links[name]
        for groups in self.keepers.pop(name)._services.values():
            groups.cancel()

    def coordinator(self):
        names = {k.status()[SERVICE]["coordinator"] for k in self.keepers.values()}
        assert len(names) == 1
        return names.pop()

    def owners(self, key):
        """Return the answer of each instance for a key."""
        return [keeper.owner_of(SERVICE, key) for keeper in self.keepers.values()]

    def unserved_time(self, keys, limit):
        """Advance by `limit`; return how long some instance didn't serve one of `keys`."""
        unserved = timedelta()
        for _ in range(limit // STEP):
            self.clock.advance(STEP)
            answers = [answer for key in keys for answer in self.owners(key)]
            unserved += STEP * (not all(self._serves(answer) for answer in answers))
        return unserved

    def _serves(self, answer):
        return isinstance(answer, Owner) and answer.server not in self.servers.refuses


def _service():
    targets = tuple(Target(f"loft-{n}", "127.0.0.1", n, "lade") for n in range(1, 5))
    ownership = Ownership(64, 1, False, Objective.UNAVAILABLE_TIME)
    return Service(SERVICE, (), targets, 2, 100, KeySource(KeyLocation.PATH, "loft"), ownership)


@pytest.fixture
def fleet(clock, table):
    """Return three instances that all hold leases."""
    fleet = Fleet(clock, table)
    fleet.run(timedelta(seconds=4))
    return fleet


def test_all_instances_name_the_same_owner(fleet):
    for key in KEYS:
        answers = fleet.owners(key)
        assert len({(answer.server, answer.epoch) for answer in answers}) == 1
        assert all(keeper.is_current(answers[0]) for keeper in fleet.keepers.values())


def test_keys_of_a_lost_server_are_served_again_in_time(fleet):
    lost = fleet.owners(KEYS[0])[0].server
    fleet.servers.lose(lost)
    fleet.run(MAX_RECOVERY_TIME)
    for key in KEYS:
        assert all(answer.server != lost for answer in fleet.owners(key))
    described = fleet.keepers[NAMES[0]].describe(SERVICE, KEYS[0])
    assert described["epoch"] > 1 and lost in described["last_move"]


def test_loss_of_coordinator_leaves_no_unserved_time(fleet):
    fleet.lose(fleet.coordinator())
    assert fleet.unserved_time(KEYS, MAX_RECOVERY_TIME) == timedelta()


def test_keys_are_served_again_in_time_after_loss_of_coordinator_and_server(fleet):
    lost = fleet.owners(KEYS[0])[0].server
    fleet.lose(fleet.coordinator())
    fleet.servers.lose(lost)
    fleet.run(MAX_RECOVERY_TIME)
    assert all(answer.server != lost for answer in fleet.owners(KEYS[0]))


@pytest.mark.parametrize("fault", ["lost_replies", "lost_writes"])
def test_moves_complete_after_lost_replies_or_writes(fleet, table, fault):
    lost = fleet.owners(KEYS[0])[0].server
    fleet.servers.lose(lost)
    setattr(table, fault, 2)
    fleet.run(MAX_RECOVERY_TIME)
    assert all(answer.server != lost for answer in fleet.owners(KEYS[0]))


def test_table_outage_refuses_no_request(fleet, table):
    table.down = True
    assert fleet.unserved_time(KEYS, timedelta(seconds=60)) == timedelta()


def test_server_lost_in_an_outage_is_replaced_after_it(fleet, table):
    lost = fleet.owners(KEYS[0])[0].server
    table.down = True
    fleet.run(timedelta(seconds=10))
    fleet.servers.lose(lost)
    fleet.run(timedelta(seconds=10))
    assert all(answer.server == lost for answer in fleet.owners(KEYS[0]))
    table.down = False
    fleet.run(MAX_RECOVERY_TIME)
    assert all(answer.server != lost for answer in fleet.owners(KEYS[0]))


def test_leases_expire_in_table_outage_without_standby(fleet, table):
    coordinator = fleet.keepers[fleet.coordinator()]
    standby = coordinator.status()[SERVICE]["standbys"][0]
    table.down = True
    fleet.run(timedelta(seconds=5))
    fleet.lose(standby)
    fleet.run(timedelta(seconds=5))
    for answer in fleet.owners(KEYS[0]):
        assert answer.code is ResultCode.LEASE_EXPIRED


def test_graceful_stop_hands_over_without_unserved_time(fleet):
    coordinator = fleet.coordinator()
    stopped = ensureDeferred(fleet.keepers[coordinator].stop())
    fleet.run(milliseconds(500))
    assert stopped.called
    fleet.lose(coordinator)
    assert fleet.coordinator() != coordinator
    assert fleet.unserved_time(KEYS, timedelta(seconds=2)) == timedelta()


def test_move_waits_for_request_in_flight(fleet):
    keeper = fleet.keepers[NAMES[0]]
    owner = keeper.owner_of(SERVICE, KEYS[0])
    keeper.request_started(owner)
    fleet.servers.states[owner.server] = TargetState.LEAVING
    fleet.run(milliseconds(300))
    refusals = fleet.owners(KEYS[0])
    assert {answer.code for answer in refusals} == {ResultCode.KEY_MOVING}
    assert not keeper.is_current(owner)
    keeper.request_ended(owner)
    fleet.run(milliseconds(500))
    assert all(answer.epoch > owner.epoch for answer in fleet.owners(KEYS[0]))


def test_single_key_moves_and_returns(fleet):
    """A key moves by itself, returns to its slot's owner and then moves along with its slot."""
    before = fleet.owners(KEYS[0])[0]
    index = [target.name for target in _service().targets].index(before.server)
    other = (index + 1) % 4
    for source, destination in ((index, other), (other, -1)):
        move = Move(before.slot, before.key_hash, source, destination, "hot")
        fleet.plan = _plan_once((move,))
        fleet.run(timedelta(seconds=2))
        owners = fleet.owners(KEYS[0])
        expected = f"loft-{(other if destination >= 0 else index) + 1}"
        assert {owner.server for owner in owners} == {expected}
        assert owners[0].epoch > before.epoch
    fleet.plan = _plan_once((Move(before.slot, None, index, other, "slot"),))
    fleet.run(timedelta(seconds=2))
    assert {owner.server for owner in fleet.owners(KEYS[0])} == {f"loft-{other + 1}"}


def _plan_once(moves):
    waiting = [moves]
    return lambda view: waiting.pop() if waiting else ()


def test_removed_target_loses_its_keys(fleet):
    """A new configuration without a target moves the target's slots to others."""
    lost = fleet.owners(KEYS[0])[0].server
    service = _service()
    left = tuple(target for target in service.targets if target.name != lost)
    changed = Service(SERVICE, (), left, 2, 100, service.key, service.ownership)
    for keeper in fleet.keepers.values():
        keeper.apply_snapshot(Snapshot(2, "e", (changed,)))
    fleet.run(MAX_RECOVERY_TIME)
    for answer in fleet.owners(KEYS[0]):
        assert isinstance(answer, Owner) and answer.server != lost
