"""Tests of the path of a request over real connections; time stands still unless moved."""

from datetime import timedelta

import pytest
import pytest_twisted

from ...ownership import Owner
from .conftest import OK, kind, until

SECOND = timedelta(seconds=1)
SET = kind("set", "PUT", repeatable=False)
VIEW = kind("view", "GET")
TRACE = "0af7651916cd43dd8448eb211c80319c"
REFUSED_UNRUN = b"HTTP/1.1 503 Busy\r\nRun: no\r\nContent-Length: 0\r\n"


def _after(head, body=b""):
    return lambda sent: sent.answer(head + b"\r\n" + body)


@pytest_twisted.ensureDeferred
async def test_request_and_answer_pass_whole_with_their_headers(bench):
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
async def test_broken_call_is_repeated_only_where_the_kind_may_be(bench, part):
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
async def test_cut_answer_never_looks_whole(bench, part):
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
async def test_late_answer_reaches_nobody(bench):
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
    assert ("silence", "loft-1") in bench.targets.notes


@pytest.mark.parametrize(
    "answer",
    [
        OK + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
        OK + b"HTTP/1.1 200 O",
    ],
)
@pytest_twisted.ensureDeferred
async def test_bytes_after_an_answer_answer_no_other_request(bench, answer):
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


@pytest_twisted.ensureDeferred
async def test_caller_that_leaves_cancels_its_upstream_call(bench):
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
    bench.route(kind("set", "PUT", repeatable=False, body_limit=100))
    caller = await bench.caller()
    caller.send("PUT", body=body, **fields)
    assert (await caller.answer()).refusal == (code, "no")
    assert not server.requests


@pytest_twisted.ensureDeferred
async def test_chunked_body_that_grows_too_large_is_refused(bench):
    server = bench.server("loft-1")
    bench.route(kind("set", "PUT", repeatable=False, body_limit=100))
    caller = await bench.caller()
    caller.send("PUT", Transfer_Encoding="chunked")
    caller.transport.write(b"3\r\nabc\r\n")
    await until(lambda: server.connections and b"abc" in server.connections[0].buffer)
    caller.transport.write(b"65\r\n" + b"x" * 101 + b"\r\n0\r\n\r\n")
    assert (await caller.answer()).refusal == (104, "unknown")
    await until(lambda: server.connections[0].lost and caller.lost)
    assert b"0\r\n\r\n" not in server.connections[0].buffer.split(b"abc")[1]


@pytest.mark.parametrize(
    ("declines", "note"), [(b"Retry-After: 1\r\n", "answer"), (b"Draining: yes\r\n", "draining")]
)
@pytest_twisted.ensureDeferred
async def test_declined_request_goes_to_another_target(bench, declines, note):
    first, second = bench.server("loft-1"), bench.server("loft-2")
    bench.route(SET)
    first.script = [_after(REFUSED_UNRUN + declines)]
    second.script = [lambda sent: sent.answer()]
    caller = await bench.caller()
    caller.send("PUT", body=b"doves")
    await until(lambda: bench.records)
    bench.clock.advance(SECOND)
    assert (await caller.answer()).body == b"ok"
    assert second.requests[0].body == b"doves"
    assert bench.targets.notes == [(note, "loft-1"), ("answer", "loft-2")]


@pytest_twisted.ensureDeferred
async def test_declined_request_is_refused_at_once_without_budget(bench):
    first, _ = bench.server("loft-1"), bench.server("loft-2")
    bench.route(SET)
    first.script = [_after(REFUSED_UNRUN + b"Retry-After: 3\r\n")]
    caller = await bench.caller()
    bench.paths[0]._context.budget.balance = 0.0
    caller.send("PUT")
    answer = await caller.answer()
    assert (answer.refusal, answer.header(b"retry-after")) == ((402, "no"), b"3")


