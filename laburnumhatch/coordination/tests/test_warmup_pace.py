"""No second brings an upstream that warms up more requests than it may get, whatever happens."""

import random
from collections import defaultdict
from datetime import timedelta

import pytest

from ...clocks import milliseconds
from ...fleet import RegistryView, ServiceProperties, Upstream, UpstreamIncarnation
from ...placement import RequestLimits
from ...placement.warmup_allowance import WarmupAllowance
from ...placement.warmups import Warmups
from ..announcements import Announcements
from .cluster import MemoryLinks

RATE_PER_S, OVERAGE, SLACK = 5.6, 1.5, 8
ALLOWED = RATE_PER_S * OVERAGE + SLACK
WARMUP = timedelta(seconds=3)
SECOND = timedelta(seconds=1)
SERVICE = ServiceProperties("s", 100, False, "/", WARMUP, RATE_PER_S)
STEP = milliseconds(5)
HEARTBEAT = milliseconds(870)
UPDATE_INTERVAL = milliseconds(250)
READ_INTERVAL = milliseconds(500)


class DelayedLinks(MemoryLinks):
    """Streams whose messages take a time of their own, in their order."""

    def __init__(self, network, name, clock, rng):
        super().__init__(network, name)
        self.clock, self.rng = clock, rng
        self.last_arrival = defaultdict(timedelta)

    def send(self, instance, message):
        if instance not in self.peers:
            return False
        arrival = self.clock.now() + milliseconds(self.rng.uniform(1, 25))
        self.last_arrival[instance] = arrival = max(arrival, self.last_arrival[instance])
        self.clock.call_later(arrival - self.clock.now(), self.deliver, instance, message)
        return True

    def deliver(self, instance, message):
        if instance in self.peers:
            self.network[instance].handlers[type(message)](self.name, message)


class Instance:
    """One instance; it learns of a new leader some time after its election."""

    def __init__(self, model, name):
        self.model, self.name, self.leader = model, name, ""
        self.links = DelayedLinks(model.network, name, model.clock, model.rng)
        self.warmups = Warmups(WarmupAllowance(OVERAGE, SLACK), is_first_start=True)
        self.warmups.configure([SERVICE])
        self.view = RegistryView()
        self.announcements = Announcements(
            answered_at=lambda name: timedelta(),
            clock=model.clock,
            links=self.links,
            limits=RequestLimits(),
            warmups=self.warmups,
            registry_view=self.view,
            likely_instance_count=lambda: len(model.instances),
            leader_name=lambda: self.leader,
            is_leader=lambda: self.leader == self.name,
            has_authority=lambda: model.authority == self.name,
            on_upstreams_changed=lambda: None,
        )

    def follow(self, leader):
        """Take a member for the leader, with a stream to it."""
        self.leader = leader.name
        if leader is self:
            self.announcements.begin_leading()
            return
        for links, peer in ((self.links, leader), (leader.links, self)):
            links.peers = (links.peers if links is leader.links else set()) | {peer.name}
            for handler in links.on_connect:
                handler(peer.name)


class Server:
    """An upstream that crashes, starts again cold and registers every 870 ms."""

    def __init__(self, name):
        self.name, self.started_at_ms = name, 1
        self.up_at = self.warm_at = timedelta()
        self.registered = None
        self.cold_arrivals = []

    def is_up(self, now):
        return now >= self.up_at

    def crash(self, now, downtime):
        self.up_at = now + downtime
        self.warm_at = self.up_at + WARMUP
        self.started_at_ms += 1

    def register(self, now):
        if self.is_up(now):
            remaining = max(self.warm_at - now, timedelta())
            incarnation = UpstreamIncarnation(self.name, self.started_at_ms)
            self.registered = Upstream(incarnation, "s", "127.0.0.1", 1, "d", 4, False, remaining)

    def most_cold_arrivals(self):
        times = self.cold_arrivals
        return max((sum(t <= u < t + SECOND for u in times) for t in times), default=0)


