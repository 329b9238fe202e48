"""Tests of the target states that several instances share."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import succeed

from ...conftest import FakeClock
from ...links.tests.conftest import Network
from ...routing import Service, Snapshot, Target
from ..interfaces import TargetState
from ..messages import MEMBERSHIP_MESSAGES
from ..probe import ProbeOutcome
from ..rendezvous import probers_of
from ..target_health import TargetHealth
from ..target_record import MAX_LEAVING_HOLD_TIME, Signal
from .conftest import make_instance

# Time after which no instance may send new work to a leaving target.
MAX_LEAVING_SECONDS = 3
NAMES = ("a", "b", "c", "d")
ALL = dict.fromkeys(NAMES, True)
NONE = dict.fromkeys(NAMES, False)


class Fleet:
    """Instances that follow the targets of one service."""

    def __init__(self, clock, targets=3):
        self.network = Network(clock, MEMBERSHIP_MESSAGES)
        self.signal = Signal.HEALTH_READY
        self.probes = []
        self.health = {}
        servers = tuple(Target(f"t-{n}", "127.0.0.1", n + 1, "lade") for n in range(targets))
        self.snapshot = Snapshot(1, "", (Service("lofts", (), servers, 2, 100, None, None),))
        for name in NAMES:
            self.add(name)
        self.network.mesh()
        self.network.run(1.5)

    def add(self, name):
        """Add an instance."""

        async def probe(target):
            self.probes.append((name, target.name))
            return await succeed(ProbeOutcome(self.signal))

        self.health[name] = TargetHealth(
            clock=self.network.clock,
            own_name=name,
            links=self.network.add(name),
            instances=self,
            probe=probe,
            jitter=lambda: 0.0,
        )
        self.health[name].set_targets(self.snapshot)
        self.health[name].start()

    def live(self):
        """Return all instances."""
        return tuple(make_instance(name) for name in sorted(self.health))

    def accepts_work(self, target="t-1"):
        """Return, for each instance, whether it sends new work to a target."""
        return {name: one.takes_new_work("lofts", target) for name, one in self.health.items()}


@pytest.fixture
def fleet(clock):
    """Four instances and three ready targets."""
    return Fleet(clock)


def test_drain_answer_reaches_all_although_health_says_ready(fleet):
    fleet.health["a"].record_draining("lofts", "t-1")
    for _ in range(9):
        fleet.network.run(1)
        for health in fleet.health.values():
            health.record_answer("lofts", "t-1")
        assert fleet.accepts_work() == NONE
    assert fleet.accepts_work("t-0") == ALL


def test_drain_on_the_health_endpoint_reaches_all(fleet):
    fleet.signal = Signal.DRAINING
    fleet.network.run(MAX_LEAVING_SECONDS)
    assert fleet.accepts_work() == NONE


def test_drain_is_learned_after_a_broken_stream(fleet):
    fleet.network.isolate("d")
    fleet.health["a"].record_draining("lofts", "t-1")
    fleet.network.run(5)
    assert fleet.accepts_work()["d"]
    fleet.network.rejoin("d")
    fleet.network.run(MAX_LEAVING_SECONDS)
    assert fleet.accepts_work() == NONE


def test_restarted_target_takes_work_again(fleet):
    fleet.health["a"].record_draining("lofts", "t-1")
    fleet.network.run(1)
    fleet.signal = Signal.REFUSED
    fleet.network.run(2)
    states = {one.state("lofts", "t-1") for one in fleet.health.values()}
    assert states == {TargetState.GONE}
    fleet.signal = Signal.HEALTH_STARTING
    fleet.network.run(2)
    assert fleet.accepts_work() == NONE
    fleet.signal = Signal.HEALTH_READY
    fleet.network.run(2)
    assert fleet.accepts_work() == ALL


def test_frozen_target_is_suspect_at_all_instances_within_two_seconds(fleet):
    fleet.signal = Signal.PROBE_SILENCE
    fleet.network.run(2)
    assert fleet.accepts_work() == NONE


def test_one_instance_with_a_broken_path_does_not_suspend_a_target(fleet):
    probers = {prober.name for prober in probers_of(fleet.live(), "lofts", "t-1", "lade")}
    broken = next(name for name in NAMES if name not in probers)
    for _ in range(2):
        fleet.health[broken].record_timeout("lofts", "t-1")
    fleet.network.deliver()
    assert fleet.accepts_work() == ALL | {broken: False}
    # No other instance saw the failure, so none reports the recovery: the instance must notice it
    # by its own probes.
    fleet.network.run(3)
    assert fleet.accepts_work() == ALL


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["drain", "refuse", "silence", "cut", "rejoin", "health"]),
        st.sampled_from(NAMES),
        st.sampled_from([Signal.HEALTH_READY, Signal.HEALTH_STARTING, Signal.PROBE_SILENCE]),
        st.integers(0, 8),
    ),
    max_size=12,
)


@settings(max_examples=25)
@given(EVENTS)
def test_drain_lasts_and_targets_recover_under_any_failures(events):
    """Check that reached instances stop sending after a drain and all resume in the end."""
    fleet = Fleet(FakeClock(), targets=1)
    network, drained, reached = fleet.network, None, set(NAMES)
    for event, name, signal, half_seconds in events:
        health = fleet.health[name]
        if event == "drain":
            health.record_draining("lofts", "t-0")
            drained, reached = network.clock.now(), {name}
            if name not in network.isolated:
                reached |= set(NAMES) - network.isolated
        elif event == "refuse":
            health.record_connection_refused("lofts", "t-0")
        elif event == "silence":
            health.record_timeout("lofts", "t-0")
        elif event == "cut":
            network.isolate(name)
        elif event == "rejoin":
            network.rejoin(name)
        else:
            fleet.signal = signal
        network.run(half_seconds / 2, step=0.25)
        if drained is None:
            continue
        since = network.clock.now() - drained
        restarted = any(e[2] is Signal.HEALTH_STARTING for e in events if e[0] == "health")
        if (
            timedelta(seconds=MAX_LEAVING_SECONDS) <= since < timedelta(seconds=10)
            and not restarted
        ):
            accepts = fleet.accepts_work("t-0")
            assert not any(accepts[one] for one in reached)
    fleet.signal = Signal.HEALTH_READY
    for name in NAMES:
        network.rejoin(name)
    network.run(MAX_LEAVING_HOLD_TIME.total_seconds() + 5, step=0.5)
    assert fleet.accepts_work("t-0") == ALL


def test_each_target_is_probed_by_two_instances(fleet):
    fleet.probes.clear()
    fleet.network.run(10)
    probers = {t: {n for n, probed in fleet.probes if probed == t} for _, t in fleet.probes}
    assert {target: len(names) for target, names in probers.items()} == {
        "t-0": 2,
        "t-1": 2,
        "t-2": 2,
    }
    # Each of the three targets has two probers, which probe about once a second.
    assert len(fleet.probes) <= 2 * 3 * 10 * 1.25


def test_targets_of_a_lost_prober_are_probed_by_another(fleet):
    for name in NAMES[1:]:
        fleet.health.pop(name).stop()
    fleet.probes.clear()
    fleet.network.run(3)
    assert {target for _, target in fleet.probes} == {"t-0", "t-1", "t-2"}


def test_target_with_a_new_address_counts_as_ready(fleet):
    fleet.health["a"].record_connection_refused("lofts", "t-1")
    fleet.health["a"].record_connection_refused("lofts", "t-0")
    service = fleet.snapshot.services[0]
    moved = tuple(
        Target(t.name, t.host, 99 if t.name == "t-1" else t.port, t.data_centre)
        for t in service.targets
    )
    services = (Service("lofts", (), moved, 2, 100, None, None),)
    fleet.health["a"].set_targets(Snapshot(2, "", services))
    assert fleet.health["a"].state("lofts", "t-1") is TargetState.READY
    assert fleet.health["a"].state("lofts", "t-0") is TargetState.GONE
    assert fleet.health["a"].state("lofts", "t-9") is TargetState.SUSPECT


def test_reports_refused_by_a_full_stream_are_sent_later(fleet):
    links = fleet.network.links["a"]
    send, refused = links.send, []
    links.send = lambda instance, message: refused.append(instance) or False
    fleet.health["a"].record_draining("lofts", "t-1")
    links.send = send
    assert refused and fleet.accepts_work()["b"]
    fleet.network.run(timedelta(seconds=MAX_LEAVING_SECONDS).total_seconds())
    assert fleet.accepts_work() == NONE
