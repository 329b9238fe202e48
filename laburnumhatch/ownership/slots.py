"""Functions that map keys and hashes to slots, re-exported from the routing package."""

from ..routing.slots import group_of_slot, hash_key, ownership_row_name, slot_of_hash, slot_of_key

__all__ = ["ownership_row_name", "group_of_slot", "hash_key", "slot_of_hash", "slot_of_key"]
