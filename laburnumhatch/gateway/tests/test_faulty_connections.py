"""Refusals that come twice and heads that break off, on the connections of a real pool."""

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from ...clocks import milliseconds
from ...platform.headers import ATTEMPT_ID, NOT_RUN, SEAL, find_header
from ...transport import ConnectionPool
from ...transport.tests.conftest import FakeTransport

REFUSAL = (
    b"HTTP/1.1 %d No\r\n"
    + (ATTEMPT_ID + b": %s\r\n" + NOT_RUN + b": 1\r\n")
    + b"%sContent-Length: 4\r\n\r\nfull"
)
SUCCESS = b"HTTP/1.1 200 OK\r\n" + ATTEMPT_ID + b": %s\r\n" + SEAL + b": s\r\n%s\r\n\r\n"
LENGTH = b"Content-Length: 4"
CHUNKED = b"Transfer-Encoding: chunked"


class ConnectedReactor:
    """Reactor whose attempts to connect succeed at once."""

    def __init__(self):
        self.connections = []
        self.transports = []

    def connectTCP(self, host, port, factory, timeout):
        connection = factory.buildProtocol(None)
        self.connections.append(connection)
        self.transports.append(FakeTransport())
        connection.makeConnection(self.transports[-1])


class FaultyUpstreams:
    """Upstreams whose bytes a test sends, by the number of the connection."""

    def __init__(self, harness):
        self.harness = harness
        self.reactor = ConnectedReactor()
        harness.gateway.pool = ConnectionPool(self.reactor, harness.clock)

    def request(self, request_id):
        """Send a caller's request that may not be repeated."""
        request = self.harness.send_request(b"/unsafe/x", request_id=request_id, method=b"POST")
        self.harness.clock.advance(milliseconds(10))
        return request

    def send_bytes(self, number, content):
        """Send bytes on a connection."""
        self.reactor.connections[number].dataReceived(content)

    def close(self, number, error=ConnectionDone):
        """Close a connection."""
        self.reactor.connections[number].connectionLost(Failure(error()))

    def sends_of(self, request_id):
        """Return on how many connections a request was sent."""
        return sum(request_id in transport.value() for transport in self.reactor.transports)


@pytest.fixture
def upstreams(harness):
    """Return upstreams of which only one takes requests."""
    upstreams = FaultyUpstreams(harness)
    harness.set_upstreams(harness.registry_view.upstreams["u1"])
    return upstreams


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_second_copy_of_a_refusal_is_no_answer_to_the_next_request(upstreams, status):
    first = upstreams.request(b"a1")
    for number in range(4):
        if first.is_complete:
            break
        upstreams.send_bytes(number, REFUSAL % (503, b"a1", b""))
        upstreams.harness.clock.advance(milliseconds(10))
    assert first.status == 503
    second = upstreams.request(b"a2")
    (number,) = [n for n, t in enumerate(upstreams.reactor.transports) if b"a2" in t.value()]
    assert b"a1" in upstreams.reactor.transports[number].value()
    upstreams.send_bytes(number, REFUSAL % (status, b"a1", b""))
    assert second.status is None and upstreams.sends_of(b"a2") == 1
    upstreams.send_bytes(number, SUCCESS % (b"a2", LENGTH) + b"done")
    assert (second.status, second.content) == (200, b"done")
    assert upstreams.sends_of(b"a2") == 1


def test_second_copy_of_a_refusal_is_no_answer_to_the_repeat_of_its_request(upstreams):
    request = upstreams.request(b"a1")
    upstreams.send_bytes(0, REFUSAL % (503, b"a1", b""))
    upstreams.harness.clock.advance(milliseconds(10))
    assert upstreams.sends_of(b"a1") == 2
    upstreams.send_bytes(0, REFUSAL % (503, b"a1", b""))
    assert request.status is None and upstreams.sends_of(b"a1") == 2
    upstreams.send_bytes(1, SUCCESS % (b"a1", LENGTH) + b"done")
    assert request.status == 200


def test_refusal_sent_twice_at_once_closes_its_connection(upstreams):
    upstreams.request(b"a1")
    upstreams.send_bytes(0, REFUSAL % (503, b"a1", b"") * 2)
    assert upstreams.reactor.transports[0].is_aborted


def test_copy_of_a_refusal_that_ends_the_connection_tells_nothing_of_the_request(upstreams):
    first = upstreams.request(b"a1")
    upstreams.send_bytes(0, SUCCESS % (b"a1", LENGTH) + b"done")
    assert first.status == 200
    second = upstreams.request(b"a2")
    assert len(upstreams.reactor.connections) == 1
    upstreams.send_bytes(0, REFUSAL % (503, b"a1", b"Connection: close\r\n"))
    assert second.status == 502 and upstreams.sends_of(b"a2") == 1


@pytest.mark.parametrize(
    ("framing", "body"), [(LENGTH, b"done"), (CHUNKED, b"4\r\ndone\r\n0\r\n\r\n")]
)
@pytest.mark.parametrize("error", [ConnectionDone, ConnectionLost])
def test_answer_that_breaks_off_anywhere_is_never_a_success(upstreams, framing, body, error):
    answer = SUCCESS % (b"%s", framing) + body
    for length in range(len(answer) - 1):
        request_id = b"a%d" % length
        number = len(upstreams.reactor.connections)
        request = upstreams.request(request_id)
        upstreams.send_bytes(number, (answer.replace(b"%s", request_id))[: length + 1])
        if request.status is None:
            upstreams.close(number, error)
        assert request.status == 502, length
        assert upstreams.sends_of(request_id + b"\r\n") == 1


@pytest.mark.parametrize("error", [ConnectionDone, ConnectionLost])
def test_head_without_framing_that_breaks_off_is_never_a_success(upstreams, error):
    head = SUCCESS % (b"a1", b"Server: x")
    for length in range(len(head)):
        number = len(upstreams.reactor.connections)
        request = upstreams.request(b"a1")
        upstreams.send_bytes(number, head[:length])
        upstreams.close(number, error)
        assert request.status == 502, length
        assert find_header(request.answer_fields, ATTEMPT_ID) is None
