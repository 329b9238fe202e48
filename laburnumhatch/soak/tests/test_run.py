"""Tests of the fault plans, and a short soak run of the real daemons with a fixed seed."""

from datetime import timedelta
from random import Random

import pytest_twisted
from twisted.internet import reactor

from ...clocks import ReactorClock, boot_seconds
from ..faults import FAULT_WEIGHTS
from ..run import plan_faults, run_soak

SEED = 7
DURATION = timedelta(seconds=6)


def test_a_seed_always_gives_the_same_plan():
    plan = plan_faults(Random(5), DURATION)
    assert plan == plan_faults(Random(5), DURATION)
    assert all(starts_at < DURATION for starts_at, _ in plan)


def test_every_fault_is_drawn_by_some_seed():
    drawn = {fault for seed in range(100) for _, fault in plan_faults(Random(seed), DURATION)}
    assert drawn == set(FAULT_WEIGHTS)


@pytest_twisted.ensureDeferred
async def test_a_run_of_the_daemons_has_no_findings(tmp_path):
    clock = ReactorClock(reactor, boot_seconds)
    result = await run_soak(reactor, clock, SEED, DURATION, tmp_path)
    assert result.findings == ()
    assert result.answered_count > 0
    assert result.grant_count > 0
