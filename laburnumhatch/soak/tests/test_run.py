"""Tests of the fault plans, and a short soak run of the real daemons with a fixed seed."""

from datetime import timedelta
from random import Random

import pytest_twisted
from twisted.internet import reactor

from ...clocks import ReactorClock, boot_seconds
from ..faults import FAULTS
from ..run import plan_faults, run_soak

SEED = 7
DURATION = timedelta(seconds=6)


def test_a_seed_brings_the_same_faults():
    first = plan_faults(Random(5), DURATION)
    assert first == plan_faults(Random(5), DURATION)
    assert all(at < DURATION for at, _ in first)


def test_every_fault_is_drawn_by_some_seed():
    drawn = {what for seed in range(100) for _, what in plan_faults(Random(seed), DURATION)}
    assert drawn == set(FAULTS)


@pytest_twisted.ensureDeferred
async def test_the_daemons_keep_their_promises(tmp_path):
    clock = ReactorClock(reactor, boot_seconds)
    result = await run_soak(reactor, clock, SEED, DURATION, tmp_path)
    assert result.findings == ()
    assert result.answered > 0
    assert result.grants > 0