class PaceModel:
    """Instances that send requests to servers, whose leader is replaced and whose servers crash."""

    def __init__(self, clock, seed, instance_count=40, requests_per_s=400):
        self.clock, self.rng, self.network = clock, random.Random(seed), {}
        self.requests_per_s = requests_per_s
        self.authority = "i0"
        self.servers = [Server(f"u{n}") for n in range(4)]
        self.instances = [Instance(self, f"i{n}") for n in range(instance_count)]
        self.by_name = {instance.name: instance for instance in self.instances}
        for instance in self.instances:
            instance.follow(self.instances[0])
        self.due = {"register": timedelta(), "read": timedelta(), "update": timedelta()}

    def run(self, seconds):
        for _ in range(round(seconds / STEP.total_seconds())):
            self.clock.advance(STEP)
            self.every("register", HEARTBEAT, self.register)
            self.every("read", READ_INTERVAL, self.read_registry)
            self.every("update", UPDATE_INTERVAL, self.exchange)
            whole, part = divmod(self.requests_per_s * STEP.total_seconds(), 1)
            for _ in range(int(whole) + (self.rng.random() < part)):
                self.request(self.rng.choice(self.instances), self.rng.choice(self.servers))

    def register(self):
        for server in self.servers:
            server.register(self.clock.now())

    def every(self, what, interval, action):
        if self.clock.now() >= self.due[what]:
            self.due[what] = self.clock.now() + interval
            action()

    def read_registry(self):
        """Let the leader read the registry, and the others get its changes."""
        now = self.clock.now()
        leader = self.by_name.get(self.authority)
        for instance in self.instances if leader else ():
            before = instance.view.upstreams
            changed = instance.view.apply_read([s.registered for s in self.servers], now)
            if instance is leader or changed or not before:
                read_at = now if instance is leader else None
                instance.warmups.observe_registry(instance.view.upstreams, read_at, now)

    def exchange(self):
        for instance in self.instances:
            if instance.leader == instance.name:
                instance.announcements.update_followers()
            else:
                instance.announcements.report_to_leader()

    def replace_leader(self):
        """Let the leader lose its authority, and the others learn of the next one by and by."""
        if not self.authority:
            # The last election isn't over.
            return
        former, self.authority = self.by_name[self.authority], ""
        successor = self.rng.choice([i for i in self.instances if i is not former])

        def elect():
            self.authority = successor.name
            for instance in [successor, *self.instances]:
                if instance is successor:
                    instance.follow(successor)
                else:
                    delay = milliseconds(self.rng.uniform(0, 600))
                    self.clock.call_later(delay, instance.follow, successor)

        self.clock.call_later(milliseconds(self.rng.uniform(0, 1500)), elect)

    def request(self, instance, server):
        upstream = instance.view.upstreams.get(server.name)
        announcements = instance.announcements
        if upstream is None or not announcements.may_send_to(upstream):
            return

        def send(is_granted=True):
            if is_granted:
                sent_at = self.clock.now()
                # Some requests wait for a new connection.
                longest_ms = 400 if self.rng.random() < 0.2 else 25
                delay = milliseconds(self.rng.uniform(1, longest_ms))
                self.clock.call_later(delay, self.arrive, instance, upstream, server, sent_at)

        if announcements.needs_permit(upstream):
            announcements.request_permit(upstream, send)
        else:
            send()

    def arrive(self, instance, upstream, server, sent_at):
        now = self.clock.now()
        if not server.is_up(now):
            instance.warmups.note_unreachable(upstream.incarnation, "s", now)
            return
        if now < server.warm_at:
            server.cold_arrivals.append(now)
        self.clock.call_later(
            milliseconds(40), instance.warmups.note_answered, server.name, sent_at
        )


@pytest.mark.parametrize("seed", range(6))
def test_no_second_holds_more_requests_than_allowed(clock, seed):
    model = PaceModel(clock, seed)
    model.run(4)
    for _ in range(4):
        for server in model.rng.sample(model.servers, 2):
            server.crash(clock.now(), milliseconds(model.rng.uniform(600, 3000)))
        model.run(model.rng.uniform(0.5, 4))
        model.replace_leader()
        model.run(model.rng.uniform(3, 6))
    for server in model.servers:
        assert server.most_cold_arrivals() <= ALLOWED
    model.run(6)
    assert not any(instance.warmups.names for instance in model.instances)


@pytest.mark.parametrize("seed", range(4))
def test_burst_after_a_quiet_time_and_a_change_of_the_leader_stays_within_the_bound(clock, seed):
    # A full bucket and an empty successor's are used in one second.
    model = PaceModel(clock, seed, requests_per_s=100)
    model.run(4)
    for server in model.servers:
        server.crash(clock.now(), milliseconds(1500))
    model.run(1.6)
    for _ in range(3):
        model.requests_per_s = 0
        model.run(0.9)
        model.requests_per_s = 2000
        model.run(0.1)
        model.replace_leader()
        model.run(model.rng.uniform(0.1, 1.2))
        assert max(s.most_cold_arrivals() for s in model.servers) <= ALLOWED


def test_cold_upstream_gets_about_its_rate(clock):
    model = PaceModel(clock, seed=1)
    model.run(4)
    server = model.servers[0]
    server.crash(clock.now(), milliseconds(800))
    model.run(3.8)
    assert len(server.cold_arrivals) >= 0.7 * RATE_PER_S * WARMUP.total_seconds()


def test_instances_without_a_leader_send_a_cold_upstream_nothing(clock):
    model = PaceModel(clock, seed=1)
    model.run(4)
    server = model.servers[0]
    server.crash(clock.now(), milliseconds(800))
    # Requests with a permit arrive within 0.4 s, while the upstream is down.
    model.run(0.3)
    model.authority = ""
    for instance in model.instances:
        instance.links.peers.clear()
    model.run(3)
    assert server.cold_arrivals == []
