"""Functions that map keys and hashes to slots, re-exported from the routing package."""

from ..routing.slots import group_name, group_of_slot, hash_key, slot_of_hash, slot_of_key

__all__ = ["group_name", "group_of_slot", "hash_key", "slot_of_hash", "slot_of_key"]
