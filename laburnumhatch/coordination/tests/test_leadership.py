"""Tests of leader election: when authority begins and ends, and when a successor takes over."""

from datetime import timedelta

import pytest

from ...clocks import milliseconds
from ..leadership import LeaderRecord, Leadership, LeadershipTiming, decode_leader, encode_leader
from ..store import StoredRow, version_in_generation
from ..store_clock import StoreClock

TIMING = LeadershipTiming()
START = timedelta(seconds=100)


def row(member, version, **changes):
    record = LeaderRecord(member, "127.0.0.1", 1, 1, changes.pop("has_resigned", False), **changes)
    return StoredRow("leader", encode_leader(record), version)


@pytest.fixture
def leadership():
    return Leadership("a/1", TIMING, StoreClock(), is_first_start=True)


def test_absent_row_allows_immediate_takeover(leadership):
    assert not leadership.may_take_over(START)
    leadership.observe_row(None, START)
    assert leadership.may_take_over(START)


def test_renewed_row_prevents_takeover(leadership):
    leadership.observe_row(row("b/1", 1), START)
    later = START + TIMING.authority_duration
    assert not leadership.may_take_over(later)
    leadership.observe_row(row("b/1", 2), later)
    assert not leadership.may_take_over(later + TIMING.authority_duration)


def test_unchanged_row_allows_takeover_after_authority_and_clock_margin(leadership):
    leadership.observe_row(row("b/1", 1), START)
    leadership.observe_row(row("b/1", 1), START + milliseconds(1500))
    end = START + TIMING.authority_duration + TIMING.clock_margin
    assert not leadership.may_take_over(end)
    assert leadership.may_take_over(end + milliseconds(1))


def test_resignation_allows_immediate_takeover(leadership):
    leadership.observe_row(row("b/1", 1, has_resigned=True), START)
    assert leadership.may_take_over(START)


def test_authority_starts_when_the_renewal_is_sent(leadership):
    sent = START
    answered = START + milliseconds(700)
    leadership.confirm_write(row("a/1", 5), sent, answered)
    assert leadership.has_authority(sent + TIMING.authority_duration - milliseconds(1))
    assert not leadership.has_authority(sent + TIMING.authority_duration)


def test_row_of_another_leader_ends_leadership(leadership):
    leadership.confirm_write(row("a/1", 5), START, START)
    leadership.observe_row(row("b/1", 6), START)
    assert not leadership.is_leader


def test_older_row_is_ignored(leadership):
    leadership.confirm_write(row("a/1", 5), START, START)
    leadership.observe_row(row("b/1", 4), START)
    assert leadership.is_leader


def test_announced_renewal_postpones_takeover(leadership):
    leadership.observe_row(row("b/1", 1), START)
    leadership.observe_renewal(2, START + milliseconds(1500))
    assert not leadership.may_take_over(START + milliseconds(2500))


def test_absent_row_is_taken_for_lost_unless_all_start_for_the_first_time():
    leadership = Leadership("a/1", TIMING, StoreClock(), is_first_start=False)
    leadership.observe_row(None, START)
    end = START + TIMING.authority_duration
    assert leadership.lost_authority_ends_at == end
    assert not leadership.may_take_over(end + TIMING.clock_margin)
    assert leadership.may_take_over(end + TIMING.clock_margin + milliseconds(1))


@pytest.mark.parametrize("is_store_time_known", [False, True])
def test_row_tells_the_next_leader_what_was_lost(leadership, is_store_time_known):
    clock = StoreClock()
    if is_store_time_known:
        clock.update(timedelta(seconds=7), START, START)
    first = Leadership("b/1", TIMING, clock, is_first_start=False)
    first.observe_row(None, START)
    content = encode_leader(first.next_record("127.0.0.1", 1, 1))
    leadership._store_clock.update(timedelta(seconds=9), START, START)
    leadership.observe_row(StoredRow("leader", content, 1), START)
    lost_for = timedelta(seconds=-2) if is_store_time_known else timedelta()
    assert leadership.lost_authority_ends_at == START + lost_for + TIMING.authority_duration
    leadership.observe_row(row("c/1", 2), START)
    assert leadership.lost_authority_ends_at is None


