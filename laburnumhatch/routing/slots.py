"""Slots: the hash ranges by which keys are owned."""

import xxhash

from .service import Ownership

__all__ = ["group_name", "group_of_slot", "hash_key", "slot_of_hash", "slot_of_key"]

HASH_BITS = 64


def hash_key(service: str, key: str) -> int:
    """Return the 64-bit hash of a service's key.

    References
    ----------
    .. [1] XXH3, as in the library `xxhash`.
    """
    return xxhash.xxh3_64_intdigest(f"{service}\0{key}".encode())


def slot_of_hash(key_hash: int, slot_count: int) -> int:
    """Return the slot of a key's hash.

    Parameters
    ----------
    key_hash : int
        64 bits.
    slot_count : int
        A power of two.

    Notes
    -----
    Slots are equal ranges of the hash, so halving each slot renumbers slot `n` as ``2 * n`` and
    ``2 * n + 1``.

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
    """Return the index of the table row that holds `slot`."""
    return slot * ownership.group_count // ownership.slot_count


def group_name(service: str, group: int) -> str:
    """Return the table key of a group's row.

    Examples
    --------
    >>> group_name("loft-availability", 0)
    'ownership/loft-availability/0'
    """
    return f"ownership/{service}/{group}"
