"""Tests of the request path over real connections, with a clock that only tests advance."""

from datetime import timedelta

import pytest
import pytest_twisted

from .conftest import OK, kind, until

SECOND = timedelta(seconds=1)
SET = kind("set", "PUT", is_repeatable=False)
VIEW = kind("view", "GET")
TRACE = "0af7651916cd43dd8448eb211c80319c"


def _after(head, body=b""):
    return lambda sent: sent.answer(head + b"\r\n" + body)


@pytest_twisted.ensureDeferred
async def test_request_and_answer_are_forwarded_completely_with_their_headers(bench):
    server = bench.server("loft-1")
    bench.route(SET, owned=True)
    server.script = [
        _after(b"HTTP/1.1 201 Made\r\nEtag: 1\r\nRun: yes\r\nContent-Length: 3\r\n", b"yes")
    ]
    caller = await bench.caller()
    fields = {"Deadline-Ms": 900, "Connection": "x-hop", "X-Hop": 1, "Fencing-Token": 99}
    caller.send(
        "PUT", "/lofts/rosa?x=1", b"doves", **fields, Traceparent=f"00-{TRACE}-b7ad6b7169203331-01"
    )
    answer = await caller.answer()
    assert (answer.status, answer.body, answer.header(b"etag")) == (201, b"yes", b"1")
    assert answer.header(b"run") is None
    (sent,) = server.requests
    assert sent.body == b"doves" and sent.head.startswith(b"PUT /lofts/rosa?x=1 HTTP/1.1")
    expected = {
        b"host": b"loft.example",
        b"ownership-slot": b"3",
        b"fencing-token": b"7",
        b"deadline-ms": b"900",
        b"x-forwarded-for": b"127.0.0.1",
        b"x-hop": None,
        b"request-id": answer.header(b"request-id"),
    }
    assert {name: sent.header(name) for name in expected} == expected
    assert TRACE.encode() in sent.header(b"traceparent")
    assert len(bench.ownership.started) == len(bench.ownership.ended) == 1


@pytest.mark.parametrize(
    ("method", "head", "length"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", b"5"),
        ("GET", b"HTTP/1.1 204 Empty\r\n", None),
        ("GET", b"HTTP/1.1 304 Same\r\nContent-Length: 5\r\n", None),
    ],
)
@pytest_twisted.ensureDeferred
async def test_answers_without_a_body_leave_both_connections_usable(bench, method, head, length):
    server = bench.server("loft-1")
    bench.route(VIEW)
    server.script = [_after(head), _after(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", b"ok")]
    caller = await bench.caller()
    caller.send(method)
    await until(lambda: caller.received.endswith(b"\r\n\r\n"))
    assert (b"Content-Length: 5" in caller.received) == (length is not None)
    assert b"chunked" not in caller.received
    caller.received.clear()
    caller.send()
    assert (await caller.answer()).body == b"ok"
    assert len(server.connections) == 1


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"])
@pytest_twisted.ensureDeferred
async def test_broken_call_is_retried_only_if_the_kind_is_repeatable(bench, part):
    first, second = bench.server("loft-1"), bench.server("loft-2")
    bench.route(SET, VIEW)
    first.script = [lambda sent: sent.reset(part)] * 2
    second.script = [lambda sent: sent.answer()] * 2
    caller = await bench.caller()
    caller.send("PUT", body=b"doves")
    assert (await caller.answer()).refusal == (404, "unknown")
    assert (len(first.requests), len(second.requests)) == (1, 0)
    caller.send("GET")
    await until(lambda: len(bench.records) == 2)
    bench.clock.advance(SECOND)
    assert (await caller.answer()).body == b"ok"
    assert second.requests[0].head.startswith(b"GET")


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhalf",
    ],
)
@pytest_twisted.ensureDeferred
async def test_truncated_answer_is_never_delivered_as_complete(bench, part):
    server = bench.server("loft-1")
    bench.route(VIEW)
    server.script = [lambda sent: sent.answer(part)]
    caller = await bench.caller()
    caller.send()
    await until(lambda: b"half" in caller.received)
    server.requests[0].connection.transport.loseConnection()
    await until(lambda: caller.lost)
    assert not caller.received.endswith(b"0\r\n\r\n")
    assert b"Content-Length: 4" not in caller.received
    assert bench.records[0].run == "unknown" and bench.paths[0].in_flight == 0


@pytest_twisted.ensureDeferred
async def test_answer_after_the_deadline_is_not_delivered(bench):
    server = bench.server("loft-1")
    bench.route(SET)
    caller = await bench.caller()
    caller.send("PUT", Deadline_Ms=100)
    await until(lambda: server.requests)
    bench.clock.advance(SECOND)
    assert (await caller.answer()).refusal == (403, "unknown")
    await until(lambda: server.cancellations)
    (late,) = server.requests
    assert late.header(b"request-id") in server.cancellations[0].head
    late.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
    server.script = [lambda sent: sent.answer()]
    caller.send("PUT")
    assert (await caller.answer()).body == b"ok"
    assert ("silence", "loft-1") in bench.targets.reports