@pytest_twisted.ensureDeferred
async def test_fenced_request_goes_to_the_new_owner(bench):
    first, second = bench.server("loft-1"), bench.server("loft-2")
    bench.route(SET, owned=True, fencing=True)

    def move(sent):
        bench.ownership.owner = Owner("lofts", 3, "loft-2", 8, 60 * SECOND)
        sent.answer(
            b"HTTP/1.1 409 Fenced\r\nRun: no\r\nFencing-Token: 8\r\nContent-Length: 0\r\n\r\n"
        )

    first.script, second.script = [move], [lambda sent: sent.answer()]
    caller = await bench.caller()
    caller.send("PUT")
    await until(lambda: bench.records)
    bench.clock.advance(SECOND)
    assert (await caller.answer()).body == b"ok"
    assert second.requests[0].header(b"fencing-token") == b"8"


@pytest_twisted.ensureDeferred
async def test_refusal_counts_every_attempt(bench):
    first, second = bench.server("loft-1"), bench.server("loft-2")
    bench.route(VIEW)
    await second.stop()
    first.script = [lambda sent: sent.reset()]
    caller = await bench.caller()
    caller.send()
    await until(lambda: bench.records)
    bench.clock.advance(SECOND)
    # The second attempt was not run, but the first may have been.
    assert (await caller.answer()).refusal == (401, "unknown")
    assert ("refused", "loft-2") in bench.targets.notes


@pytest_twisted.ensureDeferred
async def test_lease_that_lapses_in_the_queue_sends_nothing(bench):
    server = bench.server("loft-1")
    bench.route(SET, owned=True, slots=1, connections=1)
    callers = [await bench.caller() for _ in range(2)]
    for caller in callers:
        caller.send("PUT")
    await until(lambda: server.requests and bench.paths[0].in_flight == 2)
    bench.ownership.current = False
    server.requests[0].answer()
    answers = [await caller.answer() for caller in callers]
    assert sorted(answer.status for answer in answers) == [200, 503]
    assert [a.refusal for a in answers if a.status == 503] == [(302, "no")]
    assert len(server.requests) == 1


@pytest.mark.parametrize(("pause", "code"), [(30, 302), (7200, 205)])
@pytest_twisted.ensureDeferred
async def test_process_that_was_paused_sends_nothing(bench, pause, code):
    server = bench.server("loft-1")
    bench.route(kind("set", "PUT", deadline=timedelta(hours=1)), owned=True)
    bench.ownership.owner = Owner("lofts", 3, "loft-1", 7, 20 * SECOND)
    bench.ownership.is_current = lambda owner: bench.clock.now() < owner.expires
    caller = await bench.caller()
    caller.send("PUT")
    await until(lambda: bench.paths[0].in_flight)
    # The clock moves on, and no timer has run yet: so a process finds itself after SIGCONT.
    bench.clock.reactor.rightNow += pause
    answer = await caller.answer()
    assert answer.refusal == (code, "no")
    assert not server.requests and not bench.ownership.started


@pytest.mark.parametrize(
    ("fencing", "renewed", "cut"),
    [(False, False, True), (False, True, False), (True, False, False)],
)
@pytest_twisted.ensureDeferred
async def test_call_ends_with_the_lease_where_the_upstream_checks_no_tokens(
    bench, fencing, renewed, cut
):
    server = bench.server("loft-1")
    bench.route(SET, owned=True, fencing=fencing)
    bench.ownership.owner = Owner("lofts", 3, "loft-1", 7, SECOND)
    caller = await bench.caller()
    caller.send("PUT")
    await until(lambda: server.requests)
    if renewed:
        bench.ownership.owner = Owner("lofts", 3, "loft-1", 7, 60 * SECOND)
    bench.clock.advance(SECOND)
    if cut:
        assert (await caller.answer()).refusal == (403, "unknown")
    else:
        server.requests[0].answer()
        assert (await caller.answer()).body == b"ok"


@pytest_twisted.ensureDeferred
async def test_frozen_target_leaves_time_for_another(bench):
    first, second = bench.server("loft-1"), bench.server("loft-2")
    bench.route(VIEW)
    second.script = [lambda sent: sent.answer()]
    caller = await bench.caller()
    caller.send(Deadline_Ms=1000)
    await until(lambda: first.requests)
    bench.clock.advance(SECOND / 2)
    bench.clock.advance(SECOND / 10)
    assert (await caller.answer()).body == b"ok"
    assert ("silence", "loft-1") in bench.targets.notes


