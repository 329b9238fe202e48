"""Exclusive ownership of keys: slots, rows, leases and moves."""

from .keeper import OwnershipKeeper
from .messages import OWNERSHIP_MESSAGES
from .owner import NoOwner, Owner, OwnershipView
from .slots import group_name, group_of_slot, hash_key, slot_of_hash, slot_of_key

__all__ = [
    "OWNERSHIP_MESSAGES",
    "NoOwner",
    "Owner",
    "OwnershipKeeper",
    "OwnershipView",
    "group_name",
    "group_of_slot",
    "hash_key",
    "slot_of_hash",
    "slot_of_key",
]
