"""Decisions of a group's coordinator on its own authority and on the leases that it grants."""

from dataclasses import replace
from datetime import timedelta

from .authority import (
    extension_end,
    inherited_leases_end,
    lease_validity,
    needs_non_standby_wait,
    server_validity,
)
from .effects import Effect, ReadRow, SendGrants, SendMessage, ServerAnswered
from .grants import GrantAnswer, GrantSet, SlotRange, slot_ranges
from .messages import (
    Consent,
    ConsentRequest,
    CoordinatorNotice,
    LeaseGrant,
    LeaseRefusal,
    LeaseRequest,
    PromiseQuery,
    PromiseReply,
)
from .moving import (
    closed_slots_and_keys,
    inherited_moves,
    is_closed,
    record_revocation_ack,
    record_server_exit,
)
from .row import GroupRow
from .state import LONG_AGO, ConsentRound, FormerOwner, GroupState, Holder, Term, instance_of
from .writes import AppliedWrite, encode_row_copy

__all__ = [
    "answer_lease_request",
    "begin_term",
    "record_renewal",
    "on_consent",
    "on_promise_reply",
    "on_server_answered",
    "renew_authority",
    "send_server_grants",
]

ZERO_DURATION = timedelta()
# A renewal that takes longer counts as failed, and the standbys are asked for their consent.
RENEWAL_TIMEOUT = timedelta(milliseconds=200)


def begin_term(state: GroupState, applied: AppliedWrite, now: timedelta) -> list[Effect]:
    """Begin a term as the coordinator after a takeover write that took effect."""
    setup = state.setup
    previous = applied.write.previous
    standbys: tuple[str, ...] = ()
    previous_authority_until = inherited_leases_until = min_inherited_leases_until = now
    if previous is not None:
        previous_authority_until = now + setup.timing.wait_duration(setup.timing.authority_duration)
        inherited_leases_until = min_inherited_leases_until = _inherited_leases_end(
            state, previous, now
        )
        if needs_non_standby_wait(previous, setup.member):
            standbys = previous.standbys
            min_inherited_leases_until = _inherited_leases_end(
                state, replace(previous, standbys=()), now
            )
    state.term = Term(
        started_at=now,
        first_version=applied.row.version,
        former_standbys=standbys,
        previous_authority_until=previous_authority_until,
        inherited_leases_until=inherited_leases_until,
        min_inherited_leases_until=min_inherited_leases_until,
        renewed_at=applied.sent_at if setup.rules.count_from_send_time else now,
        read_sent_at=now,
        moved_at=now,
    )
    state.lease.requested_at = LONG_AGO
    state.term.moves = inherited_moves(applied.row, first=previous is None)
    notice = CoordinatorNotice(
        setup.service, setup.group, setup.member, encode_row_copy(applied.row)
    )
    return [SendMessage(name, notice) for name in sorted(state.peers)]


def _inherited_leases_end(state: GroupState, previous: GroupRow, now: timedelta) -> timedelta:
    setup = state.setup
    return inherited_leases_end(
        now,
        previous,
        setup.member,
        state.promised_until,
        state.granted_until,
        setup.timing,
        setup.rules,
    )


def renew_authority(state: GroupState, now: timedelta) -> list[Effect]:
    """Renew the authority by the table, or by consent if the table fails to answer."""
    term = state.term
    assert term is not None
    timing = state.setup.timing
    effects: list[Effect] = []
    if now - term.read_sent_at >= timing.renew_interval:
        term.read_sent_at = now
        effects.append(ReadRow())
    is_overdue = now - term.renewed_at > timing.renew_interval + RENEWAL_TIMEOUT
    if is_overdue and now - term.asked_at >= timing.renew_interval:
        effects += _ask_standbys(state, term, now)
    return effects + _query_former_standbys(state, term, now)


def record_renewal(state: GroupState, sent_at: timedelta, now: timedelta) -> None:
    """Record a renewal by a read that found a row of this coordinator."""
    term = state.term
    assert term is not None
    term.renewed_at = max(
        term.renewed_at, sent_at if state.setup.rules.count_from_send_time else now
    )


def _ask_standbys(state: GroupState, term: Term, now: timedelta) -> list[Effect]:
    known = state.known_row
    assert known is not None
    required = _standbys_to_ask(state, known)
    if not required:
        return []
    term.asked_at = now
    state.lease.request_number += 1
    term.consent_round = ConsentRound(state.lease.request_number, now, required)
    setup = state.setup
    is_write_unresolved = state.write is not None
    return [
        SendMessage(
            instance_of(standby),
            ConsentRequest(
                setup.service,
                setup.group,
                setup.member,
                standby,
                term.consent_round.number,
                known.version,
                is_write_unresolved,
                now - term.renewed_at,
            ),
        )
        for standby in sorted(required)
    ]


