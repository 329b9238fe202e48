"""Parsing of many small parts gives way to the other connections of the event loop."""

from types import SimpleNamespace

import pytest

from ...fleet import CallerLimits
from ..inbound import CallerFactory
from ..outbound import MAX_EVENTS_PER_TURN

CHUNK = b"1\r\nx\r\n"
COUNT = 10_000
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nid: a1\r\ntransfer-encoding: chunked\r\n\r\n"
REQUEST_HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"


def is_reading(transport):
    return transport.producerState == "producing"


def test_small_chunks_are_parsed_in_turns(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(ANSWER_HEAD + CHUNK * COUNT + b"0\r\n\r\n")
    lengths = [len(receiver.body)]
    while not receiver.is_complete:
        assert not is_reading(upstream.transport)
        assert upstream.run_turn()
        lengths.append(len(receiver.body))
    steps = [after - before for before, after in zip([0, *lengths], lengths, strict=False)]
    assert max(steps) <= MAX_EVENTS_PER_TURN and receiver.body == b"x" * COUNT
    assert is_reading(upstream.transport) and upstream.idle == [upstream.connection]


@pytest.mark.parametrize("end", ["close", "reset"])
def test_answer_that_has_arrived_is_delivered_if_its_connection_ends(upstream, end):
    receiver = upstream.send_request()
    upstream.send_bytes(ANSWER_HEAD + CHUNK * COUNT + b"0\r\n\r\n")
    getattr(upstream, end)()
    assert receiver.is_complete and receiver.body == b"x" * COUNT
    upstream.run_turn()


def test_paused_connection_takes_no_turns(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(ANSWER_HEAD + CHUNK * COUNT + b"0\r\n\r\n")
    upstream.connection.pause()
    before = len(receiver.body)
    while upstream.run_turn():
        pass
    assert len(receiver.body) == before
    upstream.connection.resume()
    while upstream.run_turn():
        pass
    assert receiver.is_complete and is_reading(upstream.transport)


def test_aborted_connection_takes_no_turns(upstream):
    receiver = upstream.send_request()
    upstream.send_bytes(ANSWER_HEAD + CHUNK * COUNT)
    before = len(receiver.body)
    upstream.connection.abort()
    upstream.run_turn()
    assert len(receiver.body) == before and not upstream.turns


@pytest.fixture
def handled(clock, new_transport):
    """Return the requests that a connection has handled, and the connection."""
    requests = []
    connection = CallerFactory(clock, requests.append, CallerLimits).buildProtocol(None)
    connection.makeConnection(new_transport())
    return requests, connection


def test_small_chunks_of_a_caller_are_parsed_in_turns(clock, handled):
    requests, connection = handled
    turns = []
    connection.factory.clock = SimpleNamespace(
        now=clock.now,
        call_later=lambda delay, action, *args: turns.append(action)
        or clock.call_later(delay, action, *args),
    )
    connection.dataReceived(REQUEST_HEAD + CHUNK * COUNT + b"0\r\n\r\n")
    assert not requests and not is_reading(connection.transport)
    clock.reactor.advance(0)
    assert len(turns) >= COUNT // MAX_EVENTS_PER_TURN
    assert bytes(requests[0].body) == b"x" * COUNT and is_reading(connection.transport)


def test_pipelined_requests_are_handled_in_turns_and_in_order(clock, handled):
    requests, connection = handled
    connection.factory.handle = lambda request: (
        requests.append(request.target),
        request.respond(200, [], b""),
    )
    heads = [b"GET /%d HTTP/1.1\r\nhost: h\r\n\r\n" % n for n in range(200)]
    connection.dataReceived(b"".join(heads))
    assert 0 < len(requests) < MAX_EVENTS_PER_TURN
    while len(requests) < 200:
        clock.reactor.advance(0)
    assert requests == [b"/%d" % n for n in range(200)] and is_reading(connection.transport)
