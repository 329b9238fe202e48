"""Decisions of an instance on when it becomes the coordinator of a group."""

from dataclasses import replace
from datetime import timedelta

import xxhash

from .authority import needs_non_standby_wait, takeover_wait_to_write
from .effects import Effect, ReadRow, RowRead
from .messages import Handover
from .row import FIRST_EPOCH, GroupRow, initial_owners
from .state import GroupState, WriteKind, instance_of
from .writes import begin_write

__all__ = ["read_row_if_due", "on_handover", "rank_of_instance", "take_over_if_due"]

MAX_BACKOFF_DOUBLINGS = 5


def read_row_if_due(state: GroupState, now: timedelta) -> list[Effect]:
    """Read the row if this instance is due to become the coordinator."""
    if state.term is not None or state.write is not None or state.is_stopping:
        return []
    candidate = state.candidate
    if now - candidate.takeover_read_at < state.setup.timing.retry_interval:
        return []
    if state.known_row is not None and not _is_due(state, now):
        return []
    candidate.takeover_read_at = now
    return [ReadRow()]


def take_over_if_due(state: GroupState, event: RowRead, now: timedelta) -> list[Effect]:
    """Write this instance into the row as the coordinator if it is due to take over.

    The known row has already been updated from the row that was read.
    """
    if state.term is not None or state.write is not None or state.is_stopping:
        return []
    _record_table_access(state, event, now)
    if not event.is_available or event.sent_at < state.candidate.takeover_read_at:
        return []
    if event.row is None:
        return _create_if_due(state, now)
    if state.known_row is None or event.row.version != state.known_row.version:
        return []
    if not _is_due(state, now):
        return []
    return begin_write(state, WriteKind.TAKEOVER, _takeover_row(state, state.known_row, now), now)


def _record_table_access(state: GroupState, event: RowRead, now: timedelta) -> None:
    candidate = state.candidate
    if (
        not event.is_available
        or now - candidate.coordinator_isolated_at > state.setup.timing.renew_interval * 2
    ):
        candidate.table_reached_since = None
    elif candidate.table_reached_since is None:
        candidate.table_reached_since = now


def on_handover(state: GroupState, message: Handover, now: timedelta) -> list[Effect]:
    """Take over from a coordinator that is stopping."""
    known = state.known_row
    if known is not None and known.version > message.version:
        return []
    state.candidate.handover_requested_at = now
    return read_row_if_due(state, now)


def rank_of_instance(state: GroupState, excluded: str) -> int:
    """Return this instance's rank among the candidates, by rendezvous hashing.

    Each group has its own order, which spreads the coordinators over the instances.
    """
    setup = state.setup
    own = _weight(setup.service, setup.group, setup.instance)
    names = (name for name in state.peers if name != excluded)
    return sum(_weight(setup.service, setup.group, name) > own for name in names)


def _is_due(state: GroupState, now: timedelta) -> bool:
    known = state.known_row
    assert known is not None
    timing = state.setup.timing
    candidate = state.candidate
    if now - candidate.handover_requested_at < timing.silence_timeout:
        return True
    if _coordinator_is_isolated(state, now):
        return True
    heard_at = candidate.coordinator_heard_at
    if state.setup.member in known.standbys:
        rank = known.standbys.index(state.setup.member)
    else:
        rank = len(known.standbys) + 1 + rank_of_instance(state, instance_of(known.coordinator))
        heard_at = max(heard_at, candidate.coordinator_heard_by_others_at)
    timeout = timing.silence_timeout * 2 ** min(candidate.superseded_count, MAX_BACKOFF_DOUBLINGS)
    return now - heard_at > timeout + timing.candidate_stagger * rank


def _coordinator_is_isolated(state: GroupState, now: timedelta) -> bool:
    """Return whether only this instance, not the coordinator, has reached the table lately."""
    candidate = state.candidate
    timeout = state.setup.timing.renew_interval * 2
    if now - candidate.coordinator_isolated_at > timeout or candidate.table_reached_since is None:
        return False
    return candidate.coordinator_isolated_at - candidate.table_reached_since > timeout


def _create_if_due(state: GroupState, now: timedelta) -> list[Effect]:
    if state.known_row is not None or state.first_tick_at is None or not state.servers:
        return []
    if now - state.first_tick_at < state.setup.timing.candidate_stagger * rank_of_instance(
        state, ""
    ):
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
        pending_versions=(FIRST_EPOCH,),
    )
    return begin_write(state, WriteKind.TAKEOVER, row, now)


def _takeover_row(state: GroupState, known: GroupRow, now: timedelta) -> GroupRow:
    setup = state.setup
    rules = setup.rules
    ends = []
    if rules.remember_own_promises:
        ends.append(state.promised_until)
    if rules.remember_own_grants:
        ends.append(state.granted_until)
    takeover_wait = takeover_wait_to_write(
        now,
        known.takeover_wait if rules.inherit_takeover_wait else timedelta(),
        tuple(ends),
        needs_non_standby_wait(known, setup.member),
        setup.timing,
        rules,
    )
    return replace(
        known,
        version=known.version + 1,
        coordinator=setup.member,
        standbys=(),
        takeover_wait=takeover_wait,
    )


def _weight(service: str, group: int, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}\0{group}\0{instance}".encode())
