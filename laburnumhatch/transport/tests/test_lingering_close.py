"""Answers that a caller hasn't read when its connection is closed reach it, over real sockets."""

import socket

import pytest
import pytest_twisted
from twisted.internet import reactor
from twisted.internet.threads import deferToThread

from ...clocks import milliseconds
from ...fleet import CallerLimits
from ...standins.processes import wait_until
from ..connection_limit import CloseRank
from ..inbound import CallerFactory

TIMEOUT = milliseconds(10_000)
# The kernel takes the answer at once, and the caller's buffer holds a part of it.
WHOLE = b"x" * 100_000
SMALL_BUFFER = 8192


def get(path):
    return b"GET /%b HTTP/1.1\r\nHost: h.example\r\n\r\n" % path


class Server:
    """Server whose requests a test answers, and one caller that reads when a test lets it."""

    def __init__(self, clock):
        self.clock = clock
        self.requests = []
        self.factory = CallerFactory(clock, self.requests.append, CallerLimits, max_requests=4)
        self.port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.caller = socket.socket()
        self.caller.settimeout(TIMEOUT.total_seconds())
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.caller.connect(("127.0.0.1", self.port.getHost().port))

    @property
    def connection(self):
        (connection,) = self.factory.connections
        return connection

    async def receive(self, *paths):
        """Let the caller send requests, and wait until they are handled."""
        count = len(self.requests) + len(paths)
        self.caller.sendall(b"".join(get(path) for path in paths))
        await self.until(lambda: len(self.requests) == count, "requests")

    async def until(self, condition, what):
        await wait_until(self.clock, condition, TIMEOUT, what)

    async def until_written(self):
        """Wait until the last answer is with the kernel and its connection is closed."""

        def is_written():
            connections = self.factory.connections
            return not connections or self.connection.close_rank is CloseRank.IDLE

        await self.until(is_written, "close")

    async def read(self):
        """Return what the caller reads until the connection ends, and whether it was reset."""
        return await deferToThread(self._read)

    def _read(self):
        parts = []
        try:
            while part := self.caller.recv(65_536):
                parts.append(part)
        except ConnectionResetError:
            return b"".join(parts), True
        return b"".join(parts), False


@pytest.fixture
def server(real_clock):
    """Yield a server, which is stopped after the test."""
    server = Server(real_clock)
    yield server
    server.caller.close()
    server.port.stopListening()
    for connection in list(server.factory.connections):
        connection.transport.abortConnection()


@pytest_twisted.ensureDeferred
async def test_request_behind_the_last_answer_of_a_stopping_server_does_not_cut_it_off(server):
    # The answer was lost to the reset that the request behind it caused.
    await server.receive(b"1")
    server.factory.is_stopping = True
    server.requests[0].respond(200, [], WHOLE)
    await server.until_written()
    server.caller.sendall(get(b"2"))
    received, was_reset = await server.read()
    assert received.endswith(WHOLE) and not was_reset
    assert len(server.requests) == 1


@pytest_twisted.ensureDeferred
async def test_request_on_a_connection_that_is_closed_as_idle_does_not_cut_off_an_answer(server):
    await server.receive(b"1")
    server.requests[0].respond(200, [], WHOLE)
    await server.until_written()
    server.connection._close()
    await server.until_written()
    server.caller.sendall(get(b"2"))
    received, was_reset = await server.read()
    assert received.endswith(WHOLE) and not was_reset


@pytest_twisted.ensureDeferred
async def test_answer_that_breaks_off_leaves_the_one_before_whole(server):
    # The reset of the second answer took the first one, which the caller hadn't read.
    await server.receive(b"1", b"2")
    server.requests[0].respond(200, [], WHOLE)
    server.requests[1].begin(200, [], 1000)
    server.requests[1].write(b"part")
    server.requests[1].abort_response()
    received, _ = await server.read()
    first, _, rest = received.partition(WHOLE)
    assert first.startswith(b"HTTP/1.1 200") and rest.endswith(b"part")


@pytest.mark.parametrize("request_head", [b"HEAD /2 HTTP/1.1", b"GET /2 HTTP/1.0"])
@pytest_twisted.ensureDeferred
async def test_answer_whose_end_only_the_connection_shows_is_reset(server, request_head):
    await server.receive(b"1")
    server.requests[0].respond(200, [], b"fine")
    server.caller.sendall(request_head + b"\r\nHost: h.example\r\n\r\n")
    await server.until(lambda: len(server.requests) == 2, "request")
    server.requests[1].begin(200, [], None)
    server.requests[1].write(b"part")
    server.requests[1].abort_response()
    _, was_reset = await server.read()
    assert was_reset


@pytest.mark.parametrize("end", ["caller closes", "time is over", "connections are short"])
@pytest_twisted.ensureDeferred
async def test_closed_connection_does_not_stay(server, end):
    await server.receive(b"1")
    server.factory.is_stopping = True
    server.requests[0].respond(200, [], b"fine")
    await server.until_written()
    if end == "caller closes":
        server.caller.close()
    elif end == "connections are short":
        assert server.connection.close_for_others()
    await server.until(lambda: not server.factory.connections, "end")
