"""Requests of one connection that are sent to upstreams side by side, and those that must wait."""

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ...clocks import milliseconds
from ...fleet import CallerLimits
from ...platform.headers import ATTEMPT_ID, DEADLINE
from ...transport import MAX_REQUESTS_AHEAD, CallerFactory
from ...transport.tests.conftest import FakeTransport


class Caller:
    """Caller with one connection to the gateway."""

    def __init__(self, harness):
        self.pool, self.clock = harness.pool, harness.clock
        factory = CallerFactory(
            self.clock, harness.gateway.handle, CallerLimits, max_requests=MAX_REQUESTS_AHEAD
        )
        self.transport = FakeTransport()
        self.connection = factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)

    def send(self, *paths):
        """Send requests, each with the identifier that the upstreams of the tests answer."""
        fields = b"host: h.example\r\n" + DEADLINE + b": 900\r\n" + ATTEMPT_ID + b": a1\r\n"
        for path in paths:
            self.connection.dataReceived(b"GET %s HTTP/1.1\r\n%s\r\n" % (path, fields))

    def succeed(self, index):
        """Let an upstream answer the request that was sent at a place in the order."""
        self.pool.calls[index].succeed()
        self.clock.reactor.advance(0)

    def sent_targets(self):
        return [call.request.target for call in self.pool.calls]

    def statuses(self):
        content = self.transport.value()
        return [int(part[:3]) for part in content.split(b"HTTP/1.1 ")[1:]]


@pytest.fixture
def caller(harness):
    return Caller(harness)


def test_request_that_may_not_be_repeated_waits_until_it_is_the_first(caller):
    caller.send(b"/safe/0", b"/unsafe/1", b"/safe/2")
    assert caller.sent_targets() == [b"/safe/0", b"/safe/2"]
    caller.succeed(1)
    assert len(caller.pool.calls) == 2 and caller.statuses() == []
    caller.succeed(0)
    assert caller.sent_targets()[2:] == [b"/unsafe/1"] and caller.statuses() == [200]
    caller.succeed(2)
    assert caller.statuses() == [200, 200, 200]


def test_request_that_waits_to_be_first_is_refused_at_its_deadline(caller, clock):
    caller.send(b"/safe/0")
    clock.advance(milliseconds(100))
    caller.send(b"/unsafe/1", b"/safe/2")
    caller.succeed(1)
    caller.transport.clear()
    caller.pool.connects_at_once = False
    clock.advance(milliseconds(2000))
    # All have their answers; the one that waited is not sent afterwards.
    first, second, third = caller.statuses()
    assert (first, second, third) == (504, 503, 200)
    assert caller.sent_targets() == [b"/safe/0", b"/safe/2"]
    assert b'"run":"no"' in caller.transport.value()


def test_refusals_are_decided_at_once_and_answered_in_order(caller, harness):
    caller.send(b"/safe/0", b"/nowhere", b"/safe/2")
    assert harness.gateway.in_flight == 2 and caller.statuses() == []
    caller.succeed(1)
    caller.succeed(0)
    assert caller.statuses() == [200, 404, 200]


@pytest.mark.parametrize("end", ["leave", "abort"])
def test_requests_that_can_not_be_answered_any_more_are_cancelled(caller, harness, end):
    caller.send(b"/safe/0", b"/safe/1", b"/unsafe/2")
    if end == "leave":
        caller.connection.connectionLost(Failure(ConnectionDone()))
        assert caller.pool.calls[0].is_aborted
    else:
        # An answer that is streamed and breaks off can only be told by the end of the connection.
        receiver = caller.pool.calls[0].receiver
        receiver.on_header(200, caller.pool.calls[0].sealed_fields(), None)
        receiver.on_body(b"x" * 300_000)
        caller.pool.calls[0].lose_connection()
        assert caller.transport.is_aborted
    assert caller.pool.calls[1].is_aborted
    caller.clock.reactor.advance(0)
    assert len(caller.pool.calls) == 2 and harness.gateway.in_flight == 0
    assert not any(harness.gateway.load_tracker.load_of(u).own_in_flight for u in ("u1", "u2"))
