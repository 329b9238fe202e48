"""The gateway holds bounded bytes for others, refuses the rest truthfully, and gives all back."""

import pytest

from ...transport import HeldKind, MemoryBudget, RequestBody
from ..relay import MAX_BUFFERED_BYTES

LIMIT = 4 * 1_048_576
CHUNK = b"x" * 65_536
NOT_RUN = "no"


@pytest.fixture
def memory(harness):
    """Return the memory budget of the gateway, which has a limit."""
    harness.gateway.memory = MemoryBudget(LIMIT)
    return harness.gateway.memory


def streamed_body():
    """Return a streamed body of which a part has been received."""
    body = RequestBody(10 * len(CHUNK), is_streamed=True)
    body.append(CHUNK)
    return body


def send_streamed(harness, path=b"/safe/x"):
    """Send a request with a streamed body, of which the upstream takes the first part."""
    body = streamed_body()
    request = harness.send_request(path, body=body)
    next(harness.pool.last.request.body.take_parts())
    return request


def test_request_that_does_not_fit_is_refused_as_not_run(harness, memory, records):
    memory.add(HeldKind.UNSENT, LIMIT)
    request = harness.new_request(b"/unsafe/x")
    harness.gateway.refuse_for_memory(request)
    assert request.status == 503 and not harness.pool.calls
    assert any(name == b"retry-after" for name, _ in request.answer_fields)
    (record,) = (r for r in records if "refused" in r.message)
    assert f"{LIMIT} bytes are held" in record.message
    assert record.extra["code"] == 207 and record.extra["run"] == NOT_RUN
    assert harness.gateway.metrics.memory_refusals == {"short": 1}


def test_request_whose_body_is_gone_is_not_sent_again(harness):
    request = send_streamed(harness)
    harness.pool.last.lose_connection()
    assert len(harness.pool.calls) == 1 and request.status == 502


def test_declined_request_whose_body_is_gone_is_refused_as_not_run(harness):
    request = send_streamed(harness, b"/unsafe/x")
    harness.pool.last.decline()
    assert len(harness.pool.calls) == 1 and request.status == 503


def test_request_is_sent_again_while_nothing_of_its_body_is_gone(harness):
    request = harness.send_request(body=streamed_body())
    harness.pool.last.decline()
    assert len(harness.pool.calls) == 2
    harness.pool.last.succeed()
    assert request.status == 200


@pytest.mark.parametrize("path", [b"/safe/x", b"/unsafe/x"])
def test_request_whose_caller_leaves_before_its_body_is_complete_is_aborted(harness, path):
    request = send_streamed(harness, path)
    request.on_disconnect()
    assert harness.pool.last.is_aborted


def test_answer_that_is_held_back_is_counted_and_given_back(harness, memory):
    harness.send_request()
    call = harness.pool.last
    call.receiver.on_header(200, call.sealed_fields(), None)
    call.receiver.on_body(CHUNK)
    assert memory.held[HeldKind.ANSWER] == len(CHUNK)
    call.receiver.on_end()
    assert not memory.total


def test_answers_are_streamed_while_memory_is_short(harness, memory):
    memory.add(HeldKind.UNSENT, LIMIT // 2)
    request = harness.send_request()
    call = harness.pool.last
    call.receiver.on_header(200, call.sealed_fields(), None)
    call.receiver.on_body(CHUNK)
    assert request.content == CHUNK and not memory.held[HeldKind.ANSWER]


@pytest.mark.parametrize("path", [b"/safe/x", b"/unsafe/x"])
@pytest.mark.parametrize("length", [1, MAX_BUFFERED_BYTES // len(CHUNK) + 1])
@pytest.mark.parametrize("end", ["whole", "lost", "caller left", "timeout", "instance stops"])
def test_nothing_is_held_after_a_request_however_it_ends(harness, memory, clock, path, length, end):
    request = harness.send_request(path)
    call = harness.pool.last
    call.receiver.on_header(200, call.sealed_fields(), None)
    for _ in range(length):
        call.receiver.on_body(CHUNK)
    if end == "whole":
        call.receiver.on_end()
    elif end == "lost":
        call.lose_connection()
        if harness.pool.last is not call:
            harness.pool.last.succeed()
    elif end == "caller left":
        request.on_disconnect()
    elif end == "timeout":
        clock.reactor.advance(10)
    else:
        harness.gateway.end_requests()
    assert not memory.total and not harness.gateway.in_flight