def _standbys_to_ask(state: GroupState, known: GroupRow) -> frozenset[str]:
    """Return the members whose consent is needed.

    The result is empty where a row names no standbys, because a successor wouldn't know of the
    consent then.
    """
    lists = [known.standbys]
    if state.write is not None and state.setup.rules.ask_both_standby_lists:
        lists.append(state.write.row.standbys)
    if not all(lists):
        return frozenset()
    return frozenset(member for standbys in lists for member in standbys)


def on_consent(state: GroupState, message: Consent) -> None:
    """Extend the authority once all required standbys have consented."""
    term = state.term
    if term is None or term.consent_round is None or not message.is_granted:
        return
    if message.number != term.consent_round.number:
        return
    term.consent_round.granted_by.add(message.member)
    if term.consent_round.required <= term.consent_round.granted_by:
        end = extension_end(term.consent_round.sent_at, term.renewed_at, state.setup.timing)
        term.extended_until = max(term.extended_until, end)


def _query_former_standbys(state: GroupState, term: Term, now: timedelta) -> list[Effect]:
    if (
        term.inherited_leases_until <= term.min_inherited_leases_until
        or now >= term.inherited_leases_until
    ):
        return []
    if now - term.queried_at < state.setup.timing.retry_interval:
        return []
    term.queried_at = now
    setup = state.setup
    known = state.known_row
    assert known is not None
    row = encode_row_copy(known)
    return [
        SendMessage(
            instance_of(standby),
            PromiseQuery(setup.service, setup.group, setup.member, standby, row),
        )
        for standby in term.former_standbys
    ]


def on_promise_reply(state: GroupState, message: PromiseReply, now: timedelta) -> None:
    """Shorten the wait for earlier leases by the reply of a former standby.

    Notes
    -----
    The former coordinator needed the consent of every standby. So a single standby that replies
    when its last promise ends, and gives no further promise, bounds all extensions.
    """
    term = state.term
    if term is None or message.version < term.first_version:
        return
    end = now + state.setup.timing.wait_duration(message.remaining)
    term.inherited_leases_until = min(
        term.inherited_leases_until, max(term.min_inherited_leases_until, end)
    )


def answer_lease_request(
    state: GroupState, instance: str, message: LeaseRequest, now: timedelta
) -> list[Effect]:
    """Grant a routing lease, forward the request, or refuse it and name the coordinator."""
    setup = state.setup
    known = state.known_row
    copy = None
    if known is not None and known.version != message.version:
        copy = encode_row_copy(known)
    term = state.term
    if term is None and _can_relay(state, instance, message, now):
        assert known is not None
        return [SendMessage(instance_of(known.coordinator), message)]
    validity = ZERO_DURATION
    if term is not None:
        validity = lease_validity(now, term.authority_until(setup.timing), setup.timing)
    if term is None or known is None or validity <= ZERO_DURATION:
        has_heard_coordinator = (
            now - state.candidate.coordinator_heard_at < setup.timing.silence_timeout
            or term is not None
        )
        refusal = LeaseRefusal(
            setup.service,
            setup.group,
            setup.member,
            message.number,
            has_heard_coordinator,
            known.coordinator if known is not None else "",
            copy,
        )
        return [SendMessage(instance, refusal)]
    record_revocation_ack(term, message.member, message.acked_version, through=True)
    _record_holder(state, term, message.member, now + validity, now)
    slots, keys = closed_slots_and_keys(term, known)
    grant = LeaseGrant(
        setup.service,
        setup.group,
        setup.member,
        message.member,
        message.number,
        known.version,
        validity,
        slots,
        keys,
        copy,
    )
    return [SendMessage(instance, grant)]


def _can_relay(state: GroupState, instance: str, message: LeaseRequest, now: timedelta) -> bool:
    """Return whether to forward a request to the coordinator, which the sender may not reach."""
    if state.known_row is None or instance != instance_of(message.member):
        return False
    if instance_of(state.known_row.coordinator) in (instance, state.setup.instance):
        return False
    return now - state.candidate.coordinator_heard_at < state.setup.timing.silence_timeout


def _record_holder(
    state: GroupState, term: Term, member: str, until: timedelta, now: timedelta
) -> None:
    state.granted_until = max(state.granted_until, until)
    holder = term.holders.get(member)
    if holder is None:
        term.holders[member] = Holder(until, now)
        return
    holder.lease_until = max(holder.lease_until, until)
    holder.heard_at = now


