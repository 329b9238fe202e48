"""Tests of claims of idempotency keys made through two instances."""

import json

import pytest
import pytest_twisted
from twisted.internet.defer import CancelledError, Deferred

from ...storage import OutcomeUnknown, Row
from ..claims import HeldClaim, claim_request, claim_row_key
from .conftest import kind, until

# Reactor iterations within which an instance without pending work would be drained.
TURNS = 100
SET = kind("set", "PUT", is_repeatable=False)


async def _two_entries(bench):
    bench.entry()
    bench.entry()
    return [await bench.caller(entry) for entry in range(2)]


@pytest.mark.parametrize("fault", [{}, {"lost_replies": 1}, {"lost_writes": 1}])
@pytest_twisted.ensureDeferred
async def test_key_reused_through_another_instance_runs_once(bench, table, fault):
    server = bench.server("till-1")
    bench.route(SET)
    server.script = [lambda sent: sent.answer()]
    first, second = await _two_entries(bench)
    for name, value in fault.items():
        setattr(table, name, value)
    first.send("PUT", body=b"doves", Idempotency_Key="k1")
    assert (await first.answer()).status == 200
    second.send("PUT", body=b"doves", Idempotency_Key="k1")
    answer = await second.answer()
    assert answer.refusal == (106, "yes") and b"answered 200" in answer.body
    assert len(server.requests) == 1


@pytest_twisted.ensureDeferred
async def test_key_of_a_request_in_flight_is_refused_as_unknown(bench):
    server = bench.server("till-1")
    bench.route(SET)
    first, second = await _two_entries(bench)
    first.send("PUT", Idempotency_Key="k1")
    await until(lambda: server.requests)
    second.send("PUT", Idempotency_Key="k1")
    assert (await second.answer()).refusal == (106, "unknown")
    assert len(server.requests) == 1


@pytest.mark.parametrize(("body", "path"), [(b"hens", "/lofts/rosa"), (b"doves", "/lofts/other")])
@pytest_twisted.ensureDeferred
async def test_key_of_a_different_request_is_refused_as_not_run(bench, body, path):
    server = bench.server("till-1")
    bench.route(SET)
    server.script = [lambda sent: sent.answer()]
    first, second = await _two_entries(bench)
    first.send("PUT", body=b"doves", Idempotency_Key="k1")
    await first.answer()
    second.send("PUT", path, body, Idempotency_Key="k1")
    assert (await second.answer()).refusal == (106, "no")
    assert len(server.requests) == 1


@pytest_twisted.ensureDeferred
async def test_key_of_a_request_that_provably_did_not_run_can_be_reused(bench, table):
    server = bench.server("till-1")
    bench.route(SET)
    shed = b"HTTP/1.1 503 Busy\r\nRun: no\r\nContent-Length: 0\r\n\r\n"
    server.script = [lambda sent: sent.answer(shed), lambda sent: sent.answer()]
    first, second = await _two_entries(bench)
    bench.paths[0]._context.retry_budget.balance = 0.0
    first.send("PUT", Idempotency_Key="k1")
    assert (await first.answer()).refusal == (402, "no")
    second.send("PUT", Idempotency_Key="k1")
    assert (await second.answer()).body == b"ok"


@pytest.mark.parametrize("fault", [{"down": True}, {"lost_writes": 9}])
@pytest_twisted.ensureDeferred
async def test_nothing_is_sent_while_the_claim_cannot_be_confirmed(bench, table, fault):
    server = bench.server("till-1")
    bench.route(SET, kind("view", "GET"))
    server.script = [lambda sent: sent.answer()]
    for name, value in fault.items():
        setattr(table, name, value)
    caller = await bench.caller()
    caller.send("PUT", Idempotency_Key="k1")
    assert (await caller.answer()).refusal == (206, "no")
    # A repeatable request needs no claim.
    caller.send("GET", Idempotency_Key="k1")
    assert (await caller.answer()).body == b"ok"
    assert len(server.requests) == 1


@pytest_twisted.ensureDeferred
async def test_drain_waits_until_a_claim_is_settled(bench, table):
    server = bench.server("till-1")
    bench.route(SET)
    caller = await bench.caller()
    caller.send("PUT", Idempotency_Key="k1")
    await until(lambda: server.requests)
    write, answered = table.write, Deferred()

    async def late_write(*args):
        await answered
        return await write(*args)

    table.write = late_write
    bench.paths[0].stop_accepting()
    drained = bench.paths[0].when_drained()
    server.requests[0].answer()
    assert (await caller.answer()).status == 200
    turns = iter(range(TURNS))
    await until(lambda: next(turns, None) is None)
    assert not drained.called
    answered.callback(None)
    await drained
    assert b"answered" in next(iter(table.rows.values())).value


def test_write_that_takes_effect_late_is_recognised_as_own(table):
    row_key = claim_row_key("till", "deposit", "k1")
    table.lost_replies = 1
    reads = table.read

    async def absent_once(key):
        # The write has not yet taken effect when the row is first read.
        row = table.rows.pop(key)
        found = await reads(key)
        table.rows[key] = row
        return found

    table.read = absent_once
    held = Deferred.fromCoroutine(claim_request(table, row_key, "f", "r1")).result
    assert isinstance(held, HeldClaim) and held.version == 1
    assert table.rows[row_key].writer == "r1"


def test_row_holds_no_part_of_the_request(table):
    row_key = claim_row_key("till", "deposit", "secret-key")
    Deferred.fromCoroutine(claim_request(table, row_key, "f", "r1"))
    row = table.rows[row_key]
    assert isinstance(row, Row) and "secret" not in row_key
    assert set(json.loads(row.value)) == {"fingerprint", "request_id", "state", "status"}


@pytest_twisted.ensureDeferred
async def test_claim_that_outlasts_the_deadline_is_refused_at_once_and_released_later(bench, table):
    server = bench.server("till-1")
    bench.route(SET)
    server.script = [lambda sent: sent.answer()]
    first, second = await _two_entries(bench)
    pending = []

    def slow(call):
        async def wait_and_call(*arguments):
            pending.append(Deferred())
            try:
                await pending[-1]
            except CancelledError:
                return OutcomeUnknown("the wait was cancelled")
            return await call(*arguments)

        return wait_and_call

    write, read = table.write, table.read
    table.write, table.read = slow(write), slow(read)
    first.send("PUT", Idempotency_Key="k1")
    await until(lambda: bench.paths[0].in_flight == 1)
    bench.clock.advance(SET.deadline)
    assert (await first.answer()).refusal[1] == "no"
    bench.paths[0].stop_accepting()
    drained = bench.paths[0].when_drained()
    table.write, table.read = write, read
    turns = iter(range(TURNS))
    await until(lambda: next(turns, None) is None)
    assert not drained.called
    pending[0].callback(None)
    await drained
    second.send("PUT", Idempotency_Key="k1")
    assert (await second.answer()).body == b"ok"
    assert len(server.requests) == 1
