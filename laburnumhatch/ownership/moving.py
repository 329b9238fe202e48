"""Moves of slots and keys between servers."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from ..planning.interfaces import Move
from .authority import takeover_wait_to_write
from .effects import Effect, MovesPlanned, SendMessage
from .grants import slot_ranges
from .messages import LeaseOffer, Revocation
from .row import GroupRow, KeyOwner, MoveRecord
from .state import FormerOwner, GroupState, OpenMove, Term, WriteKind, instance_of
from .timing import LeaseTiming
from .writes import AppliedWrite, begin_write

__all__ = [
    "next_row",
    "closed_slots_and_keys",
    "inherited_moves",
    "is_closed",
    "may_write",
    "record_revocation_ack",
    "record_server_exit",
    "on_change_written",
    "on_moves_planned",
    "progress_moves",
]

MAX_HISTORY_LENGTH = 32
MAX_KEY_OWNERS = 512


def may_write(state: GroupState, now: timedelta) -> bool:
    """Return whether this instance is the coordinator and may begin a write.

    No write begins while another is pending or while the table doesn't answer.
    """
    term = state.term
    if term is None or state.write is not None or state.is_stopping:
        return False
    return now - term.renewed_at < state.setup.timing.renew_interval * 2


def on_moves_planned(state: GroupState, event: MovesPlanned, now: timedelta) -> list[Effect]:
    """Begin a write of the planned moves that can be made now."""
    if not may_write(state, now):
        return []
    term = state.term
    known = state.known_row
    assert term is not None and known is not None
    moves = [move for move in event.moves if _should_apply(term, known, event, move, now)]
    if not moves:
        return []
    term.moved_at = now
    row = _row_with_moves(next_row(state, known, now), event.servers, moves)
    return begin_write(state, WriteKind.CHANGE, row, now)


def next_row(state: GroupState, known: GroupRow, now: timedelta) -> GroupRow:
    """Return the next row of this coordinator.

    It records the moves that still wait and the time that a successor must wait.
    """
    term = state.term
    assert term is not None
    timing = state.setup.timing
    takeover_wait = takeover_wait_to_write(
        now,
        timedelta(),
        _extra_wait_ends(term, now, timing),
        False,
        timing,
        state.setup.rules,
    )
    waiting = {epoch for move in term.moves if not move.is_released for epoch in move.epochs}
    return replace(
        known,
        version=known.version + 1,
        takeover_wait=takeover_wait,
        pending_versions=tuple(sorted(waiting)),
    )


def _extra_wait_ends(term: Term, now: timedelta, timing: LeaseTiming) -> tuple[timedelta, ...]:
    """Return the ends of authority and leases for which a successor needs `takeover_wait`."""
    if term.extended_until > term.renewed_at + timing.usable_duration(timing.authority_duration):
        return term.inherited_leases_until, term.extended_until
    return (term.inherited_leases_until,)


def _should_apply(
    term: Term, known: GroupRow, event: MovesPlanned, move: Move, now: timedelta
) -> bool:
    """Return whether a move changes an owner and makes no key unavailable for long.

    Keys without an owner, or with a lost one, are unavailable anyway. Any other move would have to
    wait for the leases of earlier coordinators and for earlier moves of its slot, so it is not
    begun before these have ended.
    """
    if move.key_hash is not None and not _changes_key_owner(known, event, move):
        return False
    source = event.servers[move.source] if move.source >= 0 else ""
    if source in event.lost or not source:
        return True
    if now < term.earlier_leases_until:
        return False
    return not any(move.slot in open_move.slots for open_move in term.moves)


def _changes_key_owner(known: GroupRow, event: MovesPlanned, move: Move) -> bool:
    slot_owner = known.owners[move.slot - known.first_slot]
    own_owners = {key.key_hash: key.server for key in known.keys}
    if move.key_hash not in own_owners and len(own_owners) >= MAX_KEY_OWNERS:
        return False
    current = own_owners.get(move.key_hash or 0, slot_owner)
    if move.destination < 0:
        return current != slot_owner
    return current < 0 or known.servers[current] != event.servers[move.destination]


def _row_with_moves(row: GroupRow, servers: tuple[str, ...], moves: Iterable[Move]) -> GroupRow:
    """Return `row` with owners as indices in `servers` and with the moves applied."""
    index = {name: i for i, name in enumerate(servers)}
    kept = tuple(name for name in row.servers if name not in index)
    servers = servers + kept
    index |= {name: i for i, name in enumerate(servers)}
    new_indices = [index[name] for name in row.servers]
    owners = [new_indices[owner] if owner >= 0 else -1 for owner in row.owners]
    epochs = list(row.epochs)
    keys = {k.key_hash: replace(k, server=new_indices[k.server]) for k in row.keys}
    epoch = row.version
    history = list(row.history)
    for move in moves:
        offset = move.slot - row.first_slot
        if move.key_hash is None:
            source = owners[offset]
            owners[offset] = move.destination
            epochs[offset] = epoch
            _move_returned_keys(keys, move, source, epoch)
        else:
            former = keys.get(move.key_hash)
            source = former.server if former is not None else owners[offset]
            destination = move.destination if move.destination >= 0 else owners[offset]
            keys[move.key_hash] = KeyOwner(move.key_hash, move.slot, destination, epoch)
        history.append(_record(move, servers, source, epoch))
    return replace(
        row,
        servers=servers,
        owners=tuple(owners),
        epochs=tuple(epochs),
        keys=tuple(keys.values()),
        pending_versions=(*row.pending_versions, epoch),
        history=tuple(history[-MAX_HISTORY_LENGTH:]),
    )


def _move_returned_keys(keys: dict[int, KeyOwner], move: Move, source: int, epoch: int) -> None:
    """Move the keys that had returned to their slot's owner along with the slot.

    These keys keep their own entries, because a server that once held an epoch for a key doesn't
    accept the slot's epoch for that key.
    """
    for key in [k for k in keys.values() if k.slot == move.slot and k.server == source]:
        keys[key.key_hash] = KeyOwner(key.key_hash, key.slot, move.destination, epoch)


def _record(move: Move, servers: tuple[str, ...], source: int, epoch: int) -> MoveRecord:
    return MoveRecord(
        move.slot,
        move.key_hash,
        servers[source] if source >= 0 else "",
        servers[move.destination] if move.destination >= 0 else "",
        epoch,
        move.reason,
    )


def on_change_written(state: GroupState, applied: AppliedWrite, now: timedelta) -> list[Effect]:
    """Open the moves of a write that took effect, and revoke the former owners."""
    term = state.term
    row = applied.row
    previous = applied.write.previous
    assert term is not None and previous is not None
    move = _open_move(term, previous, row, now)
    if move is None:
        return []
    term.moves.append(move)
    return _revocation_messages(state, move, now)


def _open_move(term: Term, previous: GroupRow, row: GroupRow, now: timedelta) -> OpenMove | None:
    slots = _changed_slots(row)
    keys = _changed_keys(row)
    if not slots and not keys:
        return None
    return OpenMove(
        epochs=frozenset((row.version,)),
        slots=frozenset(slots),
        keys=frozenset(keys),
        holders={m: h.lease_until for m, h in term.holders.items() if h.lease_until > now},
        former_owners=_former_owners(term, previous, row, now),
        waits_for_earlier_leases=True,
    )


def _changed_slots(row: GroupRow) -> list[int]:
    return [
        row.first_slot + offset for offset, epoch in enumerate(row.epochs) if epoch == row.version
    ]


def _changed_keys(row: GroupRow) -> dict[int, int]:
    """Return the slot of each key whose own entry has changed."""
    return {key.key_hash: key.slot for key in row.keys if key.epoch == row.version}


def _former_owners(
    term: Term, previous: GroupRow, row: GroupRow, now: timedelta
) -> dict[str, FormerOwner]:
    slots: dict[int, list[tuple[int, int]]] = {}
    keys: dict[int, list[tuple[int, int]]] = {}
    for slot in _changed_slots(row):
        owner = previous.owners[slot - row.first_slot]
        slots.setdefault(owner, []).append((slot, row.version))
    key_owners = {key.key_hash: key.server for key in previous.keys}
    for key_hash, slot in _changed_keys(row).items():
        owner = key_owners.get(key_hash, previous.owners[slot - row.first_slot])
        keys.setdefault(owner, []).append((key_hash, row.version))
    return {
        previous.servers[owner]: FormerOwner(
            slot_ranges(slots.get(owner, ())),
            tuple(keys.get(owner, ())),
            term.server_grants_until.get(previous.servers[owner], now),
        )
        for owner in set(slots) | set(keys)
        if owner >= 0
    }


def inherited_moves(row: GroupRow, first: bool) -> list[OpenMove]:
    """Return the moves that earlier coordinators may have left incomplete.

    Parameters
    ----------
    row : GroupRow
        The row that begins the term.
    first : bool
        Whether the row is the group's first, so that no earlier leases exist.
    """
    if not row.pending_versions:
        return []
    epochs = frozenset(row.pending_versions)
    slots = (row.first_slot + i for i, epoch in enumerate(row.epochs) if epoch in epochs)
    keys = (key.key_hash for key in row.keys if key.epoch in epochs)
    return [OpenMove(epochs, frozenset(slots), frozenset(keys), {}, {}, not first)]


def progress_moves(state: GroupState, now: timedelta) -> list[Effect]:
    """Release the moves whose wait is over, and repeat the revocations of the others.

    A move that is released and accepted by its new owners is complete.
    """
    term = state.term
    row = state.known_row
    assert term is not None and row is not None
    for move in term.moves:
        if not move.is_released and _wait_is_over(state, term, move, now):
            move.is_released = True
            move.unaccepted_servers = _new_owners(row, move)
        elif move.is_released:
            move.unaccepted_servers &= _new_owners(row, move)
    unfinished = [move for move in term.moves if not move.is_released or move.unaccepted_servers]
    effects: list[Effect] = []
    if len(unfinished) < len(term.moves):
        effects += _lease_offers(state, term, row, now)
    term.moves = unfinished
    if now - term.revocations_sent_at < state.setup.timing.retry_interval:
        return effects
    term.revocations_sent_at = now
    waiting = [move for move in term.moves if not move.is_released]
    return effects + [
        message for move in waiting for message in _revocation_messages(state, move, now)
    ]


def _lease_offers(state: GroupState, term: Term, row: GroupRow, now: timedelta) -> list[Effect]:
    setup = state.setup
    offer = LeaseOffer(setup.service, setup.group, setup.member, row.version)
    return [
        SendMessage(instance_of(member), offer)
        for member, holder in sorted(term.holders.items())
        if holder.lease_until > now
    ]


def _wait_is_over(state: GroupState, term: Term, move: OpenMove, now: timedelta) -> bool:
    if _follows_waiting_move(term, move):
        return False
    if not state.setup.rules.wait_before_granting:
        return True
    if any(
        not former.has_accepted and now < former.grants_until
        for former in move.former_owners.values()
    ):
        return False
    if state.setup.checks_fencing and _is_fenced_off(move):
        return not any(_is_responsive(state, term, member, now) for member in move.holders)
    if move.waits_for_earlier_leases and now < term.earlier_leases_until:
        return False
    return all(now >= until for until in move.holders.values())


def _follows_waiting_move(term: Term, move: OpenMove) -> bool:
    """Return whether an earlier move of the same slots or keys is still waiting."""
    earlier = term.moves[: term.moves.index(move)]
    return any(
        not other.is_released and (other.slots & move.slots or other.keys & move.keys)
        for other in earlier
    )


def _is_fenced_off(move: OpenMove) -> bool:
    """Return whether all former owners are known and refuse requests under older epochs."""
    return bool(move.former_owners) and all(
        former.has_accepted for former in move.former_owners.values()
    )


def _is_responsive(state: GroupState, term: Term, member: str, now: timedelta) -> bool:
    holder = term.holders.get(member)
    return holder is not None and now - holder.heard_at < state.setup.timing.silence_timeout


def _new_owners(row: GroupRow, move: OpenMove) -> set[str]:
    owners = {
        row.owners[slot - row.first_slot]
        for slot in move.slots
        if row.epochs[slot - row.first_slot] in move.epochs
    }
    owners.update(
        key.server for key in row.keys if key.key_hash in move.keys and key.epoch in move.epochs
    )
    return {row.servers[owner] for owner in owners if owner >= 0}


def _revocation_messages(state: GroupState, move: OpenMove, now: timedelta) -> list[Effect]:
    setup = state.setup
    revocation = Revocation(
        setup.service,
        setup.group,
        setup.member,
        max(move.epochs),
        tuple(sorted(move.slots)),
        tuple(sorted(move.keys)),
    )
    return [
        SendMessage(instance_of(member), revocation)
        for member, until in sorted(move.holders.items())
        if until > now
    ]


def record_revocation_ack(term: Term, member: str, version: int, through: bool) -> None:
    """Record that a lease holder no longer uses the former owners.

    Parameters
    ----------
    term : Term
    member : str
    version : int
    through : bool
        Whether the acknowledgement covers all moves up to `version`, not only that one.
    """
    for move in term.moves:
        newest = max(move.epochs)
        if newest == version or (through and newest <= version):
            move.holders.pop(member, None)


def record_server_exit(term: Term, server: str) -> None:
    """Record that a server's process has ended."""
    term.server_grants_until.pop(server, None)
    for move in term.moves:
        if server in move.former_owners:
            move.former_owners[server].has_accepted = True


def closed_slots_and_keys(term: Term, row: GroupRow) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return the slots and key hashes that a lease granted now must exclude."""
    slots: set[int] = set()
    keys: set[int] = set()
    for move in term.moves:
        if not move.is_released:
            slots |= move.slots
            keys |= move.keys
            continue
        unaccepted = {
            row.servers.index(name) for name in move.unaccepted_servers if name in row.servers
        }
        slots.update(slot for slot in move.slots if _is_unaccepted(row, move, slot, unaccepted))
        keys.update(
            key.key_hash
            for key in row.keys
            if key.epoch in move.epochs and key.server in unaccepted
        )
    return tuple(sorted(slots)), tuple(sorted(keys))


def _is_unaccepted(row: GroupRow, move: OpenMove, slot: int, unaccepted: set[int]) -> bool:
    offset = slot - row.first_slot
    return row.epochs[offset] in move.epochs and row.owners[offset] in unaccepted


def is_closed(moves: Iterable[OpenMove], key_hash: int) -> bool:
    """Return whether one of `moves` moves the key by itself."""
    return any(key_hash in move.keys for move in moves)
