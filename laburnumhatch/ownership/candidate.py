"""When an instance becomes the coordinator of a group."""

from dataclasses import replace
from datetime import timedelta

import xxhash

from .authority import debt_to_write, needs_stranger_wait
from .effects import Effect, ReadRow, RowRead
from .messages import Handover
from .row import FIRST_EPOCH, GroupRow, initial_owners
from .state import GroupState, WriteKind, instance_of
from .writes import begin_write

__all__ = ["candidate_tick", "on_handover", "rank_of_instance", "take_over_if_due"]

MAX_DOUBLINGS = 5


def candidate_tick(state: GroupState, now: timedelta) -> list[Effect]:
    """Read the row where this instance should become the coordinator."""
    if state.term is not None or state.write is not None or state.stopping:
        return []
    candidate = state.candidate
    if now - candidate.tried < state.setup.timing.retry:
        return []
    if state.known is not None and not _is_due(state, now):
        return []
    candidate.tried = now
    return [ReadRow()]


def take_over_if_due(state: GroupState, event: RowRead, now: timedelta) -> list[Effect]:
    """Write this instance into the row that was read, where its turn has come.

    The row has been learnt already.
    """
    if state.term is not None or state.write is not None or state.stopping:
        return []
    _note_reached(state, event, now)
    if not event.available or event.sent < state.candidate.tried:
        return []
    if event.row is None:
        return _create_if_due(state, now)
    if state.known is None or event.row.version != state.known.version:
        return []
    if not _is_due(state, now):
        return []
    return begin_write(state, WriteKind.TAKEOVER, _takeover_row(state, state.known, now), now)


def _note_reached(state: GroupState, event: RowRead, now: timedelta) -> None:
    candidate = state.candidate
    if not event.available or now - candidate.isolated > state.setup.timing.renew_interval * 2:
        candidate.reached = None
    elif candidate.reached is None:
        candidate.reached = now


def on_handover(state: GroupState, message: Handover, now: timedelta) -> list[Effect]:
    """Take over from a coordinator that stops."""
    known = state.known
    if known is not None and known.version > message.version:
        return []
    state.candidate.invited = now
    return candidate_tick(state, now)


def rank_of_instance(state: GroupState, excluded: str) -> int:
    """Return this instance's place in the order of candidates, by rendezvous hashing.

    Different groups have different orders, so that their coordinators spread over the instances.
    """
    setup = state.setup
    own = _weight(setup.service, setup.group, setup.instance)
    names = (name for name in state.peers if name != excluded)
    return sum(_weight(setup.service, setup.group, name) > own for name in names)


def _is_due(state: GroupState, now: timedelta) -> bool:
    known = state.known
    assert known is not None
    timing = state.setup.timing
    candidate = state.candidate
    if now - candidate.invited < timing.silence:
        return True
    if _coordinator_is_isolated(state, now):
        return True
    heard = candidate.heard
    if state.setup.member in known.standbys:
        place = known.standbys.index(state.setup.member)
    else:
        place = len(known.standbys) + 1 + rank_of_instance(state, instance_of(known.coordinator))
        heard = max(heard, candidate.heard_by_others)
    patience = timing.silence * 2 ** min(candidate.superseded, MAX_DOUBLINGS)
    return now - heard > patience + timing.stagger * place


def _coordinator_is_isolated(state: GroupState, now: timedelta) -> bool:
    """Return whether this instance has reached the table for a while and the coordinator not."""
    candidate = state.candidate
    patience = state.setup.timing.renew_interval * 2
    if now - candidate.isolated > patience or candidate.reached is None:
        return False
    return candidate.isolated - candidate.reached > patience


def _create_if_due(state: GroupState, now: timedelta) -> list[Effect]:
    if state.known is not None or state.began is None or not state.servers:
        return []
    if now - state.began < state.setup.timing.stagger * rank_of_instance(state, ""):
        return []
    setup = state.setup
    count = len(setup.slots)
    row = GroupRow(
        version=1,
        coordinator=setup.member,
        standbys=(),
        first_slot=setup.slots.start,
        servers=state.servers,
        owners=initial_owners(count, len(state.servers)),
        epochs=(FIRST_EPOCH,) * count,
        unsettled=(FIRST_EPOCH,),
    )
    return begin_write(state, WriteKind.TAKEOVER, row, now)


def _takeover_row(state: GroupState, known: GroupRow, now: timedelta) -> GroupRow:
    setup = state.setup
    rules = setup.rules
    ends = []
    if rules.remember_own_promises:
        ends.append(state.promised)
    if rules.remember_own_grants:
        ends.append(state.granted)
    debt = debt_to_write(
        now,
        known.debt if rules.inherit_debt else timedelta(),
        tuple(ends),
        needs_stranger_wait(known, setup.member),
        setup.timing,
        rules,
    )
    return replace(
        known, version=known.version + 1, coordinator=setup.member, standbys=(), debt=debt
    )


def _weight(service: str, group: int, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}\0{group}\0{instance}".encode())
