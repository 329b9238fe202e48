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
from ..caller import Caller, RequestFailure
from ..upstream import drain_all
from ..upstream_app import build_upstream_app
from ..upstream_faults import UpstreamFaults

WORK = timedelta(milliseconds=100)
STREAM_BYTES = 200_000


def _set_faults(stub, **faults):
    assert stub.request("PUT", "/faults", data=json.dumps(faults).encode())[0] == 200


class _Calls:
    """Sends requests and collects their responses as they arrive."""

    def __init__(self, stub, clock):
        self._stub = stub
        self._clock = clock
        self.answers = {}

    def send(self, name, path="/lofts/a/availability", **headers):
        plain = {key.replace("_", "-"): value for key, value in headers.items()}
        call = self._stub.send_async(
            "POST", path, headers={"Request-Id": name, **plain}, data=b"body"
        )
        call.addBoth(lambda answer: self.answers.update({name: answer}))
        self._stub.flush()
        return call

    def advance_time(self, duration):
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


def test_requests_run_then_wait_then_are_refused(calls, upstream):
    for name in ("a", "b", "c"):
        calls.send(name)
    assert calls.status("c") == (503, "not run")
    assert calls.answers["c"][1].getRawHeaders("retry-after") == ["1"]
    calls.advance_time(WORK)
    calls.advance_time(WORK)
    assert (calls.status("a"), calls.status("b")) == (200, 200)
    times = [(run.request_id, run.ended_ms - run.started_ms) for run in upstream.run_log.runs]
    assert times == [("a", 100), ("b", 100)]
    assert upstream.queue.is_idle


def test_response_echoes_request_and_run_count_of_idempotency_key(calls):
    for name in ("a", "b"):
        calls.send(name, "/lofts/b%2F1/x?day=2", Idempotency_Key='"k"')
        calls.advance_time(WORK)
    echo = json.loads(calls.answers["b"][2])
    assert (echo["request_id"], echo["query"], echo["runs"]) == ("b", "day=2", 2)
    assert (echo["key"], echo["body_digest"]) == ("b/1", hashlib.sha256(b"body").hexdigest())


def test_request_that_cannot_meet_its_deadline_is_refused_on_arrival_and_after_waiting(
    calls, upstream
):
    calls.send("short", Deadline_Ms="99")
    assert calls.status("short") == (503, "not run")
    calls.send("a")
    calls.send("b", Deadline_Ms="150")
    calls.advance_time(WORK)
    assert (calls.status("a"), calls.status("b")) == (200, (503, "not run"))
    assert len(upstream.run_log.runs) == 1


@pytest.mark.parametrize("by_delete", [True, False])
def test_cancelled_request_frees_its_slot(calls, upstream, upstream_stub, by_delete):
    call = calls.send("a")
    waiting = calls.send("b")
    if by_delete:
        assert upstream_stub.request("DELETE", "/requests/b")[0] == 200
        assert upstream_stub.request("DELETE", "/requests/a")[0] == 200
    else:
        waiting.cancel()
        upstream_stub.flush()
        call.cancel()
    upstream_stub.flush()
    assert [run.outcome for run in upstream.run_log.runs] == ["cancelled"]
    assert upstream.queue.is_idle
    assert upstream_stub.request("DELETE", "/requests/a")[0] == 404


def test_drain_finishes_running_and_waiting_requests(calls, upstream, upstream_stub):
    left = []
    calls.send("a")
    calls.send("b")
    drain_all([upstream], lambda: left.append(True))
    assert json.loads(upstream_stub.request("GET", "/health")[2]) == {"state": "draining"}
    calls.send("c")
    assert calls.answers["c"][1].getRawHeaders("draining") == ["yes"]
    calls.advance_time(WORK)
    assert not left
    calls.advance_time(WORK)
    assert (calls.status("a"), calls.status("b"), left) == (200, 200, [True])


def test_frozen_server_holds_requests_until_thawed(calls, upstream_stub):
    calls.send("a")
    _set_faults(upstream_stub, frozen=True)
    calls.send("b")
    calls.advance_time(10 * WORK)
    assert (calls.status("a"), calls.status("b")) == (None, None)
    _set_faults(upstream_stub)
    calls.advance_time(WORK)
    assert (calls.status("a"), calls.status("b")) == (200, 200)


@pytest.mark.parametrize("cut", [False, True])
@pytest.mark.parametrize("path", ["/lofts/a/film?answer_bytes=200000", "/lofts/a/x"])
@pytest_twisted.ensureDeferred
async def test_response_is_complete_or_detectably_truncated(upstream, path, cut):
    upstream.clock = ReactorClock(reactor)
    upstream.faults = UpstreamFaults(cut_answers=int(cut))
    site = Site(build_upstream_app(upstream).resource())
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    caller = Caller(reactor, upstream.clock)
    answer = await caller.send("GET", f"http://127.0.0.1:{port.getHost().port}{path}")
    await caller.close()
    await port.stopListening()
    assert isinstance(answer, RequestFailure) == cut
    if not cut and "film" in path:
        assert len(answer.body) == STREAM_BYTES
        assert answer.headers["digest-sha256"] == hashlib.sha256(answer.body).hexdigest()


def test_cold_start_refuses_requests_then_doubles_their_duration(calls, upstream, clock):
    upstream.options = type(upstream.options)("l", "n", 1, 2, False, 1, 10 * WORK, WORK, True)
    calls.send("a")
    assert calls.status("a") == (503, "not run")
    calls.advance_time(10 * WORK)
    calls.send("b")
    calls.advance_time(WORK)
    assert calls.status("b") is None
    calls.advance_time(WORK)
    assert calls.status("b") == 200


def test_reported_load_and_health_can_be_stale_or_false(calls, upstream_stub):
    def load():
        return json.loads(upstream_stub.request("GET", "/load")[2])

    _set_faults(upstream_stub, load_lag_ms=1000)
    assert load() == {"running": 0, "queued": 0, "slots": 1}
    calls.send("a")
    assert load()["running"] == 0
    _set_faults(upstream_stub, running=7)
    assert load() == {"running": 7, "queued": 0, "slots": 1}
    _set_faults(upstream_stub, health="draining")
    assert json.loads(upstream_stub.request("GET", "/health")[2]) == {"state": "draining"}


def test_fencing_check_refuses_requests_without_a_current_grant(calls, upstream, upstream_stub):
    upstream.options = type(upstream.options)("lofts", "n", 1, 2, True, 1, 0 * WORK, WORK, True)
    grant = {"service": "lofts", "grants": [{"first": 3, "last": 5, "epoch": 2}]}
    fenced = {"Ownership_Slot": "4", "Fencing_Token": "2"}
    calls.send("early", **fenced)
    assert calls.status("early") == (409, "not run")
    assert upstream_stub.request("POST", "/grants", data=json.dumps(grant).encode())[0] == 200
    calls.send("a", **fenced)
    calls.send("waits", **fenced)
    revoked = {"service": "lofts", "revoked": [{"first": 4, "last": 4, "epoch": 2}]}
    assert upstream_stub.request("POST", "/grants", data=json.dumps(revoked).encode())[0] == 200
    calls.advance_time(WORK)
    # The effects of a run that outlives its grant are discarded.
    assert (calls.status("a"), calls.status("waits")) == ((409, "not run"), (409, "not run"))
    assert calls.answers["waits"][1].getRawHeaders("fencing-token") == ["3"]
    status, _, body = upstream_stub.request("POST", "/grants", data=json.dumps(grant).encode())
    refused = {"accepted": False, "epoch": 3, **upstream.clock_reading()}
    assert (status, json.loads(body)) == (409, refused)
