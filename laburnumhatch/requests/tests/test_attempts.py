"""Tests of the attempts of one request: retries, leases and limits."""

from datetime import timedelta

import pytest
import pytest_twisted

from ...ownership import Owner
from .conftest import kind, until

SECOND = timedelta(seconds=1)
SET = kind("set", "PUT", is_repeatable=False)
VIEW = kind("view", "GET")
REFUSED_UNRUN = b"HTTP/1.1 503 Busy\r\nRun: no\r\nContent-Length: 0\r\n"


def _after(head, body=b""):
    return lambda sent: sent.answer(head + b"\r\n" + body)


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
    assert bench.targets.reports == [(note, "loft-1"), ("answer", "loft-2")]


@pytest_twisted.ensureDeferred
async def test_declined_request_is_refused_at_once_without_budget(bench):
    first, _ = bench.server("loft-1"), bench.server("loft-2")
    bench.route(SET)
    first.script = [_after(REFUSED_UNRUN + b"Retry-After: 3\r\n")]
    caller = await bench.caller()
    bench.paths[0]._context.retry_budget.balance = 0.0
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
    # The second attempt did not run, but the first may have run.
    assert (await caller.answer()).refusal == (401, "unknown")
    assert ("refused", "loft-2") in bench.targets.reports


@pytest_twisted.ensureDeferred
async def test_request_whose_lease_expires_in_the_queue_is_not_sent(bench):
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
async def test_suspended_process_sends_nothing_after_lease_or_deadline(bench, pause, code):
    server = bench.server("loft-1")
    bench.route(kind("set", "PUT", deadline=timedelta(hours=1)), owned=True)
    bench.ownership.owner = Owner("lofts", 3, "loft-1", 7, 20 * SECOND)
    bench.ownership.is_current = lambda owner: bench.clock.now() < owner.expires
    caller = await bench.caller()
    caller.send("PUT")
    await until(lambda: bench.paths[0].in_flight)
    # The clock advances while no timer runs, as in a process that continues after SIGCONT.
    bench.clock.reactor.rightNow += pause
    answer = await caller.answer()
    assert answer.refusal == (code, "no")
    assert not server.requests and not bench.ownership.started


@pytest.mark.parametrize(
    ("fencing", "renewed", "cut"),
    [(False, False, True), (False, True, False), (True, False, False)],
)
@pytest_twisted.ensureDeferred
async def test_call_ends_with_the_lease_if_the_upstream_checks_no_tokens(
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
async def test_call_to_a_frozen_target_ends_in_time_to_try_another(bench):
    first, second = bench.server("loft-1"), bench.server("loft-2")
    bench.route(VIEW)
    second.script = [lambda sent: sent.answer()]
    caller = await bench.caller()
    caller.send(Deadline_Ms=1000)
    await until(lambda: first.requests)
    bench.clock.advance(SECOND / 2)
    bench.clock.advance(SECOND / 10)
    assert (await caller.answer()).body == b"ok"
    assert ("silence", "loft-1") in bench.targets.reports


@pytest_twisted.ensureDeferred
async def test_full_queue_and_moving_key_are_refused_with_retry_after(bench):
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
