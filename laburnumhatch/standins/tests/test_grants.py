"""Tests of the ownership grants that an upstream stand-in holds."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..grants import GrantBook, GrantMessage

KEY = "00000000000000aa"


def _grant(epoch, valid_ms=None):
    grant = {"first": 0, "last": 3, "epoch": epoch, "valid_ms": valid_ms}
    return GrantMessage.model_validate({"service": "s", "grants": [grant]})


def _revoke(epoch):
    revoked = {"first": 0, "last": 3, "epoch": epoch}
    return GrantMessage.model_validate({"service": "s", "revoked": [revoked]})


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 5)), max_size=12), st.integers(1, 5))
def test_only_the_latest_grant_that_was_not_revoked_runs(steps, token):
    book = GrantBook(clock=None)
    granted, floor = 0, 0
    for is_grant, epoch in steps:
        refused = book.apply(_grant(epoch) if is_grant else _revoke(epoch)) is not None
        assert refused == (is_grant and epoch < floor)
        if is_grant and not refused:
            granted = floor = epoch
        elif not is_grant:
            floor = max(floor, epoch + 1)
    assert (book.refusal(2, None, token) is None) == (token == granted >= floor)


def test_newer_grant_fences_the_older_token(clock):
    book = GrantBook(clock)
    book.apply(_grant(2))
    assert book.refusal(1, None, 3) == 2
    assert book.refusal(1, None, 2) is None
    book.apply(_grant(3))
    assert book.refusal(1, None, 2) == 3


@pytest.mark.parametrize(("honours", "expected"), [(True, 1), (False, None)])
def test_expiry_ends_a_grant_where_it_is_honoured(clock, honours, expected):
    book = GrantBook(clock, honours)
    book.apply(_grant(1, valid_ms=1000))
    assert book.refusal(0, None, 1) is None
    clock.advance(timedelta(seconds=1))
    assert book.refusal(0, None, 1) == expected


@pytest.mark.parametrize(("until_ms", "expected"), [(3000, None), (2000, 1), (None, None)])
def test_grant_that_arrives_late_ends_by_the_servers_own_clock(clock, until_ms, expected):
    book = GrantBook(clock)
    clock.advance(timedelta(seconds=2))
    late = _grant(1, valid_ms=1000).model_copy(update={"until_ms": until_ms})
    book.apply(late)
    assert book.refusal(0, None, 1) == expected


def test_key_grant_goes_before_the_slot(clock):
    book = GrantBook(clock)
    book.apply(_grant(1))
    message = {"service": "s", "revoked_keys": [{"hash": KEY, "epoch": 1}]}
    book.apply(GrantMessage.model_validate(message))
    assert book.refusal(0, KEY, 1) == 2
    assert book.refusal(0, "00000000000000ab", 1) is None
