"""Tests of the upstream stand-in."""

import hashlib
import json
from datetime import timedelta

import pytest
import pytest_twisted
from twisted.internet import reactor
from twisted.python.failure import Failure
from twisted.web.server import Site

from ...clocks import ReactorClock
from ..caller import Caller, NoAnswer
from ..upstream import leave_all
from ..upstream_app import build_upstream_app
from ..upstream_faults import UpstreamFaults

WORK = timedelta(milliseconds=100)
FULL_FILM = 200_000


def _fault(stub, **faults):
    assert stub.ask("PUT", "/faults", data=json.dumps(faults).encode())[0] == 200


class _Calls:
    """Sends requests and collects their responses as they arrive."""

    def __init__(self, stub, clock):
        self._stub = stub
        self._clock = clock
        self.answers = {}

    def send(self, name, path="/lofts/a/availability", **headers):
        plain = {key.replace("_", "-"): value for key, value in headers.items()}
        call = self._stub.start("POST", path, headers={"Request-Id": name, **plain}, data=b"body")
        call.addBoth(lambda answer: self.answers.update({name: answer}))
        self._stub.flush()
        return call

    def pass_time(self, duration):
        self._clock.advance(duration)
        self._stub.flush()

    def status(self, name):
        answer = self.answers.get(name)
        if answer is None or isinstance(answer, Failure):
            return answer and "failed"
        not_run = answer[1].getRawHeaders("run") == ["no"]
        return (answer[0], "not run") if not_run else answer[0]


@pytest.fixture
def calls(upstream_stub, clock):
    return _Calls(upstream_stub, clock)


def test_slot_then_queue_then_shed(calls, upstream):
    for name in ("a", "b", "c"):
        calls.send(name)
    assert calls.status("c") == (503, "not run")
    assert calls.answers["c"][1].getRawHeaders("retry-after") == ["1"]
    calls.pass_time(WORK)
    calls.pass_time(WORK)
    assert (calls.status("a"), calls.status("b")) == (200, 200)
    times = [(run.request_id, run.ended_ms - run.started_ms) for run in upstream.log.runs]
    assert times == [("a", 100), ("b", 100)]
    assert upstream.queue.idle


def test_echo_tells_the_request_and_counts_runs_of_an_idempotency_key(calls):
    for name in ("a", "b"):
        calls.send(name, "/lofts/b%2F1/x?day=2", Idempotency_Key='"k"')
        calls.pass_time(WORK)
    echo = json.loads(calls.answers["b"][2])
    assert (echo["request_id"], echo["query"], echo["runs"]) == ("b", "day=2", 2)
    assert (echo["key"], echo["body_digest"]) == ("b/1", hashlib.sha256(b"body").hexdigest())


def test_deadline_that_cannot_be_met_is_refused_unrun_also_after_waiting(calls, upstream):
    calls.send("short", Deadline_Ms="99")
    assert calls.status("short") == (503, "not run")
    calls.send("a")
    calls.send("b", Deadline_Ms="150")
    calls.pass_time(WORK)
    assert (calls.status("a"), calls.status("b")) == (200, (503, "not run"))
    assert len(upstream.log.runs) == 1


@pytest.mark.parametrize("by_delete", [True, False])
def test_cancelled_request_frees_its_slot(calls, upstream, upstream_stub, by_delete):
    call = calls.send("a")
    waiting = calls.send("b")
    if by_delete:
        assert upstream_stub.ask("DELETE", "/requests/b")[0] == 200
        assert upstream_stub.ask("DELETE", "/requests/a")[0] == 200
    else:
        waiting.cancel()
        upstream_stub.flush()
        call.cancel()
    upstream_stub.flush()
    assert [run.outcome for run in upstream.log.runs] == ["cancelled"]
    assert upstream.queue.idle
    assert upstream_stub.ask("DELETE", "/requests/a")[0] == 404


