"""Writes by which a coordinator updates its standbys and the record of completed moves."""

from dataclasses import replace
from datetime import timedelta

import xxhash

from .effects import Effect, SendMessage
from .messages import Handover
from .moving import may_write, next_row
from .row import GroupRow
from .state import GroupState, Term, WriteKind, instance_of
from .writes import begin_write

__all__ = ["choose_standbys", "hand_over", "maintain_row"]

MAINTENANCE_INTERVAL = timedelta(seconds=1)
# A standby that has not requested a lease for this time is replaced.
STANDBY_TIMEOUT = timedelta(seconds=2)


def maintain_row(state: GroupState, now: timedelta) -> list[Effect]:
    """Write a change of standbys, or that earlier moves and waits are over, if one is due."""
    if not may_write(state, now):
        return []
    term = state.term
    known = state.known_row
    assert term is not None and known is not None
    if now - term.maintained_at < MAINTENANCE_INTERVAL:
        return []
    row = replace(next_row(state, known, now), standbys=choose_standbys(state, now))
    standbys_changed = row.standbys != known.standbys
    if not standbys_changed and not _settles_row(state, term, known, row, now):
        return []
    term.maintained_at = now
    return begin_write(state, WriteKind.CHANGE, row, now)


def _settles_row(
    state: GroupState, term: Term, known: GroupRow, row: GroupRow, now: timedelta
) -> bool:
    if now - term.moved_at < state.setup.timing.settle_delay or now < term.earlier_leases_until:
        return False
    return len(row.pending_versions) < len(known.pending_versions) or (
        bool(known.takeover_wait) and not row.takeover_wait
    )


def choose_standbys(state: GroupState, now: timedelta) -> tuple[str, ...]:
    """Return the members that the row should name.

    Notes
    -----
    Standbys that still request leases stay. Others are chosen among the members that hold leases:
    members in data centres without a chosen member come first, then the order is that of
    rendezvous hashing, which spreads the standbys of different groups over the instances.
    """
    term = state.term
    known = state.known_row
    assert term is not None and known is not None
    setup = state.setup
    heard_at = {
        member: holder.heard_at
        for member, holder in term.holders.items()
        if member != setup.member and instance_of(member) in state.peers
    }
    chosen = [m for m in known.standbys if m in heard_at and now - heard_at[m] < STANDBY_TIMEOUT]
    available = {m for m in heard_at if now - heard_at[m] < setup.timing.silence_timeout} - set(
        chosen
    )
    while available and len(chosen) < setup.standby_count:
        used_data_centres = {setup.data_centre} | {_data_centre(state, member) for member in chosen}
        best = max(
            available,
            key=lambda m: (_data_centre(state, m) not in used_data_centres, _weight(state, m)),
        )
        chosen.append(best)
        available.remove(best)
    return tuple(chosen[: setup.standby_count])


def hand_over(state: GroupState, now: timedelta) -> list[Effect]:
    """Ask the first member of the standbys that the row should name to take over."""
    term = state.term
    known = state.known_row
    if term is None or known is None or state.write is not None:
        return []
    if now - term.asked_at < state.setup.timing.retry_interval:
        return []
    term.asked_at = now
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