def test_undecodable_row_yields_no_record():
    assert decode_leader(b"\xff") is None


WAIT = TIMING.authority_duration + TIMING.clock_margin


def test_unknown_leader_of_an_undecodable_row_is_waited_for(leadership):
    leadership.observe_row(StoredRow("leader", b"\xff", 5), START)
    assert not leadership.may_take_over(START + WAIT)
    assert leadership.may_take_over(START + WAIT + milliseconds(1))
    leadership.consider_predecessor(START + WAIT)
    assert leadership.no_moves_before == START + WAIT + TIMING.resumption_limit


@pytest.mark.parametrize("knows_owners", [False, True])
def test_leader_counts_with_lost_leases_unless_it_knew_the_owners(leadership, knows_owners):
    leadership.confirm_write(row("a/1", 5), START, START)
    leadership.knows_owners = knows_owners
    now = START + milliseconds(500)
    leadership.begin_generation(2, now)
    assert leadership.has_authority(now)
    assert leadership.lost_authority_ends_at == (None if knows_owners else now)


def test_leader_that_never_knew_the_owners_asks_no_witnesses(leadership):
    leadership.confirm_write(row("a/1", 5), START, START)
    leadership.begin_generation(1, START + TIMING.authority_duration)
    assert not leadership.awaits_witnesses and not leadership.is_leader


def test_lost_leader_is_waited_for_whatever_the_older_row_says(leadership):
    leadership.observe_row(row("b/1", 7), START)
    leadership.begin_generation(2, START)
    assert not leadership.may_take_over(START + 2 * WAIT)
    older_row = row("b/1", version_in_generation(2, 5), has_resigned=True)
    leadership.observe_row(older_row, START + milliseconds(100))
    assert not leadership.may_take_over(START + WAIT)
    assert leadership.may_take_over(START + WAIT + milliseconds(1))


@pytest.mark.parametrize(
    "known", [None, row("b/1", 7, has_resigned=True)], ids=["none", "resigned"]
)
def test_lost_leader_is_waited_for_if_the_older_copy_has_no_row(leadership, known):
    leadership.observe_row(known, START)
    leadership.begin_generation(2, START)
    leadership.observe_row(None, START)
    assert not leadership.may_take_over(START + WAIT)
    assert leadership.may_take_over(START + WAIT + milliseconds(1))


def test_new_member_waits_for_a_lost_leader_if_the_row_is_of_an_earlier_generation(leadership):
    older_row = row("b/1", version_in_generation(2, 5), has_resigned=True, generation=1)
    leadership.observe_row(older_row, START, timedelta(seconds=999))
    assert not leadership.may_take_over(START + WAIT)
    assert leadership.may_take_over(START + WAIT + milliseconds(1))


def test_leader_leads_on_only_while_it_has_authority(leadership):
    leadership.confirm_write(row("a/1", 5), START, START)
    leadership.begin_generation(2, START + milliseconds(500))
    assert leadership.is_leader and not leadership.is_row_known
    leadership.observe_row(row("a/1", version_in_generation(2, 4)), START + milliseconds(600))
    assert leadership.has_authority(START + milliseconds(600))
    leadership.step_down_without_history(START + TIMING.authority_duration)
    assert not leadership.is_leader


def test_leader_without_authority_does_not_lead_on(leadership):
    leadership.confirm_write(row("a/1", 5), START, START)
    leadership.begin_generation(2, START + TIMING.authority_duration)
    assert not leadership.is_leader


def test_row_of_the_present_generation_counts_as_usual(leadership):
    leadership.begin_generation(2, START)
    present_row = row("b/1", version_in_generation(2, 9), has_resigned=True, generation=2)
    leadership.observe_row(present_row, START)
    assert leadership.may_take_over(START)


def test_terms_of_a_generation_are_above_all_of_earlier_ones(leadership):
    leadership.begin_generation(2, START)
    leadership.observe_row(row("b/1", version_in_generation(2, 4)), START)
    assert leadership.next_record("127.0.0.1", 1, 1).term >= 2_000_000
