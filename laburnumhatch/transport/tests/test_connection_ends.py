"""Ends of connections over real sockets, with each combination of events that epoll may report."""

import socket
import struct
from select import EPOLLERR, EPOLLHUP, EPOLLIN

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionLost
from twisted.internet.posixbase import _DisconnectSelectableMixin, _PollLikeMixin
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

from ...clocks import milliseconds
from ...fleet import CallerLimits
from ..http_caller import CallFailed, HttpCaller
from ..inbound import CallerFactory
from ..outbound import FailureKind, OutboundConnection, OutboundRequest
from ..pool import ConnectionPool
from ..request_body import RequestBody
from .conftest import Recorder

HEAD = b"HTTP/1.1 200 OK\r\nid: a1\r\n"
UNFRAMED = HEAD + b"\r\nsome of it"


class EventPlayer(_PollLikeMixin, _DisconnectSelectableMixin):
    """Part of the epoll reactor that handles events, which a test plays one by one."""

    _POLL_IN = EPollReactor._POLL_IN
    _POLL_OUT = EPollReactor._POLL_OUT
    _POLL_DISCONNECTED = EPollReactor._POLL_DISCONNECTED

    def __init__(self):
        self._readers = set()

    @property
    def _reads(self):
        return {reader.fileno() for reader in self._readers}

    def addReader(self, reader):
        self._readers.add(reader)

    def removeReader(self, reader):
        self._readers.discard(reader)

    def addWriter(self, writer):
        pass

    def removeWriter(self, writer):
        pass

    def callLater(self, delay, action, *args):
        action(*args)

    def play(self, transport, event):
        """Handle an event of a transport."""
        self._doReadOrWrite(transport, transport.fileno(), event)


class LoopbackConnection:
    """Connection over loopback between a protocol and a plain socket."""

    def __init__(self, protocol):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            local = socket.create_connection(listener.getsockname())
            self.peer, _ = listener.accept()
        local.setblocking(False)
        self._player = EventPlayer()
        self._transport = Server(local, protocol, local.getpeername(), None, 0, self._player)
        protocol.makeConnection(self._transport)

    def play(self, event):
        """Let the reactor handle an event of the connection."""
        self._player.play(self._transport, event)

    def read_request(self):
        """Read what was sent, since a socket that is closed with unread input resets."""
        return self.peer.recv(4096)

    def reset(self):
        """Reset the connection from the peer's side."""
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.peer.close()

    def close(self):
        """Close both sockets."""
        self.peer.close()
        if self._transport.connected:
            self._transport.connectionLost(Failure(ConnectionLost()))


@pytest.fixture
def connect():
    """Return a function that connects a protocol."""
    connections = []

    def connect_protocol(protocol):
        connections.append(LoopbackConnection(protocol))
        return connections[-1]

    yield connect_protocol
    for connection in connections:
        connection.close()


@pytest.fixture
def receiver():
    """Return the receiver of a response."""
    return Recorder()


@pytest.fixture
def upstream(connect, receiver):
    """Return the connection to an upstream that has received a request."""
    closed = []
    protocol = OutboundConnection(lambda _: None, closed.append, lambda action: action())
    connection = connect(protocol)
    connection.closed = closed
    request = OutboundRequest(
        b"GET", b"/x", [(b"host", b"h")], RequestBody.of(b""), lambda *_: True
    )
    protocol.send(request, receiver)
    connection.read_request()
    return connection


@pytest.mark.parametrize("event", [EPOLLERR, EPOLLHUP, EPOLLERR | EPOLLHUP, EPOLLIN | EPOLLERR])
def test_response_without_length_that_is_reset_is_not_complete(upstream, receiver, event):
    upstream.peer.sendall(UNFRAMED)
    upstream.play(EPOLLIN)
    upstream.reset()
    upstream.play(event)
    assert not receiver.is_complete
    assert receiver.failure.kind is FailureKind.LOST
    assert len(upstream.closed) == 1


@pytest.mark.parametrize("event", [EPOLLIN, EPOLLHUP, EPOLLIN | EPOLLHUP])
def test_response_without_length_is_completed_by_an_orderly_close(upstream, receiver, event):
    upstream.peer.sendall(UNFRAMED)
    upstream.play(EPOLLIN)
    upstream.peer.close()
    upstream.play(event)
    assert receiver.is_complete and receiver.body == b"some of it"
    assert len(upstream.closed) == 1


def test_bytes_that_arrive_with_a_reset_are_read_before_it_counts(upstream, receiver):
    upstream.peer.sendall(HEAD + b"content-length: 5\r\n\r\n")
    upstream.play(EPOLLIN)
    upstream.peer.sendall(b"hello")
    upstream.reset()
    upstream.play(EPOLLERR)
    assert receiver.failure is None
    upstream.play(EPOLLIN | EPOLLERR | EPOLLHUP)
    assert receiver.is_complete and receiver.body == b"hello"


def test_error_without_a_cause_does_not_complete_a_response(upstream, receiver):
    upstream.peer.sendall(UNFRAMED)
    upstream.play(EPOLLIN)
    upstream.play(EPOLLERR)
    assert not receiver.is_complete and receiver.failure.kind is FailureKind.LOST


class LoopbackReactor:
    """Reactor that opens connections over loopback."""

    def __init__(self, connect):
        self._connect = connect
        self.connections = []

    def connectTCP(self, host, port, factory, timeout):
        self.connections.append(self._connect(factory.buildProtocol(None)))


@pytest.mark.parametrize("event", [EPOLLERR, EPOLLHUP, EPOLLERR | EPOLLHUP])
def test_answer_of_the_store_that_is_reset_is_not_complete(clock, connect, event):
    reactor = LoopbackReactor(connect)
    results = []
    call = HttpCaller(ConnectionPool(reactor, clock), clock).call(
        "127.0.0.1", 1, b"GET", b"/rows", b"", milliseconds(900)
    )
    Deferred.fromCoroutine(call).addCallback(results.append)
    (store,) = reactor.connections
    store.read_request()
    store.peer.sendall(UNFRAMED)
    store.play(EPOLLIN)
    store.reset()
    store.play(event)
    (result,) = results
    assert isinstance(result, CallFailed) and not result.was_not_sent


@pytest.mark.parametrize("event", [EPOLLERR, EPOLLHUP, EPOLLERR | EPOLLHUP])
def test_caller_that_resets_its_connection_has_left(clock, connect, event):
    requests, departures = [], []
    caller = connect(CallerFactory(clock, requests.append, CallerLimits).buildProtocol(None))
    caller.peer.sendall(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n{}")
    caller.play(EPOLLIN)
    (request,) = requests
    request.on_disconnect = lambda: departures.append(request)
    caller.reset()
    caller.play(event)
    assert departures == [request] and not request.is_open


@pytest.mark.parametrize("event", [EPOLLERR, EPOLLHUP, EPOLLERR | EPOLLHUP])
def test_request_whose_body_is_reset_is_not_handled(clock, connect, event):
    requests = []
    caller = connect(CallerFactory(clock, requests.append, CallerLimits).buildProtocol(None))
    caller.peer.sendall(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n{")
    caller.play(EPOLLIN)
    caller.reset()
    caller.play(event)
    assert requests == []
