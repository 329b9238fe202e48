"""Requests that come late in a graceful shutdown."""

import pytest

from ...clocks import milliseconds
from ...coordination.shared_configuration import StoredConfiguration
from ...platform.headers import ATTEMPT_ID, DEADLINE, find_header
from ...transport.tests.conftest import FakeTransport
from ..daemon import GatewayDaemon
from ..settings import GatewaySettings
from .conftest import make_routes, make_upstream

SETTINGS = GatewaySettings(
    name="i1",
    data_centre="lade",
    host="127.0.0.1",
    callers="127.0.0.1:1001",
    readiness="127.0.0.1:1002",
    stream_port=1003,
    relay_port=1005,
    core_speed=1.0,
    core_share=1.0,
    metrics_port=1004,
    store="127.0.0.1:1005",
    longest_hold="10s",
    retry_window="10s",
    retry_ratio=0.2,
    retry_slack=56,
    stop_within="6s",
    first_start=True,
)
HEAD = b"POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n" + (
    ATTEMPT_ID + b": a1\r\n" + DEADLINE + b": 2500\r\n"
)


class FakePort:
    """Listening port whose connections a test opens."""

    def __init__(self, factory):
        self.factory = factory
        self.is_open = True

    def doRead(self):
        """Accept nothing, since nothing waits in the queue."""

    def stopListening(self):
        self.is_open = False


class FakeReactor:
    """Reactor that records the ports and the attempts to connect, none of which succeeds."""

    def __init__(self):
        self.ports = {}
        self.connected_ports = []

    def listenTCP(self, port, factory, interface, backlog=0):
        self.ports[port] = FakePort(factory)
        return self.ports[port]

    def connectTCP(self, host, port, factory, timeout):
        self.connected_ports.append(port)
        return FakeConnector()


class FakeConnector:
    """Attempt to connect that stays open."""

    def stopConnecting(self):
        """Do nothing."""

    def disconnect(self):
        """Do nothing."""


class Caller:
    """Caller with a connection to the instance."""

    def __init__(self, reactor):
        self.transport = FakeTransport()
        self.protocol = reactor.ports[1001].factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)

    def send(self, content):
        """Send a part of a request."""
        self.protocol.dataReceived(content)

    @property
    def status(self):
        """Status of the answer, or None without one."""
        received = self.transport.value()
        return int(received.split(b" ")[1]) if received else None


class StoppingInstance:
    """Instance with one upstream, of which a test plays callers and time."""

    def __init__(self, clock):
        self.clock = clock
        self.reactor = FakeReactor()
        self.exit_codes = []
        self.daemon = GatewayDaemon(self.reactor, clock, SETTINGS, self.exit_codes.append)
        self.daemon.start()
        clock.advance(milliseconds(500))
        member = self.daemon._member
        member.registry_view.replace([make_upstream("u1")])
        configuration = StoredConfiguration(make_routes(), b"")
        member._configuration.handle_read(configuration, 1)
        assert member.routes is not None
        teach_service_time(self.daemon._gateway)

    @property
    def has_sent(self):
        """Whether the instance has tried to send a request to the upstream."""
        return 8001 in self.reactor.connected_ports


def teach_service_time(gateway):
    """Let the gateway know that upstreams answer in 200 ms."""
    now = gateway.clock.now()
    gateway.load_tracker.record_answer("u1", now, service_time_s=0.2, declined=False)
    gateway.load_tracker.record_answer("u2", now, service_time_s=0.2, declined=False)


@pytest.fixture
def instance(clock):
    """Return an instance that serves one upstream."""
    return StoppingInstance(clock)


def test_request_in_the_first_seconds_of_a_stop_is_sent(instance, clock):
    instance.daemon.stop()
    clock.advance(milliseconds(1500))
    Caller(instance.reactor).send(HEAD + b"\r\n")
    assert instance.has_sent


def test_request_that_is_complete_late_in_a_stop_is_refused_and_not_sent(instance, clock):
    caller = Caller(instance.reactor)
    instance.daemon.stop()
    clock.advance(milliseconds(2400))
    caller.send(HEAD)
    clock.advance(milliseconds(2900))
    caller.send(b"\r\n")
    assert not instance.has_sent
    assert caller.status == 503 and b"retry-after" in caller.transport.value().lower()


def test_request_that_waits_when_the_stop_ends_is_refused_as_not_run(instance, clock):
    # Its connection to the upstream never opens, so nothing is sent.
    caller = Caller(instance.reactor)
    instance.daemon.stop()
    clock.advance(milliseconds(2400))
    caller.send(HEAD + b"\r\n")
    assert instance.has_sent
    for _ in range(40):
        clock.advance(milliseconds(100))
    assert caller.status == 503


def test_upstream_is_given_no_more_time_than_is_left_until_the_stop(harness, clock):
    harness.gateway.requests_end_at = clock.now() + milliseconds(800)
    harness.send_request()
    sent = harness.pool.last.request
    assert int(find_header(sent.fields, DEADLINE)) == 680


def test_declined_request_is_not_sent_again_shortly_before_the_stop(harness, clock):
    teach_service_time(harness.gateway)
    harness.gateway.requests_end_at = clock.now() + milliseconds(800)
    request = harness.send_request(path=b"/unsafe/x", method=b"POST")
    clock.advance(milliseconds(600))
    harness.pool.last.decline()
    assert len(harness.pool.calls) == 1
    assert request.status == 503 and b'"run":"no"' in request.content


def test_pipelined_requests_that_are_handled_are_all_answered_before_the_stop(instance, clock):
    caller = Caller(instance.reactor)
    safe = HEAD.replace(b"/unsafe/", b"/safe/")
    caller.send((safe + b"\r\n") * 2)
    assert instance.daemon._gateway.in_flight == 2
    instance.daemon.stop()
    caller.send(safe + b"\r\n")
    for _ in range(60):
        clock.advance(milliseconds(100))
    answers = caller.transport.value().lower().split(b"http/1.1 ")[1:]
    assert [answer[:3] for answer in answers] == [b"503", b"503"]
    assert [b"connection: close" in answer for answer in answers] == [False, True]
