"""Samples of all that instances send each other or store, for instances of other builds.

``python -m laburnumhatch.gateway.tests.format_samples`` prints them. The output of each landed
build is kept in ``kept_formats/COMMIT.json``.
"""

import json
import types
from dataclasses import fields, is_dataclass
from datetime import timedelta
from typing import Any, get_args, get_origin, get_type_hints

from ...coordination.leadership import LeaderRecord, LostHistory, encode_leader
from ...coordination.messages import COORDINATION_MESSAGES
from ...coordination.totals import pack_totals
from ...fleet import UpstreamIncarnation
from ...keyspace.row import RecordedRange, ServiceRecord, encode_record
from ...links import LINK_MESSAGES, Codec
from ...placement.loads import LoadTracker, UpstreamLoad
from ...platform.headers import ATTEMPT_ID, DEADLINE
from ..relay_header import relay_value

__all__ = ["CODEC", "SAMPLE_RECORD", "encode_samples"]

CODEC = Codec([LINK_MESSAGES, COORDINATION_MESSAGES])
SCALARS = {
    str: "text",
    int: 3,
    float: 0.5,
    bool: True,
    bytes: b"bytes",
    timedelta: timedelta(milliseconds=1500),
}
LEADER = LeaderRecord(
    "a/1",
    "127.0.0.1",
    7620,
    1_000_007,
    False,
    5,
    True,
    timedelta(seconds=9),
    1,
    LostHistory(timedelta(seconds=4)),
    timedelta(seconds=12),
)
SAMPLE_RECORD = ServiceRecord(
    9,
    (
        RecordedRange(0, 4095, UpstreamIncarnation("u1", 11), 8, None, 0),
        RecordedRange(
            4096,
            65_535,
            UpstreamIncarnation("u2", 12),
            9,
            UpstreamIncarnation("u1", 11),
            7,
            timedelta(milliseconds=1500),
            True,
            True,
        ),
    ),
    1,
)
FIELDS = [(ATTEMPT_ID, b"a1"), (DEADLINE, b"2000")]


def _sample(field_type: Any) -> Any:
    """Return a value of a field's type."""
    if field_type in SCALARS:
        return SCALARS[field_type]
    if is_dataclass(field_type):
        dataclass_type: Any = field_type
        hints = get_type_hints(dataclass_type)
        return dataclass_type(*(_sample(hints[f.name]) for f in fields(dataclass_type)))
    if get_origin(field_type) is tuple:
        return (_sample(get_args(field_type)[0]),)
    (present,) = (t for t in get_args(field_type) if t is not types.NoneType)
    return _sample(present)


def _totals() -> bytes:
    tracker = LoadTracker()
    tracker.loads = {"u1": UpstreamLoad(own_in_flight=3, service_time_s=0.25), "u2": UpstreamLoad()}
    return pack_totals(tracker, ["u1", "u2"], timedelta(seconds=1))


def encode_samples() -> dict[str, str]:
    """Return the encoded samples in hexadecimal, by what they are."""
    samples = {
        f"message {message_type.__name__}": CODEC.encode(_sample(message_type))
        for _, message_types in (LINK_MESSAGES, COORDINATION_MESSAGES)
        for message_type in message_types
    }
    samples["row of the leader"] = encode_leader(LEADER)
    samples["row of owners"] = encode_record(SAMPLE_RECORD)
    samples["totals of loads"] = _totals()
    samples["proof of a relayed request"] = relay_value("key", b"GET", b"/a", FIELDS)
    return {name: content.hex() for name, content in samples.items()}


if __name__ == "__main__":
    print(json.dumps(encode_samples(), indent=1))
