"""Answers that don't end, come twice or belong to nobody: bounded memory and truthful results."""

import pytest

from ...clocks import milliseconds
from ...coordination.messages import RelayPeer
from ...platform.headers import ATTEMPT_ID, NOT_RUN, SEAL
from ..exchange import MAX_DISCARDED_BYTES
from ..relay import MAX_BUFFERED_BYTES
from .conftest import make_routes

CHUNK = b"x" * 4096
ROUTE_TIMEOUT = make_routes().routes_by_host["h.example"][0].timeout
# Time after the route's timeout within which its caller must have a final answer.
FINAL_ANSWER_WITHIN = milliseconds(500)


def send_endless_body(call, status, fields, limit):
    """Send parts of a body until the call is aborted, and return the number of bytes."""
    call.receiver.on_header(status, [(ATTEMPT_ID, b"a1"), *fields], None)
    sent = 0
    while not call.is_aborted and sent < limit:
        call.receiver.on_body(CHUNK)
        sent += len(CHUNK)
    return sent


def buffered_bytes(harness):
    (exchange,) = harness.gateway._exchanges
    return len(exchange._relay._buffer)


def test_endless_success_without_a_seal_is_given_up(harness):
    request = harness.send_request(path=b"/unsafe/x")
    call = harness.pool.last
    sent = send_endless_body(call, 200, (), 100 * MAX_BUFFERED_BYTES)
    assert sent <= MAX_DISCARDED_BYTES + len(CHUNK)
    assert call.is_aborted and request.status == 502


def test_endless_refusal_counts_as_not_run(harness):
    request = harness.send_request(path=b"/unsafe/x")
    first = harness.pool.last
    send_endless_body(first, 503, [(NOT_RUN, b"1")], 100 * MAX_BUFFERED_BYTES)
    assert first.is_aborted
    harness.pool.last.succeed()
    assert request.status == 200 and request.content == b"fine"


def test_nothing_of_a_body_that_is_not_delivered_is_kept(harness):
    harness.send_request(path=b"/unsafe/x")
    harness.pool.last.receiver.on_header(200, [(ATTEMPT_ID, b"a1")], None)
    harness.pool.last.receiver.on_body(CHUNK)
    assert buffered_bytes(harness) == 0


def test_endless_failure_of_the_upstream_is_not_buffered(harness):
    request = harness.send_request(path=b"/unsafe/x")
    send_endless_body(harness.pool.last, 500, [(SEAL, b"s")], 4 * MAX_BUFFERED_BYTES)
    assert buffered_bytes(harness) == 0
    assert request.status == 500 and not request.is_complete


def test_one_byte_parts_take_no_more_memory_than_their_bytes(harness):
    harness.send_request()
    receiver = harness.pool.last.receiver
    receiver.on_header(200, [(ATTEMPT_ID, b"a1"), (SEAL, b"s")], None)
    for _ in range(1000):
        receiver.on_body(b"x")
    (exchange,) = harness.gateway._exchanges
    assert isinstance(exchange._relay._buffer, bytearray)


def assert_stream_ends_after(clock, request, call, remaining):
    clock.advance(remaining)
    assert not call.is_aborted and not request.is_truncated
    clock.advance(FINAL_ANSWER_WITHIN)
    assert call.is_aborted and request.is_truncated and not request.is_complete


@pytest.mark.parametrize("path", [b"/safe/x", b"/unsafe/x", b"/keyed/x"])
def test_endless_stream_ends_at_the_timeout_of_its_route(harness, clock, path):
    harness.set_owner("u3")
    request = harness.send_request(path)
    call = harness.pool.last
    send_endless_body(call, 200, [(SEAL, b"s")], 2 * MAX_BUFFERED_BYTES)
    assert_stream_ends_after(clock, request, call, ROUTE_TIMEOUT)
    assert harness.gateway.in_flight == 0


def test_stream_that_begins_late_ends_at_the_timeout_of_its_route(harness, clock):
    request = harness.send_request()
    call = harness.pool.last
    remaining = milliseconds(1)
    clock.advance(ROUTE_TIMEOUT - remaining)
    send_endless_body(call, 200, [(SEAL, b"s")], 2 * MAX_BUFFERED_BYTES)
    assert_stream_ends_after(clock, request, call, remaining)


def test_stream_is_not_broken_off_at_a_deadline_of_its_caller(harness, clock):
    request = harness.send_request(deadline_ms=300)
    call = harness.pool.last
    send_endless_body(call, 200, [(SEAL, b"s")], 2 * MAX_BUFFERED_BYTES)
    assert_stream_ends_after(clock, request, call, ROUTE_TIMEOUT)


def test_endless_stream_of_another_instance_ends_at_the_timeout_of_its_route(harness, clock):
    gateway = harness.gateway
    gateway.link_monitor.unreachable = frozenset({"plain"})
    gateway.relays.choose = lambda service, tried: RelayPeer("p/1", "127.0.0.1", 7000, "d", ())
    request = harness.send_request()
    call = harness.pool.last
    assert call.address == ("127.0.0.1", 7000)
    send_endless_body(call, 200, [(SEAL, b"s")], 2 * MAX_BUFFERED_BYTES)
    assert_stream_ends_after(clock, request, call, ROUTE_TIMEOUT)


def test_endless_stream_ends_when_the_caller_leaves(harness):
    request = harness.send_request()
    call = harness.pool.last
    send_endless_body(call, 200, [(SEAL, b"s")], 2 * MAX_BUFFERED_BYTES)
    request.on_disconnect()
    assert call.is_aborted


def test_answer_to_a_caller_that_left_is_waited_for_until_the_deadline(harness, clock):
    request = harness.send_request(b"/unsafe/x")
    call = harness.pool.last
    request.on_disconnect()
    assert call.is_dropped
    clock.advance(ROUTE_TIMEOUT)
    assert not call.is_aborted
    clock.advance(FINAL_ANSWER_WITHIN)
    assert call.is_aborted


def test_request_is_not_sent_again_on_a_connection_that_carried_it(harness):
    harness.send_request()
    first = harness.pool.last
    first.decline()
    assert harness.pool.excluded == {first}


@pytest.mark.parametrize("response_id", [b"a0", b"a2"])
def test_answer_with_an_identifier_is_no_answer_to_a_request_without_one(harness, response_id):
    harness.send_request(has_identifier=False)
    matches = harness.pool.last.request.matches_response
    assert not matches(200, [(ATTEMPT_ID, response_id)])
    assert matches(400, [(NOT_RUN, b"1")])
