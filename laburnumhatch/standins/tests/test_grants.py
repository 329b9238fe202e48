"""Tests of the ownership grants that an upstream stand-in holds."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..grants import GrantMessage, GrantStore

KEY = "00000000000000aa"


def _grant(epoch, valid_ms=None):
    grant = {"first": 0, "last": 3, "epoch": epoch, "valid_ms": valid_ms}
    return GrantMessage.model_validate({"service": "s", "grants": [grant]})


def _revoke(epoch):
    revoked = {"first": 0, "last": 3, "epoch": epoch}
    return GrantMessage.model_validate({"service": "s", "revoked": [revoked]})


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 5)), max_size=12), st.integers(1, 5))
def test_only_the_token_of_the_latest_unrevoked_grant_is_accepted(steps, token):
    store = GrantStore(clock=None)
    granted, floor = 0, 0
    for is_grant, epoch in steps:
        refused = store.apply(_grant(epoch) if is_grant else _revoke(epoch)) is not None
        assert refused == (is_grant and epoch < floor)
        if is_grant and not refused:
            granted = floor = epoch
        elif not is_grant:
            floor = max(floor, epoch + 1)
    assert (store.check_token(2, None, token) is None) == (token == granted >= floor)


def test_newer_grant_fences_the_older_token(clock):
    store = GrantStore(clock)
    store.apply(_grant(2))
    assert store.check_token(1, None, 3) == 2
    assert store.check_token(1, None, 2) is None
    store.apply(_grant(3))
    assert store.check_token(1, None, 2) == 3


@pytest.mark.parametrize(("honours", "expected"), [(True, 1), (False, None)])
def test_grant_expires_only_if_expiry_is_honoured(clock, honours, expected):
    store = GrantStore(clock, honours)
    store.apply(_grant(1, valid_ms=1000))
    assert store.check_token(0, None, 1) is None
    clock.advance(timedelta(seconds=1))
    assert store.check_token(0, None, 1) == expected


@pytest.mark.parametrize(("until_ms", "expected"), [(3000, None), (2000, 1), (None, None)])
def test_delayed_grant_expires_by_the_server_clock(clock, until_ms, expected):
    store = GrantStore(clock)
    clock.advance(timedelta(seconds=2))
    late = _grant(1, valid_ms=1000).model_copy(update={"until_ms": until_ms})
    store.apply(late)
    assert store.check_token(0, None, 1) == expected


def test_key_revocation_takes_precedence_over_slot_grant(clock):
    store = GrantStore(clock)
    store.apply(_grant(1))
    message = {"service": "s", "revoked_keys": [{"hash": KEY, "epoch": 1}]}
    store.apply(GrantMessage.model_validate(message))
    assert store.check_token(0, KEY, 1) == 2
    assert store.check_token(0, "00000000000000ab", 1) is None
