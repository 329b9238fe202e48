"""Moves of slots and keys between servers."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from ..planning.interfaces import Move
from .authority import debt_to_write
from .effects import Effect, MovesPlanned, SendMessage
from .grants import slot_ranges
from .messages import LeaseOffer, Revocation
from .row import GroupRow, KeyOwner, MoveRecord
from .state import Former, GroupState, OpenMove, Term, WriteKind, instance_of
from .timing import LeaseTiming
from .writes import TookEffect, begin_write

__all__ = [
    "change_row",
    "closed_parts",
    "inherited_moves",
    "is_closed",
    "may_write",
    "note_ack",
    "note_server_end",
    "on_change_written",
    "on_moves_planned",
    "progress_moves",
]

HISTORY_LENGTH = 32
MAX_KEY_OWNERS = 512


def may_write(state: GroupState, now: timedelta) -> bool:
    """Return whether the coordinator may begin a write; it does so only if the table answers."""
    term = state.term
    if term is None or state.write is not None or state.stopping:
        return False
    return now - term.renewed < state.setup.timing.renew_interval * 2


def on_moves_planned(state: GroupState, event: MovesPlanned, now: timedelta) -> list[Effect]:
    """Write the moves that can be made now into the row."""
    if not may_write(state, now):
        return []
    term = state.term
    known = state.known
    assert term is not None and known is not None
    moves = [move for move in event.moves if _is_useful(term, known, event, move, now)]
    if not moves:
        return []
    term.moved = now
    row = _row_with_moves(change_row(state, known, now), event.servers, moves)
    return begin_write(state, WriteKind.CHANGE, row, now)


def change_row(state: GroupState, known: GroupRow, now: timedelta) -> GroupRow:
    """Return the next row of this coordinator, with what is still unsettled and owed."""
    term = state.term
    assert term is not None
    timing = state.setup.timing
    debt = debt_to_write(
        now,
        timedelta(),
        _ends_to_write(term, now, timing),
        False,
        timing,
        state.setup.rules,
    )
    waiting = {epoch for move in term.moves if not move.released for epoch in move.epochs}
    return replace(known, version=known.version + 1, debt=debt, unsettled=tuple(sorted(waiting)))


def _ends_to_write(term: Term, now: timedelta, timing: LeaseTiming) -> tuple[timedelta, ...]:
    """Return the ends of what a successor would not wait for by itself."""
    if term.extended > term.renewed + timing.held(timing.authority):
        return term.owed_until, term.extended
    return (term.owed_until,)


def _is_useful(
    term: Term, known: GroupRow, event: MovesPlanned, move: Move, now: timedelta
) -> bool:
    """Return whether a move changes anything, and begins no outage that would last."""
    if move.key_hash is not None and not _moves_key(known, event, move):
        return False
    source = event.servers[move.source] if move.source >= 0 else ""
    if source in event.lost or not source:
        return True
    if now < term.strangers_until:
        return False
    return not any(move.slot in open_move.slots for open_move in term.moves)


def _moves_key(known: GroupRow, event: MovesPlanned, move: Move) -> bool:
    slot_owner = known.owners[move.slot - known.first_slot]
    own = {key.key_hash: key.server for key in known.keys}
    if move.key_hash not in own and len(own) >= MAX_KEY_OWNERS:
        return False
    present = own.get(move.key_hash or 0, slot_owner)
    if move.destination < 0:
        return present != slot_owner
    return present < 0 or known.servers[present] != event.servers[move.destination]


def _row_with_moves(row: GroupRow, servers: tuple[str, ...], moves: Iterable[Move]) -> GroupRow:
    """Return `row` with owners by their index in `servers` and the moves made."""
    index = {name: i for i, name in enumerate(servers)}
    kept = tuple(name for name in row.servers if name not in index)
    servers = servers + kept
    index |= {name: i for i, name in enumerate(servers)}
    renumbered = [index[name] for name in row.servers]
    owners = [renumbered[owner] if owner >= 0 else -1 for owner in row.owners]
    epochs = list(row.epochs)
    keys = {k.key_hash: replace(k, server=renumbered[k.server]) for k in row.keys}
    epoch = row.version
    history = list(row.history)
    for move in moves:
        offset = move.slot - row.first_slot
        if move.key_hash is None:
            source = owners[offset]
            owners[offset] = move.destination
            epochs[offset] = epoch
            _move_keys_along(keys, move, source, epoch)
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
        unsettled=(*row.unsettled, epoch),
        history=tuple(history[-HISTORY_LENGTH:]),
    )


def _move_keys_along(keys: dict[int, KeyOwner], move: Move, source: int, epoch: int) -> None:
    """Let the keys that had returned to their slot's owner move along with the slot.

    They keep an entry of their own, since a server that once held an epoch for a key doesn't
    accept its slot's epoch for it.
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


def on_change_written(state: GroupState, effect: TookEffect, now: timedelta) -> list[Effect]:
    """Begin the wait for the moves of a change that took effect."""
    term = state.term
    row = effect.row
    previous = effect.write.previous
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
        holders={m: h.until for m, h in term.holders.items() if h.until > now},
        former=_former_owners(term, previous, row, now),
        after_strangers=True,
    )


