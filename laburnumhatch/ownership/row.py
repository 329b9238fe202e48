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
    """The bytes of a row are not a group of slots."""


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Owner of a single key that has left its slot's owner."""

    key_hash: int
    slot: int
    server: int
    epoch: int


@dataclass(frozen=True, slots=True)
class MoveRecord:
    """A past move, kept for the operators.

    Attributes
    ----------
    slot : int
    key_hash : int or None
    source, destination : str
        Names of the servers; empty for none.
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
        Member that may grant and move, as ``NAME/INCARNATION``.
    standbys : tuple of str
        Members whose consent extends leases while the table can't be reached.
    first_slot : int
        Number of the first slot of the group.
    servers : tuple of str
        Names of the targets that `owners` counts.
    owners : tuple of int
        Index in `servers` of each slot's owner; -1 for none.
    epochs : tuple of int
        For each slot, the version of the row that last changed its owner.
    keys : tuple of KeyOwner
        Single keys with an owner of their own.
    pending_versions : tuple of int
        Versions of earlier rows whose moves may still wait for leases to end; a slot or key whose
        epoch is among them is not to be granted without the wait.
    takeover_wait : timedelta
        How long a successor waits before it grants what it moves, counted from the reply to the
        write that makes it coordinator.
    history : tuple of MoveRecord
        The latest moves, oldest first.
    writer : str
        Unique identifier of the write that made the row.
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
    """Return the bytes of a row; its version and writer are kept by the table itself."""
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
        Where the bytes are not a row of a known format.
    """
    try:
        fields: dict[str, Any] = msgpack.unpackb(value, use_list=False)
        if fields["format"] != ROW_FORMAT:
            raise InvalidRow(f"format {fields['format']} of an ownership row is unknown")
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
    Keys are spread over slots by their hash, so blocks share the keys as evenly as any other
    assignment, and grants name few ranges.

    Examples
    --------
    >>> initial_owners(4, 2)
    (0, 0, 1, 1)
    """
    return tuple(slot * server_count // slot_count for slot in range(slot_count))