@pytest.mark.parametrize(
    "answer",
    [
        OK + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
        OK + b"HTTP/1.1 200 O",
    ],
)
@pytest_twisted.ensureDeferred
async def test_bytes_after_an_answer_are_not_used_for_another_request(bench, answer):
    server = bench.server("loft-1")
    bench.route(VIEW)
    server.script = [lambda sent: sent.answer(answer), lambda sent: sent.answer()]
    caller = await bench.caller()
    for _ in range(2):
        caller.send()
        assert (await caller.answer()).body == b"ok"
    assert len(server.connections) == 2
    assert bench.paths[0]._context.metrics.dropped_answers["unmatched"] == 1


@pytest_twisted.ensureDeferred
async def test_answer_that_names_another_request_is_refused(bench):
    server = bench.server("loft-1")
    bench.route(SET)
    server.script = [_after(b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n")]
    caller = await bench.caller()
    caller.send("PUT")
    assert (await caller.answer()).refusal == (404, "unknown")


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"2000"])
@pytest_twisted.ensureDeferred
async def test_status_that_http_does_not_define_does_not_reach_the_caller(bench, status):
    # Twisted takes any number for a status and passes it on.
    server = bench.server("loft-1")
    bench.route(SET)
    server.script = [_after(b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n", b"ok")]
    caller = await bench.caller()
    caller.send("PUT")
    answer = await caller.answer()
    assert (answer.status, answer.refusal) == (502, (404, "unknown"))
    assert bench.paths[0].in_flight == 0


@pytest_twisted.ensureDeferred
async def test_disconnect_of_the_caller_cancels_its_upstream_call(bench):
    server = bench.server("loft-1")
    bench.route(SET, owned=True)
    caller = await bench.caller()
    caller.send("PUT")
    await until(lambda: server.requests)
    caller.transport.abortConnection()
    await until(lambda: server.connections[0].lost and server.cancellations)
    assert not bench.ownership.ended
    server.cancellations[0].answer()
    await until(lambda: bench.ownership.ended)
    assert bench.records[0].run == "unknown"


@pytest_twisted.ensureDeferred
async def test_unconfirmed_cancellation_holds_the_slot_until_its_lease_ends(bench):
    server = bench.server("loft-1")
    bench.route(SET, owned=True)
    caller = await bench.caller()
    caller.send("PUT", Deadline_Ms=100)
    await until(lambda: server.requests)
    bench.clock.advance(SECOND)
    await caller.answer()
    bench.clock.advance(50 * SECOND)
    assert not bench.ownership.ended
    bench.clock.advance(10 * SECOND)
    assert len(bench.ownership.ended) == 1


@pytest.mark.parametrize(
    ("fields", "body", "code"),
    [
        ({"X-Long": "x" * 20_000}, b"", 103),
        ({f"X-{n}": "x" * 500 for n in range(40)}, b"", 103),
        ({}, b"x" * 101, 104),
        ({"Deadline-Ms": "soon"}, b"", 105),
        ({"Deadline-Ms": "0"}, b"", 205),
        ({"Idempotency-Key": "x" * 256}, b"", 109),
    ],
)
@pytest_twisted.ensureDeferred
async def test_requests_beyond_the_limits_are_refused_unrun(bench, fields, body, code):
    server = bench.server("loft-1")
    bench.route(kind("set", "PUT", is_repeatable=False, body_limit_bytes=100))
    caller = await bench.caller()
    caller.send("PUT", body=body, **fields)
    assert (await caller.answer()).refusal == (code, "no")
    assert not server.requests


@pytest_twisted.ensureDeferred
async def test_chunked_body_that_grows_too_large_is_refused(bench):
    server = bench.server("loft-1")
    bench.route(kind("set", "PUT", is_repeatable=False, body_limit_bytes=100))
    caller = await bench.caller()
    caller.send("PUT", Transfer_Encoding="chunked")
    caller.transport.write(b"3\r\nabc\r\n")
    await until(lambda: server.connections and b"abc" in server.connections[0].buffer)
    caller.transport.write(b"65\r\n" + b"x" * 101 + b"\r\n0\r\n\r\n")
    assert (await caller.answer()).refusal == (104, "unknown")
    await until(lambda: server.connections[0].lost and caller.lost)
    assert b"0\r\n\r\n" not in server.connections[0].buffer.split(b"abc")[1]


@pytest_twisted.ensureDeferred
async def test_stop_finishes_requests_in_flight_and_refuses_new_ones(bench):
    server = bench.server("loft-1")
    bench.route(SET)
    busy, idle, silent = [await bench.caller() for _ in range(3)]
    busy.send("PUT")
    await until(lambda: server.requests)
    path = bench.paths[0]
    path.stop_accepting()
    drained = path.when_drained()
    idle.send("PUT")
    answer = await idle.answer()
    assert (answer.refusal, answer.header(b"connection")) == ((202, "no"), b"close")
    assert not drained.called
    server.requests[0].answer()
    answer = await busy.answer()
    assert (answer.body, answer.header(b"connection")) == (b"ok", b"close")
    await drained
    assert path.in_flight == 0 and not path.factory().connections
    await until(lambda: busy.lost and silent.lost)
