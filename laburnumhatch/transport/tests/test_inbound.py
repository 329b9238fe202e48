"""Tests of the callers' connections: limits, framing and disconnects."""

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ...clocks import milliseconds
from ...fleet import CallerLimits
from ..inbound import CallerFactory

GET = b"GET /a/b?c HTTP/1.1\r\nHost: h.example\r\nX-One: 1\r\n\r\n"


class Server:
    """Server with one connection; records its requests for the test to answer."""

    def __init__(self, clock, new_transport, limits=None):
        self.requests = []
        self.limits = limits or CallerLimits(max_header_bytes=1000, max_body_bytes=100)
        self.factory = CallerFactory(clock, self.requests.append, lambda: self.limits)
        self.transport = new_transport()
        self.connection = self.factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)

    def sent(self):
        """Return the bytes sent to the caller since the last call."""
        content = self.transport.value()
        self.transport.clear()
        return content


@pytest.fixture
def server(clock, new_transport):
    """Return a server with one connection."""
    return Server(clock, new_transport)


def test_request_is_handled_once_complete_and_answered(server):
    server.connection.dataReceived(GET[:20])
    assert server.requests == []
    server.connection.dataReceived(GET[20:])
    (request,) = server.requests
    assert (request.method, request.target) == (b"GET", b"/a/b?c")
    request.respond(200, [(b"x-two", b"2")], b"hello")
    assert server.sent().endswith(b"\r\n\r\nhello")


def test_pipelined_requests_are_answered_in_order(server):
    server.connection.dataReceived(GET + GET)
    assert len(server.requests) == 1
    server.requests[0].respond(200, [], b"one")
    assert len(server.requests) == 2
    server.requests[1].respond(200, [], b"two")
    sent = server.sent()
    assert sent.index(b"one") < sent.index(b"two")


def test_content_length_with_transfer_encoding_gets_400(server):
    server.connection.dataReceived(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    assert server.requests == []
    assert server.sent().startswith(b"HTTP/1.1 400")


def test_conflicting_content_lengths_get_400(server):
    server.connection.dataReceived(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"
    )
    assert server.requests == []
    assert server.sent().startswith(b"HTTP/1.1 400")


def test_header_above_limit_gets_431(server):
    server.connection.dataReceived(b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 2000)
    assert server.sent().startswith(b"HTTP/1.1 431")


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + b"a" * 128,
    ],
    ids=["length", "chunks"],
)
def test_body_above_limit_gets_413(server, request_bytes):
    server.connection.dataReceived(request_bytes)
    assert server.requests == []
    assert server.sent().startswith(b"HTTP/1.1 413")


def test_header_timeout_gets_408(server, clock):
    server.connection.dataReceived(GET[:10])
    clock.advance(server.limits.header_timeout)
    assert server.sent().startswith(b"HTTP/1.1 408")


def test_idle_connection_is_closed_without_a_response(server, clock):
    server.connection.dataReceived(GET)
    server.requests[0].respond(200, [], b"")
    server.sent()
    clock.advance(server.limits.idle_timeout - milliseconds(1))
    assert not server.transport.disconnecting
    clock.advance(milliseconds(1))
    assert server.transport.disconnecting and server.sent() == b""


def test_disconnect_of_caller_calls_on_disconnect(server):
    server.connection.dataReceived(GET)
    disconnects = []
    server.requests[0].on_disconnect = lambda: disconnects.append(True)
    server.connection.connectionLost(Failure(ConnectionDone()))
    assert disconnects == [True]
    assert not server.requests[0].is_open


def test_stopping_server_closes_connection_after_response(server):
    server.connection.dataReceived(GET)
    server.factory.is_stopping = True
    server.requests[0].respond(200, [], b"last")
    assert b"connection: close" in server.sent().lower()
    assert server.transport.disconnecting


def test_response_without_length_is_sent_chunked(server):
    server.connection.dataReceived(GET)
    request = server.requests[0]
    request.begin(200, [], None)
    request.write(b"abc")
    request.end()
    assert server.sent().endswith(b"3\r\nabc\r\n0\r\n\r\n")


def test_abort_response_resets_the_connection(server):
    server.connection.dataReceived(GET)
    request = server.requests[0]
    request.begin(200, [], 10)
    request.write(b"abc")
    request.abort_response()
    assert server.transport.is_aborted


def test_expect_100_continue_is_answered_before_the_body(server):
    server.connection.dataReceived(
        b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
    )
    assert server.sent().startswith(b"HTTP/1.1 100")
    server.connection.dataReceived(b"abc")
    assert bytes(server.requests[0].body) == b"abc"


def test_tunnel_is_refused_before_its_request_is_handled(server):
    server.connection.dataReceived(b"CONNECT /a HTTP/1.1\r\nHost: h.example\r\n\r\n" + b"x" * 4096)
    assert server.requests == []
    assert server.sent().startswith(b"HTTP/1.1 501 Not Implemented")
    assert server.transport.disconnecting


def test_connection_whose_caller_offers_an_upgrade_serves_further_requests(server):
    upgrade = GET[:-2] + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"
    for _ in range(2):
        server.connection.dataReceived(upgrade)
        server.requests.pop().respond(200, [], b"fine")
        assert server.sent().endswith(b"\r\n\r\nfine")
