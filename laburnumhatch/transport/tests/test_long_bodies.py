"""Long bodies are held once and forwarded no faster than their receivers read.

What is held for a request is given back however the request ends.
"""

import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from ...clocks import milliseconds
from ...fleet import CallerLimits
from ..inbound import MAX_DISCARD_TIME, CallerFactory
from ..memory_budget import MEBIBYTE, STREAM_WINDOW_BYTES, HeldKind, MemoryBudget
from ..outbound import FailureKind
from ..request_body import PART_BYTES, RequestBody

LONG = 40 * PART_BYTES
ANSWER = b"HTTP/1.1 200 OK\r\nid: a1\r\ncontent-length: 5\r\n\r\nhello"
LIMIT = 16 * MEBIBYTE


def body_of(length, budget=None, *, is_streamed=False):
    """Return a complete body."""
    body = RequestBody(length, budget, is_streamed=is_streamed)
    for _ in range(length // PART_BYTES):
        body.append(b"x" * PART_BYTES)
    body.complete()
    return body


# Connections to upstreams.


@pytest.mark.parametrize("is_streamed", [False, True])
def test_body_is_written_as_its_upstream_reads(slow_upstream, is_streamed):
    slow_upstream.send_request(method=b"POST", body=body_of(LONG, is_streamed=is_streamed))
    while slow_upstream.transport.let_peer_read():
        pass
    sent = slow_upstream.transport.value()
    assert sent.endswith(b"\r\n\r\n" + b"x" * LONG)
    assert slow_upstream.transport.most_unread_bytes <= 3 * PART_BYTES
    slow_upstream.send_bytes(ANSWER)
    assert slow_upstream.idle == [slow_upstream.connection]


def test_streamed_body_is_written_as_it_arrives(upstream):
    body = RequestBody(6, is_streamed=True)
    receiver = upstream.send_request(method=b"POST", body=body)
    assert upstream.transport.value().endswith(b"content-length: 6\r\n\r\n")
    for part in (b"abc", b"def"):
        body.append(part)
        assert upstream.transport.value().endswith(part)
    body.complete()
    upstream.send_bytes(ANSWER)
    assert receiver.is_complete and upstream.idle == [upstream.connection]


def test_connection_with_the_rest_of_a_body_to_send_is_not_used_again(slow_upstream):
    receiver = slow_upstream.send_request(method=b"POST", body=body_of(LONG))
    slow_upstream.send_bytes(ANSWER)
    assert receiver.is_complete and receiver.body == b"hello"
    assert not slow_upstream.idle and slow_upstream.transport.is_aborted


def test_answer_to_another_request_does_not_disturb_the_body(slow_upstream):
    receiver = slow_upstream.send_request(method=b"POST", body=body_of(LONG))
    slow_upstream.send_bytes(ANSWER.replace(b"a1", b"a0"))
    while slow_upstream.transport.let_peer_read():
        pass
    assert slow_upstream.transport.value().endswith(b"x" * LONG)
    slow_upstream.send_bytes(ANSWER)
    assert receiver.is_complete and slow_upstream.idle == [slow_upstream.connection]


@pytest.mark.parametrize("is_streamed", [False, True])
@pytest.mark.parametrize("end", ["whole", "early", "reset", "abort", "garbled"])
def test_body_is_given_back_however_its_attempt_ends(slow_upstream, end, is_streamed):
    budget = MemoryBudget(LIMIT)
    body = body_of(LONG, budget, is_streamed=is_streamed)
    receiver = slow_upstream.send_request(method=b"POST", body=body)
    if end == "whole":
        while slow_upstream.transport.let_peer_read():
            pass
    elif end == "early":
        slow_upstream.send_bytes(ANSWER)
    elif end == "reset":
        slow_upstream.reset()
        assert receiver.failure.kind is FailureKind.LOST
    elif end == "abort":
        slow_upstream.connection.abort()
    else:
        slow_upstream.send_bytes(b"no HTTP\r\n\r\n")
    assert budget.total
    body.release()
    assert not budget.total
    slow_upstream.transport.let_peer_read()


# Callers' connections.


class Server:
    """Server with a memory budget and one connection."""

    def __init__(self, clock, transport):
        self.clock = clock
        self.memory = MemoryBudget(LIMIT)
        self.requests = []
        self.refused = []
        limits = CallerLimits(max_body_bytes=64 * MEBIBYTE)
        self.factory = CallerFactory(
            clock, self.requests.append, lambda: limits, self.memory, self._refuse
        )
        self.transport = transport
        self.connection = self.factory.buildProtocol(None)
        self.connection.makeConnection(transport)

    def _refuse(self, request):
        self.refused.append(request)
        request.respond(503, [], b"full")

    def receive(self, content):
        """Receive bytes of a request, and parse them to the end."""
        self.connection.dataReceived(content)
        self.clock.reactor.advance(0)

    def lose(self):
        """Lose the connection."""
        self.connection.connectionLost(Failure(ConnectionLost()))

    @property
    def is_reading(self):
        return self.transport.producerState == "producing"


def head(length=None, fields=b""):
    framing = b"transfer-encoding: chunked" if length is None else b"content-length: %d" % length
    return b"POST /a HTTP/1.1\r\nhost: h\r\n%s\r\n%s\r\n" % (framing, fields)


@pytest.fixture
def server(clock, slow_transport):
    return Server(clock, slow_transport)


@pytest.fixture
def full_server(server):
    """Return a server that can take on nothing more."""
    server.memory.add(HeldKind.UNSENT, LIMIT)
    return server


def test_request_with_a_kept_body_is_handled_once_it_is_complete(server):
    server.receive(head(LONG) + b"x" * (LONG - 1))
    assert not server.requests and server.memory.held[HeldKind.LONG_BODY] == LONG
    server.receive(b"x")
    assert bytes(server.requests[0].body) == b"x" * LONG


def test_request_with_a_streamed_body_is_handled_at_once(server):
    server.receive(head(2 * LIMIT) + b"x")
    (request,) = server.requests
    assert request.body.is_streamed and not request.body.is_complete
    assert server.memory.total == STREAM_WINDOW_BYTES


def test_caller_of_a_streamed_body_is_read_no_faster_than_the_upstream_reads(server):
    server.receive(head(2 * LIMIT))
    (request,) = server.requests
    received = 0
    while server.is_reading:
        server.receive(b"x" * PART_BYTES)
        received += PART_BYTES
    assert received <= STREAM_WINDOW_BYTES
    parts = request.body.take_parts()
    while next(parts) is not None:
        pass
    server.clock.reactor.advance(0)
    assert server.is_reading


def test_refused_body_is_not_kept_and_its_caller_gets_the_answer(full_server):
    full_server.receive(head(LONG) + b"x" * PART_BYTES)
    assert full_server.refused and not full_server.requests
    answer = full_server.transport.value()
    assert answer.startswith(b"HTTP/1.1 503") and b"connection: close" in answer.lower()
    assert not full_server.transport.disconnecting and full_server.is_reading
    full_server.receive(b"x" * (LONG - PART_BYTES))
    assert full_server.transport.disconnecting
    assert full_server.memory.total == LIMIT


def test_rest_of_a_refused_body_is_awaited_for_a_limited_time(full_server, clock):
    full_server.receive(head(LONG))
    clock.advance(MAX_DISCARD_TIME + milliseconds(10))
    assert full_server.transport.disconnecting


def test_caller_that_asks_before_it_sends_its_body_sends_none_if_it_is_refused(full_server):
    full_server.receive(head(LONG, b"expect: 100-continue\r\n"))
    assert full_server.transport.value().startswith(b"HTTP/1.1 503")
    assert full_server.transport.disconnecting


def test_caller_that_asks_before_it_sends_its_body_is_told_to_send_it(server):
    server.receive(head(5, b"expect: 100-continue\r\n"))
    assert server.transport.value().startswith(b"HTTP/1.1 100")
    server.receive(b"hello")
    assert bytes(server.requests[0].body) == b"hello"


def test_body_of_unknown_length_is_refused_once_it_does_not_fit(server):
    server.memory.add(HeldKind.UNSENT, LIMIT - MEBIBYTE)
    server.receive(head())
    chunk = b"10000\r\n" + b"x" * PART_BYTES + b"\r\n"
    for _ in range(32):
        server.receive(chunk)
    assert server.refused and not server.requests
    assert server.memory.total == LIMIT - MEBIBYTE


def test_body_beyond_the_operators_limit_gets_its_answer_before_the_close(server):
    server.receive(head(65 * MEBIBYTE) + b"x" * PART_BYTES)
    assert server.transport.value().startswith(b"HTTP/1.1 413")
    assert not server.transport.disconnecting and not server.memory.total


@pytest.mark.parametrize("length", [LONG, 2 * LIMIT])
@pytest.mark.parametrize("end", ["lost", "timeout", "answered", "aborted"])
def test_body_is_given_back_however_its_request_ends(server, clock, length, end):
    server.receive(head(length) + b"x" * PART_BYTES)
    assert server.memory.total
    if end == "lost":
        server.lose()
    elif end == "timeout":
        if server.requests:
            server.requests[0].respond(504, [], b"")
        clock.advance(CallerLimits().idle_timeout + milliseconds(10))
    elif not server.requests:
        server.receive(b"x" * (length - PART_BYTES))
    if end == "answered":
        server.requests[0].respond(200, [], b"fine")
    elif end == "aborted":
        server.requests[0].abort_response()
    assert not server.memory.total


def test_streamed_request_whose_caller_leaves_is_told_so(server):
    server.receive(head(2 * LIMIT) + b"x")
    departures = []
    server.requests[0].on_disconnect = lambda: departures.append(True)
    server.lose()
    assert departures == [True]


GET = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"


def test_next_request_waits_until_its_caller_has_read_the_answers(server):
    server.receive(GET * 100)
    for number in range(100):
        assert len(server.requests) == number + 1
        server.requests[-1].respond(200, [], b"x" * PART_BYTES * 2)
        server.clock.reactor.advance(0)
        assert len(server.requests) == number + 1 and not server.is_reading
        server.transport.let_peer_read()
    assert server.transport.most_unread_bytes < 3 * PART_BYTES


def test_answers_that_callers_do_not_read_are_counted(server):
    server.receive(GET)
    request = server.requests[0]
    request.begin(200, [], None)
    for _ in range(10):
        request.write(b"x" * PART_BYTES)
    assert server.memory.held[HeldKind.UNSENT] >= 8 * PART_BYTES
    server.transport.let_peer_read()
    assert not server.memory.total
    for _ in range(10):
        request.write(b"x" * PART_BYTES)
    server.lose()
    assert not server.memory.total


def test_writer_of_an_answer_is_paused_also_if_it_asks_after_the_first_part(server):
    server.receive(GET)
    request = server.requests[0]
    request.begin(200, [], None)
    request.write(b"x" * PART_BYTES * 2)
    calls = []
    request.throttle(lambda: calls.append("pause"), lambda: calls.append("resume"))
    server.transport.let_peer_read()
    assert calls == ["pause", "resume"]


def test_connection_of_a_caller_that_never_reads_is_closed_after_its_timeouts(server, clock):
    server.receive(GET)
    server.requests[0].respond(200, [], b"x" * PART_BYTES * 2)
    for _ in range(2):
        assert not server.transport.is_aborted
        clock.advance(CallerLimits().idle_timeout + milliseconds(10))
    assert server.transport.is_aborted


MANY_FIELDS = b"a:\r\n" * 2000


def test_many_fields_are_counted_until_the_answer(server):
    server.receive(head(0, MANY_FIELDS))
    assert server.memory.held[HeldKind.FIELDS]
    server.requests[0].respond(200, [], b"")
    assert not server.memory.total


def test_many_fields_that_do_not_fit_are_refused_and_dropped(full_server):
    # Guards against headers of legal size whose fields need a hundred times as many bytes.
    full_server.receive(head(2, MANY_FIELDS))
    (refused,) = full_server.refused
    assert not full_server.requests and not refused.fields
    full_server.lose()
    assert full_server.memory.total == LIMIT


def test_bodies_are_discarded_where_they_are_not_read(server):
    # Guards against bodies that are held for a handler without a use for them.
    server.factory.keeps_bodies = False
    server.receive(head(5) + b"abc")
    assert not server.requests and not server.memory.total
    server.receive(b"de")
    (request,) = server.requests
    assert bytes(request.body) == b""


def test_caller_that_sends_ahead_is_closed_once_input_takes_half_of_the_budget(server):
    # Guards against very many connections whose unparsed input leaves no memory for others.
    server.receive(head(0))
    server.memory.add(HeldKind.INPUT, LIMIT // 2)
    server.receive(head(0))
    assert not server.transport.is_aborted
    server.receive(b"x" * 20_000)
    assert server.transport.is_aborted
    server.lose()
    assert server.memory.total == LIMIT // 2
