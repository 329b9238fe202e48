"""Slots: the ranges of key hashes that ownership is assigned by."""

import xxhash

from .service import Ownership

__all__ = ["ownership_row_name", "group_of_slot", "hash_key", "slot_of_hash", "slot_of_key"]

HASH_BITS = 64


def hash_key(service: str, key: str) -> int:
    """Return the 64-bit hash of a service's key.

    The hash function is XXH3 over the service's name, a zero byte and the key.
    """
    return xxhash.xxh3_64_intdigest(f"{service}\0{key}".encode())


def slot_of_hash(key_hash: int, slot_count: int) -> int:
    """Return the slot that contains the hash of a key.

    Parameters
    ----------
    key_hash : int
        Unsigned 64-bit integer.
    slot_count : int
        A power of two.

    Notes
    -----
    Slots are hash ranges of equal size. Doubling `slot_count` therefore splits slot `n` into the
    slots ``2 * n`` and ``2 * n + 1``.

    Examples
    --------
    >>> slot_of_hash(2**63, 4)
    2
    """
    return key_hash * slot_count >> HASH_BITS


def slot_of_key(service: str, key: str, slot_count: int) -> int:
    """Return the slot of a service's key."""
    return slot_of_hash(hash_key(service, key), slot_count)


def group_of_slot(slot: int, ownership: Ownership) -> int:
    """Return the index of the group, and thus of the table row, that holds `slot`."""
    return slot * ownership.group_count // ownership.slot_count


def ownership_row_name(service: str, group: int) -> str:
    """Return the name of the table row that holds a group of slots.

    Examples
    --------
    >>> ownership_row_name("loft-availability", 0)
    'ownership/loft-availability/0'
    """
    return f"ownership/{service}/{group}"
