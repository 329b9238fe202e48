"""Tests of the codec and of the frame reader."""

import tracemalloc
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..codec import Codec, MessageInvalid, UnknownMessage
from ..frames import FrameInvalid, FrameReader, pack_frame


class Colour(StrEnum):
    """Enumeration used as a field type."""

    RED = "red"
    BLUE = "blue"


@dataclass(frozen=True)
class Inner:
    """Nested dataclass."""

    name: str
    size: float


@dataclass(frozen=True)
class Everything:
    """Message with a field of each supported type."""

    number: int
    flag: bool
    raw: bytes
    duration: timedelta
    colour: Colour
    maybe: int | None
    inner: Inner | None
    many: tuple[Inner, ...]
    pair: tuple[str, int]


CODEC = Codec([(100, (Everything,))])
numbers = st.integers(min_value=-(2**63), max_value=2**64 - 1)
inners = st.builds(Inner, st.text(max_size=5), st.floats(allow_nan=False))
messages = st.builds(
    Everything,
    number=numbers,
    flag=st.booleans(),
    raw=st.binary(max_size=9),
    duration=st.timedeltas(min_value=timedelta(days=-999), max_value=timedelta(days=999)),
    colour=st.sampled_from(Colour),
    maybe=st.none() | numbers,
    inner=st.none() | inners,
    many=st.lists(inners, max_size=3).map(tuple),
    pair=st.tuples(st.text(max_size=3), numbers),
)
plain = st.recursive(
    st.none() | st.booleans() | numbers | st.floats() | st.text(max_size=4) | st.binary(max_size=4),
    lambda inner: st.lists(inner, max_size=9) | st.dictionaries(st.text(max_size=2), inner),
    max_leaves=20,
)


@given(messages)
def test_decode_inverts_encode(message):
    assert CODEC.decode(CODEC.encode(message)) == message


@given(
    st.binary(max_size=60) | st.lists(plain, max_size=11).map(lambda v: msgpack.packb([100, *v]))
)
def test_arbitrary_body_is_decoded_or_rejected(body):
    try:
        decoded = CODEC.decode(body)
    except MessageInvalid:
        return
    assert isinstance(decoded, Everything)


@given(messages, st.integers(0, 8), plain)
def test_replaced_field_is_rejected_or_has_its_type(message, index, value):
    items = msgpack.unpackb(CODEC.encode(message), use_list=False)
    body = msgpack.packb([*items[: index + 1], value, *items[index + 2 :]])
    try:
        decoded = CODEC.decode(body)
    except MessageInvalid:
        return
    assert CODEC.decode(CODEC.encode(decoded)) == decoded or value != value


def test_bool_is_rejected_for_int_field():
    message = Everything(1, True, b"", timedelta(), Colour.RED, None, None, (), ("", 0))
    items = msgpack.unpackb(CODEC.encode(message))
    items[1] = True
    with pytest.raises(MessageInvalid, match="Everything.number: expected int"):
        CODEC.decode(msgpack.packb(items))


def test_unknown_number_raises_unknown_message():
    with pytest.raises(UnknownMessage):
        CODEC.decode(msgpack.packb([101]))


def test_unsupported_types_are_rejected_at_registration():
    @dataclass(frozen=True)
    class Bad:
        items: dict[str, int]

    with pytest.raises(TypeError, match="Bad.items"):
        Codec([(1, (Bad,))])
    with pytest.raises(ValueError, match="both have 1"):
        Codec([(1, (Inner,)), (1, (Everything,))])


@given(st.lists(st.binary(max_size=300), max_size=6), st.integers(1, 50))
def test_frames_are_read_from_arbitrary_chunks(contents, step):
    stream = b"".join(pack_frame(content) for content in contents)
    reader = FrameReader()
    found = []
    for start in range(0, len(stream), step):
        found.extend(reader.feed(stream[start : start + step]))
    assert found == contents


def test_reader_does_not_allocate_the_claimed_length():
    tracemalloc.start()
    readers = [FrameReader() for _ in range(64)]
    assert not any(list(reader.feed(b"\xc6\x00\x03\xff\xff")) for reader in readers)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The 64 readers may take at most an eighth of an instance's 32 MB. They are a sample: an
    # instance admits 512 pending handshakes, see `MAX_PENDING_HANDSHAKES` in links/peer_links.py.
    assert allocated_bytes < 4 * 2**20


@given(st.lists(st.binary(max_size=200), max_size=5))
def test_arbitrary_bytes_are_frames_or_rejected(parts):
    reader = FrameReader()
    try:
        for part in parts:
            assert all(type(content) is bytes for content in reader.feed(part))
    except FrameInvalid:
        return
