"""The row of the shared store that records the owners of a service's keys."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ..clocks import milliseconds
from ..documents import decode_document
from ..fleet import UpstreamIncarnation
from .lease import RangeLease

__all__ = [
    "RecordedRange",
    "ServiceRecord",
    "decode_last_token",
    "decode_record",
    "encode_record",
    "record_of",
]


@dataclass(frozen=True, slots=True)
class RecordedRange:
    """A range of keys as recorded in the store.

    Attributes
    ----------
    first, last : int
        Range of keys, both ends included.
    owner : UpstreamIncarnation
    fencing_token : int
        Fencing token of the owner.
    former : UpstreamIncarnation or None
        The previous owner, which may still hold the range.
    former_token : int
        Fencing token of the former owner; 0 if there is none.
    former_expires_at : timedelta or None
        Time of the store's clock at which the last lease that the writer granted to the former
        owner expires; None if the writer didn't know the store's time.
    is_former_possibly_fenced : bool
        Whether the former owner may have been granted a higher token after the record was written.
    is_token_acknowledged : bool
        Whether the owner had acknowledged a grant under its token when the record was written.
    """

    first: int
    last: int
    owner: UpstreamIncarnation
    fencing_token: int
    former: UpstreamIncarnation | None
    former_token: int
    former_expires_at: timedelta | None = None
    is_former_possibly_fenced: bool = False
    is_token_acknowledged: bool = False


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """The owners of a service's keys, as recorded in a generation of the store.

    No fencing token above `last_token` has been used, unless later records were lost.
    """

    last_token: int
    ranges: tuple[RecordedRange, ...]
    generation: int = 0


class _Row(msgspec.Struct, array_like=True):
    last_token: int
    # Name and start time of each upstream; the ranges refer to an upstream by its position here.
    incarnations: list[tuple[str, int]]
    # First key, last key, position and token of the owner, position (-1 if none) and token (0 if
    # none) of the former owner, expiry of the former owner's lease in milliseconds (-1 if unknown),
    # whether the former owner may have been fenced, whether the owner has acknowledged its token.
    ranges: list[tuple[int, int, int, int, int, int, int, bool, bool]]
    # Generation of the store in which the record was written.
    generation: int = 0


_decoder = msgspec.msgpack.Decoder(_Row)


def record_of(
    last_token: int,
    leases: list[RangeLease],
    store_time: Callable[[timedelta], timedelta | None],
    generation: int = 0,
) -> ServiceRecord:
    """Return the record of a service's leases.

    Parameters
    ----------
    last_token : int
    leases : list of RangeLease
    store_time : callable
        Returns an upper bound of the store's time at an instant of the local clock, or None if the
        store's time is unknown.
    generation : int, optional
        Present generation of the store.
    """
    ranges = (
        RecordedRange(
            lease.first,
            lease.last,
            lease.owner,
            lease.fencing_token,
            lease.former.incarnation if lease.former is not None else None,
            lease.former.fencing_token if lease.former is not None else 0,
            store_time(lease.former.expires_at) if lease.former is not None else None,
            lease.former is not None and lease.former.needs_fencing,
            lease.is_token_acknowledged,
        )
        for lease in leases
    )
    return ServiceRecord(last_token, tuple(ranges), generation)


def encode_record(record: ServiceRecord) -> bytes:
    """Return the value of the row that holds a record."""
    positions: dict[UpstreamIncarnation, int] = {}

    def position(incarnation: UpstreamIncarnation | None) -> int:
        return -1 if incarnation is None else positions.setdefault(incarnation, len(positions))

    ranges = [
        (
            r.first,
            r.last,
            position(r.owner),
            r.fencing_token,
            position(r.former),
            r.former_token,
            _ceil_milliseconds(r.former_expires_at),
            r.is_former_possibly_fenced,
            r.is_token_acknowledged,
        )
        for r in record.ranges
    ]
    incarnations = [(incarnation.name, incarnation.started_at_ms) for incarnation in positions]
    return msgspec.msgpack.encode(_Row(record.last_token, incarnations, ranges, record.generation))


def decode_record(value: bytes) -> ServiceRecord:
    """Return the record that a row's value holds.

    Raises
    ------
    ValueError
        If the value is not a valid record.
    """
    try:
        row = decode_document(_decoder.decode, value)
    except ValueError as e:
        raise ValueError(f"invalid record of owners: {e}") from e
    incarnations = [
        UpstreamIncarnation(name, started_at_ms) for name, started_at_ms in row.incarnations
    ]
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
        if not (
            0 <= owner < len(incarnations) and -1 <= former < len(incarnations) and first <= last
        ):
            raise ValueError(f"invalid record of owners: invalid range {first} to {last}")
        former_incarnation = incarnations[former] if former >= 0 else None
        time = milliseconds(expires_at_ms) if expires_at_ms >= 0 else None
        ranges.append(
            RecordedRange(
                first,
                last,
                incarnations[owner],
                fencing_token,
                former_incarnation,
                former_token,
                time,
                may_be_fenced,
                is_acknowledged,
            )
        )
    return ServiceRecord(row.last_token, tuple(ranges), row.generation)


def decode_last_token(value: bytes) -> int | None:
    """Return the last token in a row's value, or None if that can't be read either.

    It comes first, so that it is there for builds that can't read the ranges of later ones.
    """
    try:
        decoded = decode_document(msgspec.msgpack.decode, value)
    except ValueError:
        return None
    first = decoded[0] if isinstance(decoded, list) and decoded else None
    return first if isinstance(first, int) and not isinstance(first, bool) else None


def _ceil_milliseconds(time: timedelta | None) -> int:
    """Return a time in whole milliseconds, rounded up, or -1 for None."""
    return -1 if time is None else -(-time // milliseconds(1))
