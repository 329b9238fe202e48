"""The row that records the owners of a service's keys."""

from dataclasses import dataclass

import msgspec

from ..fleet import UpstreamLife
from .lease import RangeLease

__all__ = ["RecordedRange", "ServiceRecord", "decode_record", "encode_record", "record_of"]


@dataclass(frozen=True, slots=True)
class RecordedRange:
    """A range as the store has it.

    Attributes
    ----------
    first, last : int
        Both included.
    owner : UpstreamLife
    fence : int
        The owner's token.
    former : UpstreamLife or None
        The one before, which may hold the range as long as the owner doesn't.
    former_fence : int
        The former owner's token; 0 without one.
    """

    first: int
    last: int
    owner: UpstreamLife
    fence: int
    former: UpstreamLife | None
    former_fence: int


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """The owners of a service's keys; no token above `last_fence` was ever used."""

    last_fence: int
    ranges: tuple[RecordedRange, ...]


class _Row(msgspec.Struct, array_like=True):
    last_fence: int
    # Name and birth of each upstream that the ranges point to by position.
    lives: list[tuple[str, int]]
    # First and last key, the owner's position and token, the former owner's or -1 and 0.
    ranges: list[tuple[int, int, int, int, int, int]]


def record_of(last_fence: int, leases: list[RangeLease]) -> ServiceRecord:
    """Return what has to be in the store for a set of leases."""
    ranges = (
        RecordedRange(
            lease.first,
            lease.last,
            lease.owner,
            lease.fence,
            lease.former.life if lease.former is not None else None,
            lease.former.fence if lease.former is not None else 0,
        )
        for lease in leases
    )
    return ServiceRecord(last_fence, tuple(ranges))


def encode_record(record: ServiceRecord) -> bytes:
    """Return the row's value."""
    positions: dict[UpstreamLife, int] = {}

    def position(life: UpstreamLife | None) -> int:
        return -1 if life is None else positions.setdefault(life, len(positions))

    ranges = [
        (r.first, r.last, position(r.owner), r.fence, position(r.former), r.former_fence)
        for r in record.ranges
    ]
    lives = [(life.name, life.born) for life in positions]
    return msgspec.json.encode(_Row(record.last_fence, lives, ranges))


def decode_record(value: bytes) -> ServiceRecord:
    """Return the record in a row's value.

    Raises
    ------
    ValueError
        If the value is no such record.
    """
    try:
        row = msgspec.json.decode(value, type=_Row)
    except msgspec.MsgspecError as e:
        raise ValueError(f"not a record of owners: {e}") from e
    lives = [UpstreamLife(name, born) for name, born in row.lives]
    ranges = []
    for first, last, owner, fence, former, former_fence in row.ranges:
        if not (0 <= owner < len(lives) and -1 <= former < len(lives) and first <= last):
            raise ValueError(f"not a record of owners: range {first} to {last}")
        former_life = lives[former] if former >= 0 else None
        found = RecordedRange(first, last, lives[owner], fence, former_life, former_fence)
        ranges.append(found)
    return ServiceRecord(row.last_fence, tuple(ranges))
