"""Tests of the verdicts against known violations."""

from dataclasses import replace
from datetime import timedelta

import pytest

from ...results import RunStatus
from ..history import ServerRun
from ..traffic import Call, CallPlan, longest_gap
from ..verdict import common_verdicts, gap_verdict, idempotency_claim_verdict

SECOND = timedelta(seconds=1)
VIEW = CallPlan("lofts", "view", "rosa", "GET", "/lofts/rosa/views", True)
RESERVE = CallPlan("lofts", "reserve", "rosa", "POST", "/lofts/rosa/reservations", False, True)


def _call(plan, number, done, status=200, run=None, own=True):
    path, end = f"{plan.path}/{number}", done * SECOND
    code = None if run is None else 401
    return Call(plan, path, "entry-1", end, end, status, code, run, "", own and status == 200)


def _run(call, server="loft-1", epoch=1, start=0.0):
    begin = start * SECOND
    key = call.plan.key
    return ServerRun("lofts", key, server, call.path, epoch, begin, begin + SECOND / 2)


CALLS = [_call(VIEW, 1, 1), _call(VIEW, 2, 2), _call(RESERVE, 3, 3)]
RUNS = [_run(call, start=n) for n, call in enumerate(CALLS)]
REFUSED = _call(RESERVE, 4, 4, status=503, run=RunStatus.NO)


def _broken(calls, runs):
    return [
        n for n, verdict in enumerate(common_verdicts(calls, runs, "lofts")) if not verdict.holds
    ]


@pytest.mark.parametrize(
    ("calls", "runs", "broken"),
    [
        (CALLS, RUNS, []),
        (CALLS, [*RUNS, replace(RUNS[0], server="loft-2")], [0]),
        (CALLS, [*RUNS, _run(CALLS[0], epoch=0, start=9)], [1]),
        (CALLS, [*RUNS, _run(CALLS[2], start=9)], [2]),
        ([*CALLS, REFUSED], [*RUNS, _run(REFUSED, start=9)], [3]),
        ([*CALLS, REFUSED], RUNS, []),
        ([*CALLS, _call(VIEW, 5, 5, own=False)], RUNS, [4]),
    ],
)
def test_each_violation_breaks_only_its_verdict(calls, runs, broken):
    assert _broken(calls, runs) == broken


@pytest.mark.parametrize(("bound", "held"), [(2, False), (3, True)])
def test_gap_extends_to_the_end_and_ignores_refusals(bound, held):
    calls = [_call(VIEW, 1, 1), _call(VIEW, 2, 2), _call(VIEW, 3, 3, status=503, run=RunStatus.NO)]
    assert longest_gap(calls, 0 * SECOND, 5 * SECOND) == (3 * SECOND, "lofts/view/rosa")
    assert gap_verdict("p", calls, 0 * SECOND, 5 * SECOND, bound * SECOND).holds is held


@pytest.mark.parametrize(
    ("calls", "held"),
    [
        ([REFUSED, CALLS[2]], True),
        ([REFUSED, _call(RESERVE, 5, 5, status=503, run=RunStatus.UNKNOWN)], False),
        ([REFUSED, _call(RESERVE, 5, 5, status=0)], False),
        ([CALLS[0]], False),
    ],
)
def test_call_with_idempotency_key_must_be_answered_or_refused_as_not_run(calls, held):
    assert idempotency_claim_verdict(calls, 0 * SECOND, 9 * SECOND).holds is held