def send_server_grants(state: GroupState, now: timedelta) -> list[Effect]:
    """Send grants and revocations to each server that is due for a call.

    A server gets one call at a time, so that it handles the calls in order.
    """
    term = state.term
    known = state.known_row
    assert term is not None and known is not None
    timing = state.setup.timing
    is_renewal_due = now - term.grants_sent_at >= timing.server_grant_interval
    revoked = _revocations_by_server(term)
    urgent_servers = set(revoked) | {
        name for move in term.moves for name in move.unaccepted_servers
    }
    names = set(known.servers) | urgent_servers if is_renewal_due else urgent_servers
    due = [name for name in sorted(names) if _may_call(state, name, now)]
    validity = server_validity(now, term.authority_until(timing), timing)
    if is_renewal_due and validity > ZERO_DURATION:
        term.grants_sent_at = now
    granted = _grants_by_server(term, known) if due and validity > ZERO_DURATION else {}
    effects: list[Effect] = []
    for name in due:
        to_revoke = revoked.get(name, NO_SLOTS_OR_KEYS)
        is_complete = name not in term.informed_servers
        if is_complete:
            to_revoke = _parts_not_owned(known, name)
        slots, keys = granted.get(name, NO_SLOTS_OR_KEYS)
        if not (slots or keys or any(to_revoke)):
            continue
        grants = GrantSet(
            slots, to_revoke[0], keys, to_revoke[1], validity, known.version, is_complete
        )
        if slots or keys:
            end = now + timing.server_call_timeout + timing.wait_duration(validity)
            term.server_grants_until[name] = max(term.server_grants_until.get(name, end), end)
            state.granted_until = max(state.granted_until, end)
        state.calls_in_flight[name] = now
        effects.append(SendGrants(name, grants))
    return effects


def on_server_answered(state: GroupState, event: ServerAnswered, now: timedelta) -> list[Effect]:
    """Handle a server's answer to its grants and revocations."""
    state.calls_in_flight.pop(event.server, None)
    if event.answer is not GrantAnswer.ACCEPTED:
        state.next_call_at[event.server] = now + state.setup.timing.retry_interval
    term = state.term
    if term is None:
        return []
    if event.answer is not GrantAnswer.ACCEPTED:
        term.informed_servers.discard(event.server)
    if event.answer is GrantAnswer.FENCED:
        return [ReadRow()]
    if event.answer is GrantAnswer.GONE:
        record_server_exit(term, event.server)
    if event.answer is GrantAnswer.ACCEPTED:
        _record_accepted(term, event)
    return []


def _record_accepted(term: Term, event: ServerAnswered) -> None:
    grants = event.grants
    if grants.is_complete:
        term.informed_servers.add(event.server)
    epochs = {r.epoch for r in grants.granted} | {epoch for _, epoch in grants.granted_keys}
    for move in term.moves:
        former = move.former_owners.get(event.server)
        if former is not None and _covers_revocation(grants, former, max(move.epochs)):
            former.has_accepted = True
        if move.is_released and epochs & move.epochs:
            move.unaccepted_servers.discard(event.server)


def _covers_revocation(grants: GrantSet, former: FormerOwner, epoch: int) -> bool:
    """Return whether a call revoked all slots and keys that a former owner lost under `epoch`."""
    if grants.is_complete:
        return grants.version >= epoch
    slots = set(former.slots) <= set(grants.revoked)
    return slots and set(former.keys) <= set(grants.revoked_keys)


def _may_call(state: GroupState, server: str, now: timedelta) -> bool:
    return server not in state.calls_in_flight and now >= state.next_call_at.get(server, now)


SlotsAndKeys = tuple[tuple[SlotRange, ...], tuple[tuple[int, int], ...]]


NO_SLOTS_OR_KEYS: SlotsAndKeys = ((), ())


def _parts_not_owned(row: GroupRow, server: str) -> SlotsAndKeys:
    """Return the slots and keys that a server doesn't own.

    They are sent to a server that may have missed revocations.
    """
    index = row.servers.index(server) if server in row.servers else -1
    slots = (
        (row.first_slot + offset, row.epochs[offset])
        for offset, owner in enumerate(row.owners)
        if owner != index and owner >= 0
    )
    keys = ((key.key_hash, key.epoch) for key in row.keys if key.server != index)
    return slot_ranges(slots), tuple(keys)


def _revocations_by_server(term: Term) -> dict[str, SlotsAndKeys]:
    revoked: dict[str, SlotsAndKeys] = {}
    for move in term.moves:
        for name, former in move.former_owners.items():
            if not former.has_accepted:
                slots, keys = revoked.get(name, ((), ()))
                revoked[name] = (slots + former.slots, keys + former.keys)
    return revoked


def _grants_by_server(term: Term, row: GroupRow) -> dict[str, SlotsAndKeys]:
    slots: dict[int, list[tuple[int, int]]] = {}
    waiting = [move for move in term.moves if not move.is_released]
    waiting_slots = frozenset().union(*(move.slots for move in waiting))
    for offset, owner in enumerate(row.owners):
        slot = row.first_slot + offset
        if owner >= 0 and slot not in waiting_slots:
            slots.setdefault(owner, []).append((slot, row.epochs[offset]))
    keys: dict[int, list[tuple[int, int]]] = {}
    for key in row.keys:
        if not is_closed(waiting, key.key_hash):
            keys.setdefault(key.server, []).append((key.key_hash, key.epoch))
    return {
        row.servers[i]: (slot_ranges(slots.get(i, ())), tuple(keys.get(i, ())))
        for i in set(slots) | set(keys)
    }