def _changed_slots(row: GroupRow) -> list[int]:
    return [
        row.first_slot + offset for offset, epoch in enumerate(row.epochs) if epoch == row.version
    ]


def _changed_keys(row: GroupRow) -> dict[int, int]:
    """Return the slots of the keys whose own entry has changed."""
    return {key.key_hash: key.slot for key in row.keys if key.epoch == row.version}


def _former_owners(
    term: Term, previous: GroupRow, row: GroupRow, now: timedelta
) -> dict[str, Former]:
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
        previous.servers[owner]: Former(
            slot_ranges(slots.get(owner, ())),
            tuple(keys.get(owner, ())),
            term.server_until.get(previous.servers[owner], now),
        )
        for owner in set(slots) | set(keys)
        if owner >= 0
    }


def inherited_moves(row: GroupRow, first: bool) -> list[OpenMove]:
    """Return the moves that earlier coordinators may not have completed.

    Parameters
    ----------
    row : GroupRow
        The row that begins the term.
    first : bool
        Whether the row is the group's first, so that nobody holds an earlier lease.
    """
    if not row.unsettled:
        return []
    epochs = frozenset(row.unsettled)
    slots = (row.first_slot + i for i, epoch in enumerate(row.epochs) if epoch in epochs)
    keys = (key.key_hash for key in row.keys if key.epoch in epochs)
    return [OpenMove(epochs, frozenset(slots), frozenset(keys), {}, {}, not first)]


def progress_moves(state: GroupState, now: timedelta) -> list[Effect]:
    """Release the moves whose wait is over, and repeat the revocations of the others."""
    term = state.term
    row = state.known
    assert term is not None and row is not None
    for move in term.moves:
        if not move.released and _wait_is_over(state, term, move, now):
            move.released = True
            move.unaccepted = _new_owners(row, move)
        elif move.released:
            move.unaccepted &= _new_owners(row, move)
    unfinished = [move for move in term.moves if not move.released or move.unaccepted]
    effects: list[Effect] = []
    if len(unfinished) < len(term.moves):
        effects += _lease_offers(state, term, row, now)
    term.moves = unfinished
    if now - term.revoked < state.setup.timing.retry:
        return effects
    term.revoked = now
    waiting = [move for move in term.moves if not move.released]
    return effects + [
        message for move in waiting for message in _revocation_messages(state, move, now)
    ]


def _lease_offers(state: GroupState, term: Term, row: GroupRow, now: timedelta) -> list[Effect]:
    setup = state.setup
    offer = LeaseOffer(setup.service, setup.group, setup.member, row.version)
    return [
        SendMessage(instance_of(member), offer)
        for member, holder in sorted(term.holders.items())
        if holder.until > now
    ]


def _wait_is_over(state: GroupState, term: Term, move: OpenMove, now: timedelta) -> bool:
    if _follows_waiting_move(term, move):
        return False
    if not state.setup.rules.wait_before_granting:
        return True
    if any(not former.accepted and now < former.until for former in move.former.values()):
        return False
    if state.setup.checks_fencing and _is_fenced_off(move):
        return not any(_is_heard(state, term, member, now) for member in move.holders)
    if move.after_strangers and now < term.strangers_until:
        return False
    return all(now >= until for until in move.holders.values())


def _follows_waiting_move(term: Term, move: OpenMove) -> bool:
    """Return whether an earlier move of the same slots or keys still waits."""
    earlier = term.moves[: term.moves.index(move)]
    return any(
        not other.released and (other.slots & move.slots or other.keys & move.keys)
        for other in earlier
    )


def _is_fenced_off(move: OpenMove) -> bool:
    """Return whether all former owners are known and refuse what comes under older epochs."""
    return bool(move.former) and all(former.accepted for former in move.former.values())


def _is_heard(state: GroupState, term: Term, member: str, now: timedelta) -> bool:
    holder = term.holders.get(member)
    return holder is not None and now - holder.heard < state.setup.timing.silence


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


def note_ack(term: Term, member: str, version: int, through: bool) -> None:
    """Take a holder's word that it uses the former owners no more.

    Parameters
    ----------
    term : Term
    member : str
    version : int
    through : bool
        Whether the word holds for all moves up to `version`, not only for that one.
    """
    for move in term.moves:
        newest = max(move.epochs)
        if newest == version or (through and newest <= version):
            move.holders.pop(member, None)


def note_server_end(term: Term, server: str) -> None:
    """Take the proof that a server's process has ended."""
    term.server_until.pop(server, None)
    for move in term.moves:
        if server in move.former:
            move.former[server].accepted = True


def closed_parts(term: Term, row: GroupRow) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return the slots and key hashes that no lease may cover now."""
    slots: set[int] = set()
    keys: set[int] = set()
    for move in term.moves:
        if not move.released:
            slots |= move.slots
            keys |= move.keys
            continue
        unaccepted = {row.servers.index(name) for name in move.unaccepted if name in row.servers}
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
    """Return whether a key is part of one of `moves`."""
    return any(key_hash in move.keys for move in moves)
