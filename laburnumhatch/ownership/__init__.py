"""Exclusive ownership of keys.

The keys of a service are hashed into slots, and the slots form groups. One row of the shared
table holds the owners of a group. The group's coordinator writes the row, grants leases to the
servers and to the entry instances, and moves slots and single keys between servers.
"""

from .keeper import OwnershipKeeper
from .messages import OWNERSHIP_MESSAGES
from .owner import NoOwner, Owner, OwnershipView
from .slots import group_of_slot, hash_key, ownership_row_name, slot_of_hash, slot_of_key

__all__ = [
    "OWNERSHIP_MESSAGES",
    "NoOwner",
    "Owner",
    "OwnershipKeeper",
    "OwnershipView",
    "ownership_row_name",
    "group_of_slot",
    "hash_key",
    "slot_of_hash",
    "slot_of_key",
]
