"""The row that records the owners of a service's keys."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ..clocks import milliseconds
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
    fencing_token : int
        The owner's token.
    former : UpstreamLife or None
        The one before, which may hold the range as long as the owner doesn't.
    former_token : int
        The former owner's token; 0 without one.
    former_expires_at : timedelta or None
        What the store's clock shows when the former owner's last lease has ended, as far as the
        writer granted any; None where it didn't know.
    may_former_be_fenced : bool
        Whether the former owner may have been granted a higher token since.
    is_token_acknowledged : bool
        Whether the owner had acknowledged a grant under its token when the record was made.
    """

    first: int
    last: int
    owner: UpstreamLife
    fencing_token: int
    former: UpstreamLife | None
    former_token: int
    former_expires_at: timedelta | None = None
    may_former_be_fenced: bool = False
    is_token_acknowledged: bool = False


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """The owners of a service's keys; no token above `last_token` was ever used."""

    last_token: int
    ranges: tuple[RecordedRange, ...]


class _Row(msgspec.Struct, array_like=True):
    last_token: int
    # Name and birth of each upstream that the ranges point to by position.
    lives: list[tuple[str, int]]
    # First and last key, the owner's position and token, the former owner's or -1 and 0, and the
    # end of the former owner's lease in milliseconds or -1, whether it may have been fenced, and
    # whether the owner has acknowledged its token.
    ranges: list[tuple[int, int, int, int, int, int, int, bool, bool]]


def record_of(
    last_token: int,
    leases: list[RangeLease],
    store_time: Callable[[timedelta], timedelta | None],
) -> ServiceRecord:
    """Return what has to be in the store for a set of leases.

    Parameters
    ----------
    last_token : int
    leases : list of RangeLease
    store_time : callable
        Returns what the store's clock shows at most at an instant; None where that isn't known.
    """
    ranges = (
        RecordedRange(
            lease.first,
            lease.last,
            lease.owner,
            lease.fencing_token,
            lease.former.life if lease.former is not None else None,
            lease.former.fencing_token if lease.former is not None else 0,
            store_time(lease.former.expires_at) if lease.former is not None else None,
            lease.former is not None and lease.former.needs_fencing,
            lease.is_token_acknowledged,
        )
        for lease in leases
    )
    return ServiceRecord(last_token, tuple(ranges))


def encode_record(record: ServiceRecord) -> bytes:
    """Return the row's value."""
    positions: dict[UpstreamLife, int] = {}

    def position(life: UpstreamLife | None) -> int:
        return -1 if life is None else positions.setdefault(life, len(positions))

    ranges = [
        (
            r.first,
            r.last,
            position(r.owner),
            r.fencing_token,
            position(r.former),
            r.former_token,
            _ceil_milliseconds(r.former_expires_at),
            r.may_former_be_fenced,
            r.is_token_acknowledged,
        )
        for r in record.ranges
    ]
    lives = [(life.name, life.born) for life in positions]
    return msgspec.msgpack.encode(_Row(record.last_token, lives, ranges))


def decode_record(value: bytes) -> ServiceRecord:
    """Return the record in a row's value.

    Raises
    ------
    ValueError
        If the value is no such record.
    """
    try:
        row = msgspec.msgpack.decode(value, type=_Row)
    except msgspec.MsgspecError as e:
        raise ValueError(f"not a record of owners: {e}") from e
    lives = [UpstreamLife(name, born) for name, born in row.lives]
    ranges = []
    for (
        first,
        last,
        owner,
        fencing_token,
        former,
        former_token,
        expires_at_ms,
        may_be_fenced,
        is_acknowledged,
    ) in row.ranges:
        if not (0 <= owner < len(lives) and -1 <= former < len(lives) and first <= last):
            raise ValueError(f"not a record of owners: range {first} to {last}")
        former_life = lives[former] if former >= 0 else None
        time = milliseconds(expires_at_ms) if expires_at_ms >= 0 else None
        ranges.append(
            RecordedRange(
                first,
                last,
                lives[owner],
                fencing_token,
                former_life,
                former_token,
                time,
                may_be_fenced,
                is_acknowledged,
            )
        )
    return ServiceRecord(row.last_token, tuple(ranges))


def _ceil_milliseconds(time: timedelta | None) -> int:
    """Return whole milliseconds, rounded up; -1 for None."""
    return -1 if time is None else -(-time // milliseconds(1))
