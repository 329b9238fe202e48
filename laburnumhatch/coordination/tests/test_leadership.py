"""Who leads: authority counts from the sending, and a successor waits for its end."""

from datetime import timedelta

import pytest

from ...clocks import milliseconds
from ..leadership import LeaderRecord, Leadership, LeadershipTiming, decode_leader, encode_leader
from ..store import StoredRow

TIMING = LeadershipTiming()
START = timedelta(seconds=100)


def row(member, version, **changes):
    record = LeaderRecord(member, "127.0.0.1", 1, 1, changes.pop("has_resigned", False), **changes)
    return StoredRow("leader", encode_leader(record), version)


@pytest.fixture
def leadership():
    return Leadership("a/1", TIMING)


def test_an_absent_row_may_be_taken_at_once(leadership):
    assert not leadership.may_take_over(START)
    leadership.saw(None, START)
    assert leadership.may_take_over(START)


def test_a_renewed_row_is_not_taken(leadership):
    leadership.saw(row("b/1", 1), START)
    later = START + TIMING.authority
    assert not leadership.may_take_over(later)
    leadership.saw(row("b/1", 2), later)
    assert not leadership.may_take_over(later + TIMING.authority)


def test_a_row_that_stands_still_is_taken_after_the_authority_and_a_margin(leadership):
    leadership.saw(row("b/1", 1), START)
    leadership.saw(row("b/1", 1), START + milliseconds(1500))
    end = START + TIMING.authority + TIMING.margin
    assert not leadership.may_take_over(end)
    assert leadership.may_take_over(end + milliseconds(1))


def test_a_leader_that_resigned_is_not_waited_for(leadership):
    leadership.saw(row("b/1", 1, has_resigned=True), START)
    assert leadership.may_take_over(START)


def test_authority_counts_from_the_sending(leadership):
    sent = START
    answered = START + milliseconds(700)
    leadership.acknowledged(row("a/1", 5), sent, answered)
    assert leadership.has_authority(sent + TIMING.authority - milliseconds(1))
    assert not leadership.has_authority(sent + TIMING.authority)


def test_another_leader_in_the_row_ends_the_lead(leadership):
    leadership.acknowledged(row("a/1", 5), START, START)
    leadership.saw(row("b/1", 6), START)
    assert not leadership.is_leader


def test_an_older_row_changes_nothing(leadership):
    leadership.acknowledged(row("a/1", 5), START, START)
    leadership.saw(row("b/1", 4), START)
    assert leadership.is_leader


def test_the_word_of_the_leader_counts_as_a_renewal(leadership):
    leadership.saw(row("b/1", 1), START)
    leadership.heard_renewal(2, START + milliseconds(1500))
    assert not leadership.may_take_over(START + milliseconds(2500))


def test_a_row_that_cannot_be_read_names_nobody():
    assert decode_leader(b"\xff") is None
