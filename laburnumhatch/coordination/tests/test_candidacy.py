"""Members try to lead one after the other, strong machines first."""

import random
from datetime import timedelta

import pytest

from ...clocks import milliseconds
from ..candidacy import RETURN_DELAY, Candidacy
from ..leadership import LeaderRecord, Leadership, LeadershipTiming, encode_leader
from ..store import StoredRow
from ..store_clock import StoreClock

TIMING = LeadershipTiming()
START = timedelta(seconds=100)
STEP = milliseconds(20)
NEVER = timedelta(days=-1)


@pytest.fixture
def make_candidacy():
    """Return a function that makes a candidacy for a vacant leadership."""

    def make(*, cores=1.0, link_mbps=100.0, instance_count=8, has_led=True, seed=1):
        leadership = Leadership("a/1", TIMING, StoreClock(), is_first_start=True)
        record = LeaderRecord("b/1", "127.0.0.1", 1, 1, has_resigned=True)
        row = StoredRow("leader", encode_leader(record), 1) if has_led else None
        leadership.observe_row(row, START)
        candidacy = Candidacy(leadership, TIMING, cores, link_mbps, lambda: instance_count)
        candidacy.random_source = random.Random(seed)
        return candidacy

    return make


def first_attempt(candidacy):
    """Return how long a candidacy waits before its first attempt."""
    now = START
    while not candidacy.may_try_now(now, is_able=True, last_tried_at=NEVER):
        now += STEP
    return now - START


def test_few_strong_machines_try_at_once(make_candidacy):
    assert first_attempt(make_candidacy()) == timedelta()


def test_attempts_of_many_machines_are_spread(make_candidacy):
    waits = {first_attempt(make_candidacy(instance_count=200, seed=n)) for n in range(20)}
    assert len(waits) > 10
    assert max(waits) <= milliseconds(500)


@pytest.mark.parametrize(("has_led", "wait_ms"), [(True, 600), (False, 2400)])
def test_weak_machines_leave_the_first_attempt_to_others(make_candidacy, has_led, wait_ms):
    assert first_attempt(make_candidacy(cores=0.4, has_led=has_led)) == milliseconds(wait_ms)


def test_narrow_links_leave_the_first_attempt_to_others(make_candidacy):
    # The first messages of a new leader filled its link for seconds, so that it lost its streams.
    narrow = [make_candidacy(link_mbps=15.0, instance_count=67, seed=n) for n in range(20)]
    wide = [make_candidacy(link_mbps=100.0, instance_count=67, seed=n) for n in range(20)]
    assert max(map(first_attempt, wide)) < min(map(first_attempt, narrow))
    assert first_attempt(make_candidacy(link_mbps=15.0)) == timedelta()


def test_attempts_after_an_outage_are_spread_by_when_it_is_noticed_only(make_candidacy):
    for seed in range(20):
        candidacy, now = make_candidacy(instance_count=200, seed=seed), START
        while not candidacy.may_try_now(
            now, is_able=True, last_tried_at=NEVER, store_available_since=START
        ):
            now += STEP
        assert now - START == RETURN_DELAY


def test_attempts_are_repeated_after_a_random_time(make_candidacy):
    candidacy, now = make_candidacy(), START
    assert candidacy.may_try_now(now, is_able=True, last_tried_at=NEVER)
    tried_at = now
    while not candidacy.may_try_now(now, is_able=True, last_tried_at=tried_at):
        now += STEP
    interval = TIMING.takeover_retry_interval
    assert interval <= now - tried_at <= 2 * interval


def test_member_that_can_not_lead_does_not_try(make_candidacy):
    assert not make_candidacy().may_try_now(START, is_able=False, last_tried_at=NEVER)


def test_nobody_tries_while_a_leader_may_have_authority(make_candidacy):
    candidacy = make_candidacy()
    record = LeaderRecord("b/1", "127.0.0.1", 1, 2, has_resigned=False)
    candidacy._leadership.observe_row(StoredRow("leader", encode_leader(record), 2), START)
    end = START + TIMING.authority_duration + TIMING.clock_margin
    assert not candidacy.may_try_now(end, is_able=True, last_tried_at=NEVER)
    assert candidacy.may_try_now(end + STEP, is_able=True, last_tried_at=NEVER)
