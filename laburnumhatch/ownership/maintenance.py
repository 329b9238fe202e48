"""Writes by which a coordinator keeps its row in order: its standbys, and what is settled."""

from dataclasses import replace
from datetime import timedelta

import xxhash

from .effects import Effect, SendMessage
from .messages import Handover
from .moving import change_row, may_write
from .row import GroupRow
from .state import GroupState, Term, WriteKind, instance_of
from .writes import begin_write

__all__ = ["choose_standbys", "hand_over", "maintain_row"]

MAINTENANCE_INTERVAL = timedelta(seconds=1)
# A standby that has not asked for a lease for so long is replaced.
STANDBY_SILENCE = timedelta(seconds=2)


def maintain_row(state: GroupState, now: timedelta) -> list[Effect]:
    """Name other standbys, or write that earlier moves and debts are settled, where due."""
    if not may_write(state, now):
        return []
    term = state.term
    known = state.known
    assert term is not None and known is not None
    if now - term.maintained < MAINTENANCE_INTERVAL:
        return []
    row = replace(change_row(state, known, now), standbys=choose_standbys(state, now))
    renamed = row.standbys != known.standbys
    if not renamed and not _settles(state, term, known, row, now):
        return []
    term.maintained = now
    return begin_write(state, WriteKind.CHANGE, row, now)


def _settles(state: GroupState, term: Term, known: GroupRow, row: GroupRow, now: timedelta) -> bool:
    if now - term.moved < state.setup.timing.settle_delay or now < term.strangers_until:
        return False
    return len(row.unsettled) < len(known.unsettled) or (bool(known.debt) and not row.debt)


def choose_standbys(state: GroupState, now: timedelta) -> tuple[str, ...]:
    """Return the members that the row should name.

    Notes
    -----
    Standbys that are still heard stay. Others come from the members that hold leases: first from
    data centres that no chosen member is in, then by rendezvous hashing, so that the standbys of
    different groups spread over the instances.
    """
    term = state.term
    known = state.known
    assert term is not None and known is not None
    setup = state.setup
    heard = {
        member: holder.heard
        for member, holder in term.holders.items()
        if member != setup.member and instance_of(member) in state.peers
    }
    chosen = [m for m in known.standbys if m in heard and now - heard[m] < STANDBY_SILENCE]
    fresh = {m for m in heard if now - heard[m] < setup.timing.silence} - set(chosen)
    while fresh and len(chosen) < setup.standby_count:
        used = {setup.data_centre} | {_data_centre(state, member) for member in chosen}
        best = max(fresh, key=lambda m: (_data_centre(state, m) not in used, _weight(state, m)))
        chosen.append(best)
        fresh.remove(best)
    return tuple(chosen[: setup.standby_count])


def hand_over(state: GroupState, now: timedelta) -> list[Effect]:
    """Ask the first instance that is heard to take over."""
    term = state.term
    known = state.known
    if term is None or known is None or state.write is not None:
        return []
    if now - term.asked < state.setup.timing.retry:
        return []
    term.asked = now
    successors = choose_standbys(state, now)
    setup = state.setup
    return [
        SendMessage(
            instance_of(member),
            Handover(setup.service, setup.group, setup.member, known.version),
        )
        for member in successors[:1]
    ]


def _data_centre(state: GroupState, member: str) -> str:
    return state.peers.get(instance_of(member), "")


def _weight(state: GroupState, member: str) -> int:
    setup = state.setup
    return xxhash.xxh3_64_intdigest(f"{setup.service}\0{setup.group}\0{member}".encode())
