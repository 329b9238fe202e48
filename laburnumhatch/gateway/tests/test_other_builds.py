"""Instances of other builds read what this one sends and stores, and the other way round."""

import json
from pathlib import Path

import msgpack
import msgspec
import pytest

from ...coordination.leadership import decode_leader, encode_leader
from ...keyspace.row import decode_record, encode_record
from ...links.codec import UnknownMessage
from .format_samples import CODEC, SAMPLE_RECORD, encode_samples

KEPT = {
    path.stem: json.loads(path.read_text(encoding="utf-8"))
    for path in (Path(__file__).parent / "kept_formats").glob("*.json")
}
SAMPLES = [(build, name) for build, samples in sorted(KEPT.items()) for name in samples]


@pytest.mark.parametrize(("build", "name"), SAMPLES)
def test_format_is_that_of_a_former_build(build, name):
    assert encode_samples()[name] == KEPT[build][name]


@pytest.mark.parametrize(("build", "name"), [s for s in SAMPLES if s[1].startswith("message")])
def test_message_of_a_former_build_is_read(build, name):
    body = bytes.fromhex(KEPT[build][name])
    assert CODEC.encode(CODEC.decode(body)) == body


@pytest.mark.parametrize("build", sorted(KEPT))
def test_rows_of_a_former_build_are_read(build):
    leader = bytes.fromhex(KEPT[build]["row of the leader"])
    assert encode_leader(decode_leader(leader)) == leader
    assert decode_record(bytes.fromhex(KEPT[build]["row of owners"])) == SAMPLE_RECORD


def message_numbers(samples):
    """Return the number of each message among samples, by its name."""
    return {
        name: msgpack.unpackb(bytes.fromhex(sample))[0]
        for name, sample in samples.items()
        if name.startswith("message")
    }


@pytest.mark.parametrize("build", sorted(KEPT))
def test_new_message_has_a_number_that_a_former_build_ignores(build):
    kept, present = message_numbers(KEPT[build]), message_numbers(encode_samples())
    new = {number for name, number in present.items() if name not in kept}
    assert new.isdisjoint(kept.values())


def test_field_that_this_build_does_not_know_is_ignored_in_the_leaders_row():
    leader = json.loads(bytes.fromhex(encode_samples()["row of the leader"]))
    row = json.dumps({**leader, "of_a_later_build": [1]}).encode()
    assert decode_leader(row).member == leader["member"]


def test_row_of_owners_of_a_later_build_is_read():
    # Later builds append fields.
    row = msgspec.msgpack.decode(encode_record(SAMPLE_RECORD))
    assert decode_record(msgspec.msgpack.encode([*row, "of a later build"])) == SAMPLE_RECORD


def test_message_that_this_build_does_not_know_is_reported_as_such():
    with pytest.raises(UnknownMessage):
        CODEC.decode(bytes.fromhex("92cd03e701"))
