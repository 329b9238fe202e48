"""Instances send an upstream that has restarted no more than it tolerates while it warms up."""

import random
from dataclasses import replace
from datetime import timedelta

import pytest

from ...fleet import ServiceProperties, UpstreamIncarnation
from ...placement.warmup_allowance import WarmupAllowance
from ...platform.headers import EXPECTED_UPSTREAM, KEY, SERVER_LOAD, find_header
from ...transport import CallFailure, FailureKind
from ..announced import apply_announcements
from .conftest import FakeRequest, make_route
from .fleet import NAMES, Fleet

RATE_PER_S, OVERAGE, SLACK = 5.6, 1.5, 8
WARMUP = timedelta(seconds=3)
SECOND = timedelta(seconds=1)


class WarmingFleet(Fleet):
    """Instances whose upstream u1 crashes and comes back cold; the others answer at once."""

    def __init__(self, clock, is_keyed, rate_per_s=RATE_PER_S):
        super().__init__(clock)
        self.cluster.routes = (make_route("safe", service="s"),)
        service = ServiceProperties("s", 100, is_keyed, "/", WARMUP, rate_per_s)
        self.cluster.services = {"s": service}
        self.cluster.upstreams.add("u1", "u2", "u3")
        self.is_keyed, self.random = is_keyed, random.Random(1)
        self.is_down, self.down_failure = False, FailureKind.REFUSED
        self.arrivals, self.requests = [], []

    def _add_gateway(self, name, member):
        super()._add_gateway(name, member)
        member._load_tracker.warmups.allowance = WarmupAllowance(OVERAGE, SLACK)
        member._load_tracker.warmups.is_first_start = True

    def play_request(self, gateway):
        fields = ((KEY, b"%d" % self.random.randrange(65_536)),) if self.is_keyed else ()
        request = FakeRequest(self.clock, fields=fields)
        self.requests.append(request)
        gateway.handle(request)
        self.play_upstreams(gateway)

    def play_upstreams(self, gateway):
        """Answer the requests that have reached an upstream."""
        while gateway.pool.calls:
            call = gateway.pool.calls.pop()
            name = dict(call.request.fields)[EXPECTED_UPSTREAM].decode()
            if name == "u1" and self.is_down:
                failure = CallFailure(self.down_failure, True, "down")
                call.receiver.on_failure(failure)
                continue
            if name == "u1":
                self.arrivals.append(self.clock.now())
            call.succeed()

    def restart(self, downtime_s, warmup_s):
        """Let u1 be down and come back; its registration tells of that a second later."""
        registered = self.cluster.upstreams.registered
        self.is_down = True
        self.run(downtime_s, requests_per_step=2)
        self.is_down = False
        self.run(1, requests_per_step=2)
        restarted = replace(registered["u1"], incarnation=UpstreamIncarnation("u1", 2))
        registered["u1"] = replace(restarted, warmup_remaining=timedelta(seconds=warmup_s - 1))
        self.run(warmup_s - 1, requests_per_step=2)
        registered["u1"] = restarted

    def most_arrivals(self, since):
        times = [t for t in self.arrivals if t >= since]
        return max((sum(t <= u < t + SECOND for u in times) for t in times), default=0)


@pytest.mark.parametrize(
    ("failure", "downtime_s"), [(FailureKind.REFUSED, 0.8), (FailureKind.UNREACHABLE, 2)]
)
@pytest.mark.parametrize("is_keyed", [False, True], ids=["any upstream", "owned keys"])
def test_upstream_that_has_restarted_gets_no_more_than_allowed(
    clock, is_keyed, failure, downtime_s
):
    fleet = WarmingFleet(clock, is_keyed)
    fleet.down_failure = failure
    fleet.start(NAMES)
    fleet.run(6)
    fleet.run(2, requests_per_step=2)
    usual = fleet.most_arrivals(timedelta())
    assert usual > RATE_PER_S * OVERAGE + SLACK
    since = clock.now()
    fleet.restart(downtime_s, 3)
    assert fleet.most_arrivals(since) <= RATE_PER_S * OVERAGE + SLACK
    fleet.run(4, requests_per_step=2)
    assert fleet.most_arrivals(clock.now() - timedelta(seconds=1)) > usual / 2
    trackers = [gateway.load_tracker for gateway in fleet.gateways.values()]
    assert not any(tracker.warmups.names for tracker in trackers)


def test_requests_for_keys_beyond_the_pace_are_refused_at_once(clock):
    fleet = WarmingFleet(clock, is_keyed=True)
    fleet.start(NAMES)
    fleet.run(6, requests_per_step=1)
    for member in fleet.cluster.members.values():
        member.announcements.assume_warming_up(["u1"])
    fleet.requests.clear()
    fleet.run(0.3, requests_per_step=4)
    # Requests for keys that are on their way to another owner wait for it.
    fleet.run(1)
    for gateway in fleet.gateways.values():
        fleet.play_upstreams(gateway)
    refused = [request for request in fleet.requests if request.status != 200]
    assert refused and {request.status for request in refused} == {503}
    assert all(find_header(r.answer_fields, b"retry-after") for r in refused)


def test_service_without_a_rate_is_served_as_before(clock):
    fleet = WarmingFleet(clock, is_keyed=False, rate_per_s=None)
    fleet.start(NAMES)
    fleet.run(6)
    fleet.restart(0.8, 3)
    assert fleet.most_arrivals(timedelta()) > RATE_PER_S * OVERAGE + SLACK


def test_reported_load_is_used_and_an_invalid_one_is_logged_once(harness, records):
    upstream = harness.registry_view.upstreams["u1"]
    for value in (b"5,2,4,150", b"5,2,4,0", b"5,2,4,x"):
        apply_announcements(harness.gateway, upstream, 200, [(SERVER_LOAD, value)])
    load = harness.gateway.load_tracker.load_of("u1")
    assert load.in_flight == 7
    assert load.reported.pace(harness.clock.now()) == pytest.approx(1.5)
    assert sum("invalid load" in record.message for record in records) == 1


@pytest.mark.parametrize(
    ("kind", "may_warm_up"),
    [
        (FailureKind.REFUSED, True),
        (FailureKind.UNREACHABLE, False),
        (FailureKind.RESET, False),
        (FailureKind.LOST, False),
    ],
)
def test_only_an_upstream_without_a_listener_may_have_restarted(harness, kind, may_warm_up):
    # Upstreams that are full reset connections, faulty ones lose answers, and connections time out
    # at an instance whose link is full: all of them used to be slowed down as if restarted.
    harness.set_upstreams(harness.registry_view.upstreams["u1"])
    warmups = harness.gateway.load_tracker.warmups
    warmups.allowance = WarmupAllowance(OVERAGE, SLACK)
    upstream = harness.registry_view.upstreams["u1"]
    properties = ServiceProperties(upstream.service, 100, False, "/", WARMUP, RATE_PER_S)
    warmups.configure([properties])
    warmups.observe_registry(
        harness.registry_view.upstreams, harness.clock.now(), harness.clock.now()
    )
    harness.send_request(b"/unsafe/x")
    was_not_sent = kind is not FailureKind.LOST
    harness.pool.last.receiver.on_failure(CallFailure(kind, was_not_sent, "failed"))
    assert warmups.names == (["u1"] if may_warm_up else [])
