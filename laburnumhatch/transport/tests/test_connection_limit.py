"""Connections that are closed for others: in which order, and what is left alone."""

import pytest

from ...clocks import milliseconds
from ...fleet import CallerLimits
from ..connection_limit import ConnectionLimit
from ..inbound import MAX_REQUESTS_AHEAD, CallerFactory
from ..memory_budget import HeldKind, MemoryBudget

LIMIT = 16
SHORT, FULL, LAST = 12, 14, 15
GET = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"


class Server:
    """Server with a limit on its connections; records its requests for the test to answer."""

    def __init__(self, clock, new_transport):
        self.clock, self._new_transport = clock, new_transport
        self.outbound_count = 0
        self.requests, self.refused = [], []
        self.memory = MemoryBudget()
        self.limit = ConnectionLimit(LIMIT, lambda: self.outbound_count)
        self.factory = CallerFactory(
            clock,
            self.requests.append,
            CallerLimits,
            self.memory,
            self._refuse,
            MAX_REQUESTS_AHEAD,
            connection_limit=self.limit,
        )

    def _refuse(self, request):
        self.refused.append(request)
        request.respond(503, [], b"full")

    def connect(self, content=b""):
        """Open a connection that sends something; return it, or None if it isn't accepted."""
        connection = self.factory.buildProtocol(None)
        if connection is not None:
            connection.makeConnection(self._new_transport())
            if content:
                connection.dataReceived(content)
            self.clock.advance(milliseconds(1))
        return connection


@pytest.fixture
def server(clock, new_transport):
    return Server(clock, new_transport)


def closed(*connections):
    return [connection.is_closed for connection in connections]


def test_nothing_is_closed_before_connections_are_short(server):
    connections = [server.connect() for _ in range(SHORT)]
    assert not any(closed(*connections))


def test_connections_that_wait_are_closed_before_those_with_a_request(server):
    # Guards against silent callers that keep all others out.
    handled, unfinished = server.connect(GET), server.connect(GET[:9])
    ahead, first_idle, second_idle = server.connect(GET + GET), server.connect(), server.connect()
    server.outbound_count = SHORT - 5
    assert server.connect()
    assert closed(handled, unfinished, ahead, first_idle, second_idle) == [0, 0, 0, 1, 0]
    for _ in range(4):
        server.limit.may_accept()
    assert closed(handled, unfinished, ahead, second_idle) == [0, 1, 1, 1]
    server.limit.may_accept()
    assert not handled.is_closed and server.limit.closed_count == 5


def test_caller_is_not_accepted_while_connections_that_are_closed_still_count(server):
    server.outbound_count = FULL
    assert server.connect() is None


def test_request_is_refused_if_no_connection_is_left_for_it(server):
    connection = server.connect()
    server.outbound_count = LAST
    connection.dataReceived(GET)
    assert server.refused and not server.requests


def test_no_request_is_begun_behind_another_while_connections_are_short(server):
    server.outbound_count = SHORT
    connection = server.connect(GET + GET)
    assert len(server.requests) == 1 and server.memory.held[HeldKind.INPUT] == len(GET)
    server.requests[0].respond(200, [], b"")
    assert len(server.requests) == 2 and not server.memory.held[HeldKind.INPUT]
    assert not connection.is_closed
