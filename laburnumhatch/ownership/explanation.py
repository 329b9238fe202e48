"""Descriptions of a group and of a key's owner for operators."""

from datetime import timedelta
from typing import Any

from ..clocks import to_milliseconds
from .group_driver import GroupDriver
from .owner import NoOwner
from .row import GroupRow, MoveRecord
from .state import GroupState, instance_of

__all__ = ["describe_group", "describe_key"]

FIRST_ASSIGNMENT = "assigned when the group was created, or moved before the row's history begins"


def describe_key(driver: GroupDriver, key_hash: int, slot: int, now: timedelta) -> dict[str, Any]:
    """Return the owner of a key and the reason for its ownership.

    Returns
    -------
    dict
        ``slot``, ``owner`` and ``epoch`` (None if requests may not be sent), ``why_not``,
        ``expires_in_ms`` of the lease, ``coordinator``, ``row_version``, ``own_entry`` (whether
        the key has an entry apart from its slot) and ``last_move``, a text on the last move.
    """
    answer = None
    if driver.lookup.servers:
        answer = driver.lookup.owner_of(key_hash, slot, now)
    row = driver.state.lease.row
    refused = isinstance(answer, NoOwner) or answer is None
    return {
        "slot": slot,
        "owner": None if refused else answer.server,  # type: ignore[union-attr]
        "epoch": None if refused else answer.epoch,  # type: ignore[union-attr]
        "why_not": answer.detail if isinstance(answer, NoOwner) else None,
        "expires_in_ms": to_milliseconds(driver.lookup.expires - now),
        "coordinator": instance_of(row.coordinator) if row else None,
        "row_version": row.version if row else 0,
        "own_entry": row is not None and any(key.key_hash == key_hash for key in row.keys),
        "last_move": _last_move(row, key_hash, slot),
    }


def describe_group(driver: GroupDriver, now: timedelta) -> dict[str, Any]:
    """Return the state of a group as one instance sees it."""
    state = driver.state
    row = state.known_row
    return {
        "role": "coordinator" if state.term is not None else _role(state),
        "coordinator": instance_of(row.coordinator) if row else None,
        "standbys": [instance_of(member) for member in row.standbys] if row else [],
        "row_version": row.version if row else 0,
        "lease_expires_in_ms": to_milliseconds(driver.lookup.expires - now),
        "write_unresolved": state.write is not None,
        "slots_by_server": _count_by_server(row) if row else {},
        "keys_with_own_owner": len(row.keys) if row else 0,
        **_describe_term(state, now),
    }


def _role(state: GroupState) -> str:
    row = state.known_row
    return "standby" if row is not None and state.setup.member in row.standbys else "entry"


def _describe_term(state: GroupState, now: timedelta) -> dict[str, Any]:
    term = state.term
    if term is None:
        return {}
    authority = term.authority_until(state.setup.timing)
    return {
        "authority_ms": to_milliseconds(authority - now),
        "by_consent": term.extended_until >= authority,
        "waits_for_earlier_leases_ms": max(0, to_milliseconds(term.earlier_leases_until - now)),
        "open_moves": len(term.moves),
        "holders": sorted(instance_of(member) for member in term.holders),
    }


def _count_by_server(row: GroupRow) -> dict[str, int]:
    counts = dict.fromkeys(row.servers, 0)
    for owner in row.owners:
        if owner >= 0:
            counts[row.servers[owner]] += 1
    return counts


def _last_move(row: GroupRow | None, key_hash: int, slot: int) -> str:
    moves: tuple[MoveRecord, ...] = row.history if row is not None else ()
    for move in reversed(moves):
        if move.key_hash == key_hash or (move.key_hash is None and move.slot == slot):
            return f"{move.source or 'none'} to {move.destination or 'slot owner'}: {move.reason}"
    return FIRST_ASSIGNMENT
