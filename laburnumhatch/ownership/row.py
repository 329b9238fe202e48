"""The table row of a group of slots, and its encoding."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgpack

from ..clocks import milliseconds, to_milliseconds

__all__ = [
    "GroupRow",
    "InvalidRow",
    "KeyOwner",
    "MoveRecord",
    "decode_row",
    "encode_row",
    "initial_owners",
]

ROW_FORMAT = 1
FIRST_EPOCH = 1


class InvalidRow(ValueError):
    """The bytes don't encode a row of a group."""


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Owner of a single key that has its own entry, apart from its slot.

    Attributes
    ----------
    key_hash : int
    slot : int
    server : int
        Index in `GroupRow.servers`.
    epoch : int
    """

    key_hash: int
    slot: int
    server: int
    epoch: int


@dataclass(frozen=True, slots=True)
class MoveRecord:
    """A past move, kept for operators.

    Attributes
    ----------
    slot : int
    key_hash : int or None
    source, destination : str
        Names of the servers. An empty source is no owner; an empty destination is the slot's
        owner.
    epoch : int
    reason : str
    """

    slot: int
    key_hash: int | None
    source: str
    destination: str
    epoch: int
    reason: str


@dataclass(frozen=True, slots=True)
class GroupRow:
    """Ownership of one group of slots.

    Attributes
    ----------
    version : int
        Version of the table row that holds this value.
    coordinator : str
        Member that may grant leases and move slots and keys, as ``NAME/INCARNATION``.
    standbys : tuple of str
        Members whose consent extends the coordinator's authority while it can't reach the table.
    first_slot : int
        Number of the first slot of the group.
    servers : tuple of str
        Names of the targets to which `owners` refers by index.
    owners : tuple of int
        Index in `servers` of each slot's owner; -1 for none.
    epochs : tuple of int
        For each slot, the version of the row that last changed its owner.
    keys : tuple of KeyOwner
        Owners of single keys.
    pending_versions : tuple of int
        Versions of rows whose moves may still wait for leases to end. A slot or key whose epoch is
        among them must not be granted without the wait. Stored as ``unsettled``.
    takeover_wait : timedelta
        Time that a successor waits before it grants what it moves, counted from the reply to the
        write that makes it the coordinator. Stored as ``debt_ms``.
    history : tuple of MoveRecord
        The latest moves, oldest first.
    writer : str
        Unique identifier of the write that produced the row.
    """

    version: int
    coordinator: str
    standbys: tuple[str, ...]
    first_slot: int
    servers: tuple[str, ...]
    owners: tuple[int, ...]
    epochs: tuple[int, ...]
    keys: tuple[KeyOwner, ...] = ()
    pending_versions: tuple[int, ...] = ()
    takeover_wait: timedelta = timedelta()
    history: tuple[MoveRecord, ...] = ()
    writer: str = ""


def encode_row(row: GroupRow) -> bytes:
    """Return the encoding of a row, without the version and writer, which the table stores."""
    fields = {
        "format": ROW_FORMAT,
        "coordinator": row.coordinator,
        "standbys": row.standbys,
        "first_slot": row.first_slot,
        "servers": row.servers,
        "owners": row.owners,
        "epochs": row.epochs,
        "keys": [(k.key_hash, k.slot, k.server, k.epoch) for k in row.keys],
        "unsettled": row.pending_versions,
        "debt_ms": to_milliseconds(row.takeover_wait),
        "history": [
            (m.slot, m.key_hash, m.source, m.destination, m.epoch, m.reason) for m in row.history
        ],
    }
    encoded: bytes = msgpack.packb(fields)
    return encoded


def decode_row(value: bytes, version: int, writer: str) -> GroupRow:
    """Return the row that `value` encodes.

    Raises
    ------
    InvalidRow
        If the bytes are not a row of a known format.
    """
    try:
        fields: dict[str, Any] = msgpack.unpackb(value, use_list=False)
        if fields["format"] != ROW_FORMAT:
            raise InvalidRow(f"unknown format {fields['format']} of an ownership row")
        return GroupRow(
            version=version,
            coordinator=fields["coordinator"],
            standbys=fields["standbys"],
            first_slot=fields["first_slot"],
            servers=fields["servers"],
            owners=fields["owners"],
            epochs=fields["epochs"],
            keys=tuple(KeyOwner(*key) for key in fields["keys"]),
            pending_versions=fields["unsettled"],
            takeover_wait=milliseconds(fields["debt_ms"]),
            history=tuple(MoveRecord(*move) for move in fields["history"]),
            writer=writer,
        )
    except InvalidRow:
        raise
    except (msgpack.UnpackException, ValueError, KeyError, TypeError) as e:
        raise InvalidRow(f"not an ownership row: {type(e).__name__}: {e}") from e


def initial_owners(slot_count: int, server_count: int) -> tuple[int, ...]:
    """Return the first owner of each slot, in blocks of equal size.

    Notes
    -----
    Keys are distributed over slots by their hash, so blocks balance the keys as well as any other
    assignment, and a grant needs few ranges.

    Examples
    --------
    >>> initial_owners(4, 2)
    (0, 0, 1, 1)
    """
    return tuple(slot * server_count // slot_count for slot in range(slot_count))
