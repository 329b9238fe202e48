"""Tests that each check finds a violation of its guarantee and accepts correct behaviour."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from ...clocks import milliseconds
from ...platform.standin.upstream import LeasedRange
from ..checks import STORE, PromiseChecks, planned_stop
from ..record import Call, Disturbances, Outcome


class Scene:
    """Checks with simulated upstreams."""

    def __init__(self):
        self.now = timedelta(seconds=100)
        self.disturbances = Disturbances()
        self.upstreams = {name: self.upstream(name) for name in ("u1", "u2")}
        self.checks = PromiseChecks(
            lambda: self.now, self.disturbances, lambda: self.upstreams.values()
        )

    @staticmethod
    def upstream(name):
        return SimpleNamespace(name=name, service="lofts", is_up=True, leased_ranges=[])

    def call(self, request_id="r1", is_repeatable=False, sent=None, boot="i1/1"):
        call = Call(request_id, "confirm", "/x", b"b", is_repeatable, "i1", boot, sent or self.now)
        self.checks.sent(call)
        return call

    def run(self, request_id="r1", upstream="u1", path="/x", body=b"b"):
        self.checks.on_run_started(self.upstreams[upstream], request_id, path, body)

    def answer(self, call, status, is_own=True, after_ms=0):
        at = self.now + milliseconds(after_ms)
        self.checks.answered(call, Outcome(at, status, is_own))

    def grant(self, upstream, first, last, fencing_token, for_ms, is_new=True):
        granted_range = LeasedRange(first, last, fencing_token, self.now + milliseconds(for_ms))
        self.upstreams[upstream].leased_ranges.append(granted_range)
        self.checks.on_grant_applied(self.upstreams[upstream], granted_range, is_new)

    @property
    def rules(self):
        return [finding.rule for finding in self.checks.findings]


@pytest.fixture
def scene():
    """Return checks of two upstreams without findings."""
    return Scene()


def test_a_call_that_runs_once_and_is_answered_breaks_nothing(scene):
    call = scene.call()
    scene.run()
    scene.checks.on_run_ended(scene.upstreams["u1"], "r1")
    scene.answer(call, 200)
    assert scene.rules == []


def test_a_second_run_is_found(scene):
    scene.call()
    scene.run()
    scene.run(upstream="u2")
    assert scene.rules == ["TWICE"]


def test_a_second_run_of_a_repeatable_call_is_allowed(scene):
    scene.call(is_repeatable=True)
    scene.run()
    scene.run(upstream="u2")
    assert scene.rules == []


@pytest.mark.parametrize("changed", [{"request_id": "r2"}, {"path": "/y"}, {"body": b""}])
def test_a_run_that_nobody_asked_for_is_found(scene, changed):
    scene.call()
    scene.run(**changed)
    assert scene.rules == ["UNASKED"]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_of_what_has_run_is_found(scene, status):
    call = scene.call()
    scene.run()
    scene.answer(call, status)
    assert scene.rules == ["REFUSED"]


def test_a_run_after_a_refusal_is_found(scene):
    call = scene.call()
    scene.answer(call, 503)
    scene.run()
    assert scene.rules == ["REFUSED"]


def test_another_answer_is_found(scene):
    scene.answer(scene.call(), 200, is_own=False)
    assert scene.rules == ["MIXED"]


def test_two_holders_are_found(scene):
    scene.grant("u1", 0, 99, 1, 1000)
    scene.grant("u2", 50, 60, 3, 1000)
    assert scene.rules == ["OWNER"]


def test_a_token_below_that_of_another_is_found(scene):
    scene.grant("u1", 0, 99, 5, -1000)
    scene.grant("u2", 0, 99, 4, 1000)
    assert scene.rules == ["OWNER"]


def test_a_grant_after_the_end_of_the_last_lease_is_allowed(scene):
    scene.grant("u1", 0, 99, 1, 1000)
    scene.now += milliseconds(1001)
    scene.grant("u2", 0, 99, 3, 1000)
    assert scene.rules == []


def test_a_request_to_an_upstream_that_left_is_found(scene):
    scene.checks.left("u1")
    scene.now += milliseconds(2001)
    scene.call()
    scene.checks.on_request_arrived(scene.upstreams["u1"], "r1")
    assert scene.rules == ["DRAIN"]


@pytest.mark.parametrize("part", [STORE, "i1", planned_stop("i1")])
def test_what_is_disturbed_is_not_bound_to_know_of_leaving_upstreams(scene, part):
    scene.checks.left("u1")
    scene.now += milliseconds(2001)
    scene.disturbances.touch(part, scene.now)
    scene.call()
    scene.checks.on_request_arrived(scene.upstreams["u1"], "r1")
    assert scene.rules == []


def test_an_answer_that_a_sound_instance_loses_is_found(scene):
    call = scene.call()
    scene.run()
    scene.checks.on_run_ended(scene.upstreams["u1"], "r1")
    scene.disturbances.begin(planned_stop("i1"))
    scene.answer(call, 0, after_ms=501)
    assert scene.rules == ["LOST"]


@pytest.mark.parametrize("part", ["i1", "u1"])
def test_an_answer_that_is_lost_by_a_fault_breaks_nothing(scene, part):
    call = scene.call()
    scene.run()
    scene.checks.on_run_ended(scene.upstreams["u1"], "r1")
    scene.disturbances.begin(part)
    scene.answer(call, 0, after_ms=501)
    assert scene.rules == []


def test_an_old_version_is_found_once_the_new_one_is_due(scene):
    scene.checks.configured()
    scene.checks.configured()
    scene.now += milliseconds(2001)
    scene.checks.probed(scene.call(), 1, 200)
    scene.checks.probed(scene.call(boot="i1/2"), 2, 404)
    assert scene.rules == ["CONFIG", "CONFIG"]


def test_an_old_version_is_allowed_until_the_new_one_is_due(scene):
    scene.checks.configured()
    scene.checks.configured()
    scene.now += milliseconds(1999)
    scene.checks.probed(scene.call(), 1, 200)
    assert scene.rules == []


def test_a_version_that_is_taken_back_is_found_in_any_case(scene):
    scene.checks.configured()
    scene.checks.configured()
    scene.disturbances.begin("i1")
    scene.checks.probed(scene.call(), 2, 200)
    scene.now += milliseconds(251)
    scene.checks.probed(scene.call(), 1, 200)
    assert scene.rules == ["CONFIG"]


def test_an_end_and_a_lasting_loss_are_found(scene):
    scene.checks.process_ended("i1/1", 1)
    scene.checks.not_restored("view")
    assert scene.rules == ["ENDED", "RECOVER"]