def test_drain_finishes_what_runs_and_waits(calls, upstream, upstream_stub):
    left = []
    calls.send("a")
    calls.send("b")
    leave_all([upstream], lambda: left.append(True))
    assert json.loads(upstream_stub.ask("GET", "/health")[2]) == {"state": "draining"}
    calls.send("c")
    assert calls.answers["c"][1].getRawHeaders("draining") == ["yes"]
    calls.pass_time(WORK)
    assert not left
    calls.pass_time(WORK)
    assert (calls.status("a"), calls.status("b"), left) == (200, 200, [True])


def test_frozen_server_answers_nothing_and_then_goes_on(calls, upstream_stub):
    calls.send("a")
    _fault(upstream_stub, frozen=True)
    calls.send("b")
    calls.pass_time(10 * WORK)
    assert (calls.status("a"), calls.status("b")) == (None, None)
    _fault(upstream_stub)
    calls.pass_time(WORK)
    assert (calls.status("a"), calls.status("b")) == (200, 200)


@pytest.mark.parametrize("cut", [False, True])
@pytest.mark.parametrize("path", ["/lofts/a/film?answer_bytes=200000", "/lofts/a/x"])
@pytest_twisted.ensureDeferred
async def test_answer_is_whole_or_visibly_cut(upstream, path, cut):
    upstream.clock = ReactorClock(reactor)
    upstream.faults = UpstreamFaults(cut_answers=int(cut))
    site = Site(build_upstream_app(upstream).resource())
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    caller = Caller(reactor, upstream.clock)
    answer = await caller.send("GET", f"http://127.0.0.1:{port.getHost().port}{path}")
    await caller.close()
    await port.stopListening()
    assert isinstance(answer, NoAnswer) == cut
    if not cut and "film" in path:
        assert len(answer.body) == FULL_FILM
        assert answer.headers["digest-sha256"] == hashlib.sha256(answer.body).hexdigest()


def test_cold_start_refuses_and_is_slow_for_as_long_again(calls, upstream, clock):
    upstream.options = type(upstream.options)("l", "n", 1, 2, False, 1, 10 * WORK, WORK, True)
    calls.send("a")
    assert calls.status("a") == (503, "not run")
    calls.pass_time(10 * WORK)
    calls.send("b")
    calls.pass_time(WORK)
    assert calls.status("b") is None
    calls.pass_time(WORK)
    assert calls.status("b") == 200


def test_readings_lag_and_mislead(calls, upstream_stub):
    def load():
        return json.loads(upstream_stub.ask("GET", "/load")[2])

    _fault(upstream_stub, load_lag_ms=1000)
    assert load() == {"running": 0, "queued": 0, "slots": 1}
    calls.send("a")
    assert load()["running"] == 0
    _fault(upstream_stub, running=7)
    assert load() == {"running": 7, "queued": 0, "slots": 1}
    _fault(upstream_stub, health="draining")
    assert json.loads(upstream_stub.ask("GET", "/health")[2]) == {"state": "draining"}


def test_request_runs_only_under_a_grant_where_tokens_are_checked(calls, upstream, upstream_stub):
    upstream.options = type(upstream.options)("lofts", "n", 1, 2, True, 1, 0 * WORK, WORK, True)
    grant = {"service": "lofts", "grants": [{"first": 3, "last": 5, "epoch": 2}]}
    fenced = {"Ownership_Slot": "4", "Fencing_Token": "2"}
    calls.send("early", **fenced)
    assert calls.status("early") == (409, "not run")
    assert upstream_stub.ask("POST", "/grants", data=json.dumps(grant).encode())[0] == 200
    calls.send("a", **fenced)
    calls.send("waits", **fenced)
    revoked = {"service": "lofts", "revoked": [{"first": 4, "last": 4, "epoch": 2}]}
    assert upstream_stub.ask("POST", "/grants", data=json.dumps(revoked).encode())[0] == 200
    calls.pass_time(WORK)
    # The effects of a run that outlives its grant are discarded.
    assert (calls.status("a"), calls.status("waits")) == ((409, "not run"), (409, "not run"))
    assert calls.answers["waits"][1].getRawHeaders("fencing-token") == ["3"]
    status, _, body = upstream_stub.ask("POST", "/grants", data=json.dumps(grant).encode())
    refused = {"accepted": False, "epoch": 3, **upstream.clock_reading()}
    assert (status, json.loads(body)) == (409, refused)
