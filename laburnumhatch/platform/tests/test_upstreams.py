"""Tests of the registration decoder.

An invalid registration is ignored and doesn't affect the registrations of other upstreams.
"""

import json
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...coordination.store import StoredRow
from ...fleet import UpstreamIncarnation
from ..upstreams import decode_upstream, decode_upstreams

VALID_REGISTRATION = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "lade",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left": "1500ms",
    "sequence": 4,
    "born": 1785000000000,
}

json_values = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(), st.lists(st.integers())
)


def encode(**changes):
    return json.dumps({**VALID_REGISTRATION, **changes}).encode()


def test_a_registration_is_decoded():
    upstream = decode_upstream("i-1", encode())
    assert upstream.incarnation == UpstreamIncarnation("i-1", 1785000000000)
    assert (upstream.host, upstream.port) == ("10.128.0.9", 8080)
    assert upstream.warmup_remaining == timedelta(seconds=1.5)
    assert not upstream.is_draining


def test_an_upstream_in_state_draining_is_draining():
    assert decode_upstream("i-1", encode(state="draining")).is_draining


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"slots": 0},
        {"slots": "2"},
        {"address": "host.example:80"},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:99999"},
        {"warmup_left": 3},
        {"warmup_left": "soon"},
        {"born": "yesterday"},
        {"service": None},
    ],
)
def test_a_registration_with_a_wrong_field_is_rejected(changes):
    with pytest.raises(ValueError):
        decode_upstream("i-1", encode(**changes))


@pytest.mark.parametrize("field", sorted(set(VALID_REGISTRATION) - {"born", "version"}))
def test_a_registration_without_a_required_field_is_rejected(field):
    content = {name: value for name, value in VALID_REGISTRATION.items() if name != field}
    with pytest.raises(ValueError):
        decode_upstream("i-1", json.dumps(content).encode())


def test_invalid_registrations_are_skipped():
    rows = [
        StoredRow("i-1", encode(), 1),
        StoredRow("i-2", b"\xff\x00 not json", 2),
        StoredRow("i-3", encode(state="on fire"), 3),
        StoredRow("i-4", encode(state="draining"), 4),
    ]
    invalid = {}
    found = decode_upstreams(rows, invalid)
    assert [upstream.name for upstream in found] == ["i-1", "i-4"]
    assert sorted(invalid) == ["i-2", "i-3"]


@given(st.sampled_from(sorted(VALID_REGISTRATION)), json_values)
def test_any_field_value_is_decoded_or_rejected(field, value):
    try:
        decode_upstream("i-1", json.dumps({**VALID_REGISTRATION, field: value}).encode())
    except ValueError:
        return


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(content):
    try:
        decode_upstream("i-1", content)
    except ValueError:
        return