@pytest_twisted.ensureDeferred
async def test_full_queue_and_moving_key_are_refused_with_a_time_to_come_back(bench):
    server = bench.server("loft-1")
    bench.route(kind("set", "PUT", queue_limit=2), owned=True, slots=1, connections=1)
    callers = [await bench.caller() for _ in range(3)]
    for count, caller in enumerate(callers, 1):
        caller.send("PUT")
        await until(lambda count=count: bench.paths[0].in_flight == count or callers[-1].received)
    answer = await callers[-1].answer()
    assert (answer.refusal, answer.header(b"retry-after")) == ((203, "no"), b"1")
    bench.ownership.owner = None
    callers[-1].send("PUT")
    answer = await callers[-1].answer()
    assert (answer.refusal, answer.header(b"retry-after")) == ((303, "no"), b"2")
    assert len(server.requests) == 1


@pytest_twisted.ensureDeferred
async def test_stop_finishes_what_is_in_flight_and_refuses_the_rest(bench):
    server = bench.server("loft-1")
    bench.route(SET)
    busy, idle, silent = [await bench.caller() for _ in range(3)]
    busy.send("PUT")
    await until(lambda: server.requests)
    path = bench.paths[0]
    path.stop_accepting()
    drained = path.drained()
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


class _Film:
    """Pull producer that counts what it wrote."""

    def __init__(self, transport, size):
        self.transport, self.left, self.written = transport, size, 0
        transport.registerProducer(self, False)

    def resumeProducing(self):
        chunk = min(65_536, self.left)
        if not chunk:
            self.transport.unregisterProducer()
            return
        self.left -= chunk
        self.written += chunk
        self.transport.write(b"x" * chunk)

    def stopProducing(self):
        pass


async def _until_it_stalls(film):
    seen, turns = -1, 0
    while turns < 200:
        turns = turns + 1 if film.written == seen else 0
        seen = film.written
        await until(iter([False, True]).__next__)


FILM = 32 * 2**20


@pytest_twisted.ensureDeferred
async def test_slow_reader_holds_the_upstream_back(bench):
    server = bench.server("media-1")
    bench.route(VIEW)
    films = []

    def play(sent):
        sent.answer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % FILM)
        films.append(_Film(sent.connection.transport, FILM))

    server.script = [play]
    caller = await bench.caller()
    caller.transport.pauseProducing()
    caller.send()
    await until(lambda: films)
    await _until_it_stalls(films[0])
    assert films[0].written < FILM / 2
    caller.transport.resumeProducing()
    assert len((await caller.answer()).body) == FILM


@pytest_twisted.ensureDeferred
async def test_slow_upstream_holds_an_upload_back(bench):
    server = bench.server("media-1")
    server.paused = True
    bench.route(kind("store", "PUT", body_limit=FILM))
    server.script = [lambda sent: sent.answer()]
    caller = await bench.caller()
    caller.send("PUT", Content_Length=FILM)
    film = _Film(caller.transport, FILM)
    await until(lambda: server.connections)
    await _until_it_stalls(film)
    assert film.written < FILM / 2
    server.connections[0].transport.resumeProducing()
    assert (await caller.answer()).body == b"ok"
    assert len(server.requests[0].body) == FILM


@pytest_twisted.ensureDeferred
async def test_upload_that_breaks_off_is_not_whole_at_the_upstream(bench):
    server = bench.server("media-1")
    bench.route(kind("store", "PUT"))
    caller = await bench.caller()
    caller.send("PUT", Transfer_Encoding="chunked")
    caller.transport.write(b"4\r\nhalf\r\n")
    await until(lambda: server.connections and b"half" in server.connections[0].buffer)
    caller.transport.abortConnection()
    await until(lambda: server.connections[0].lost)
    assert not server.connections[0].buffer.endswith(b"0\r\n\r\n")
