"""Decisions of a group's coordinator about its own authority and the leases it grants."""

from dataclasses import replace
from datetime import timedelta

from .authority import (
    extension_end,
    lease_validity,
    needs_stranger_wait,
    owed_end,
    server_validity,
)
from .effects import Effect, ReadRow, SendMessage, ServerAnswered, TellServer
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
from .moving import closed_parts, inherited_moves, is_closed, note_ack, note_server_end
from .row import GroupRow
from .state import LONG_AGO, ConsentRound, Former, GroupState, Holder, Term, instance_of
from .writes import TookEffect, copy_of_row

__all__ = [
    "answer_lease_request",
    "begin_term",
    "note_renewal",
    "on_consent",
    "on_promise_reply",
    "on_server_answered",
    "renew_authority",
    "tell_servers",
]

NOTHING = timedelta()
# A renewal that takes longer than this counts as failing, so that the standbys are asked.
RENEWAL_PATIENCE = timedelta(milliseconds=200)


def begin_term(state: GroupState, effect: TookEffect, now: timedelta) -> list[Effect]:
    """Become the coordinator by a write that took effect."""
    setup = state.setup
    previous = effect.write.previous
    standbys: tuple[str, ...] = ()
    plain_until = owed_until = owed_at_least = now
    if previous is not None:
        plain_until = now + setup.timing.awaited(setup.timing.authority)
        owed_until = owed_at_least = _owed_end(state, previous, now)
        if needs_stranger_wait(previous, setup.member):
            standbys = previous.standbys
            owed_at_least = _owed_end(state, replace(previous, standbys=()), now)
    state.term = Term(
        started=now,
        first_version=effect.row.version,
        former_standbys=standbys,
        plain_until=plain_until,
        owed_until=owed_until,
        owed_at_least=owed_at_least,
        renewed=effect.sent if setup.rules.count_from_sending else now,
        read_sent=now,
        moved=now,
    )
    state.lease.pulled = LONG_AGO
    state.term.moves = inherited_moves(effect.row, first=previous is None)
    notice = CoordinatorNotice(setup.service, setup.group, setup.member, copy_of_row(effect.row))
    return [SendMessage(name, notice) for name in sorted(state.peers)]


def _owed_end(state: GroupState, previous: GroupRow, now: timedelta) -> timedelta:
    setup = state.setup
    return owed_end(
        now, previous, setup.member, state.promised, state.granted, setup.timing, setup.rules
    )


def renew_authority(state: GroupState, now: timedelta) -> list[Effect]:
    """Renew by the table, and by the standbys' consent where the table doesn't answer."""
    term = state.term
    assert term is not None
    timing = state.setup.timing
    effects: list[Effect] = []
    if now - term.read_sent >= timing.renew_interval:
        term.read_sent = now
        effects.append(ReadRow())
    overdue = now - term.renewed > timing.renew_interval + RENEWAL_PATIENCE
    if overdue and now - term.asked >= timing.renew_interval:
        effects += _ask_standbys(state, term, now)
    return effects + _query_former_standbys(state, term, now)


def note_renewal(state: GroupState, sent: timedelta, now: timedelta) -> None:
    """Take a read that found a row of this coordinator."""
    term = state.term
    assert term is not None
    term.renewed = max(term.renewed, sent if state.setup.rules.count_from_sending else now)


def _ask_standbys(state: GroupState, term: Term, now: timedelta) -> list[Effect]:
    known = state.known
    assert known is not None
    required = _standbys_to_ask(state, known)
    if not required:
        return []
    term.asked = now
    state.lease.number += 1
    term.consent = ConsentRound(state.lease.number, now, required)
    setup = state.setup
    unresolved = state.write is not None
    return [
        SendMessage(
            instance_of(standby),
            ConsentRequest(
                setup.service,
                setup.group,
                setup.member,
                standby,
                term.consent.number,
                known.version,
                unresolved,
                now - term.renewed,
            ),
        )
        for standby in sorted(required)
    ]


def _standbys_to_ask(state: GroupState, known: GroupRow) -> frozenset[str]:
    """Return all whose consent is needed; none where a successor would not know of it."""
    lists = [known.standbys]
    if state.write is not None and state.setup.rules.ask_both_lists:
        lists.append(state.write.row.standbys)
    if not all(lists):
        return frozenset()
    return frozenset(member for standbys in lists for member in standbys)


def on_consent(state: GroupState, message: Consent) -> None:
    """Extend the authority once all standbys of a round have consented."""
    term = state.term
    if term is None or term.consent is None or not message.granted:
        return
    if message.number != term.consent.number:
        return
    term.consent.granted.add(message.member)
    if term.consent.required <= term.consent.granted:
        end = extension_end(term.consent.sent, term.renewed, state.setup.timing)
        term.extended = max(term.extended, end)


def _query_former_standbys(state: GroupState, term: Term, now: timedelta) -> list[Effect]:
    if term.owed_until <= term.owed_at_least or now >= term.owed_until:
        return []
    if now - term.queried < state.setup.timing.retry:
        return []
    term.queried = now
    setup = state.setup
    known = state.known
    assert known is not None
    row = copy_of_row(known)
    return [
        SendMessage(
            instance_of(standby),
            PromiseQuery(setup.service, setup.group, setup.member, standby, row),
        )
        for standby in term.former_standbys
    ]


def on_promise_reply(state: GroupState, message: PromiseReply, now: timedelta) -> None:
    """Shorten the wait by what a former standby says.

    Notes
    -----
    The former coordinator needed the consent of every standby, so one of them that says when its
    last promise ends, and gives no further one, bounds all extensions.
    """
    term = state.term
    if term is None or message.version < term.first_version:
        return
    end = now + state.setup.timing.awaited(message.remaining)
    term.owed_until = min(term.owed_until, max(term.owed_at_least, end))


def answer_lease_request(
    state: GroupState, instance: str, message: LeaseRequest, now: timedelta
) -> list[Effect]:
    """Grant a routing lease, or say who might."""
    setup = state.setup
    known = state.known
    copy = None
    if known is not None and known.version != message.version:
        copy = copy_of_row(known)
    term = state.term
    if term is None and _can_relay(state, instance, message, now):
        assert known is not None
        return [SendMessage(instance_of(known.coordinator), message)]
    valid = NOTHING
    if term is not None:
        valid = lease_validity(now, term.authority(setup.timing), setup.timing)
    if term is None or known is None or valid <= NOTHING:
        heard = now - state.candidate.heard < setup.timing.silence or term is not None
        refusal = LeaseRefusal(
            setup.service,
            setup.group,
            setup.member,
            message.number,
            heard,
            known.coordinator if known is not None else "",
            copy,
        )
        return [SendMessage(instance, refusal)]
    note_ack(term, message.member, message.acked, through=True)
    _note_holder(state, term, message.member, now + valid, now)
    slots, keys = closed_parts(term, known)
    grant = LeaseGrant(
        setup.service,
        setup.group,
        setup.member,
        message.member,
        message.number,
        known.version,
        valid,
        slots,
        keys,
        copy,
    )
    return [SendMessage(instance, grant)]


def _can_relay(state: GroupState, instance: str, message: LeaseRequest, now: timedelta) -> bool:
    """Return whether to pass a request on to the coordinator, which the asker may not reach."""
    if state.known is None or instance != instance_of(message.member):
        return False
    if instance_of(state.known.coordinator) in (instance, state.setup.instance):
        return False
    return now - state.candidate.heard < state.setup.timing.silence


def _note_holder(
    state: GroupState, term: Term, member: str, until: timedelta, now: timedelta
) -> None:
    state.granted = max(state.granted, until)
    holder = term.holders.get(member)
    if holder is None:
        term.holders[member] = Holder(until, now)
        return
    holder.until = max(holder.until, until)
    holder.heard = now


def tell_servers(state: GroupState, now: timedelta) -> list[Effect]:
    """Send each server that is due what it holds and what it has lost.

    One call at a time goes to a server, so that it takes them in order.
    """
    term = state.term
    known = state.known
    assert term is not None and known is not None
    timing = state.setup.timing
    renewal_due = now - term.granted >= timing.grant_interval
    revoked = _revocations(term)
    urgent = set(revoked) | {name for move in term.moves for name in move.unaccepted}
    names = set(known.servers) | urgent if renewal_due else urgent
    due = [name for name in sorted(names) if _may_call(state, name, now)]
    valid = server_validity(now, term.authority(timing), timing)
    if renewal_due and valid > NOTHING:
        term.granted = now
    granted = _granted_parts(term, known) if due and valid > NOTHING else {}
    effects: list[Effect] = []
    for name in due:
        lost = revoked.get(name, NO_PARTS)
        complete = name not in term.informed
        if complete:
            lost = _foreign_parts(known, name)
        slots, keys = granted.get(name, NO_PARTS)
        if not (slots or keys or any(lost)):
            continue
        grants = GrantSet(slots, lost[0], keys, lost[1], valid, known.version, complete)
        if slots or keys:
            end = now + timing.server_call + timing.awaited(valid)
            term.server_until[name] = max(term.server_until.get(name, end), end)
            state.granted = max(state.granted, end)
        state.calls[name] = now
        effects.append(TellServer(name, grants))
    return effects


def on_server_answered(state: GroupState, event: ServerAnswered, now: timedelta) -> list[Effect]:
    """Take a server's answer to its grants and revocations."""
    state.calls.pop(event.server, None)
    if event.answer is not GrantAnswer.ACCEPTED:
        state.call_again[event.server] = now + state.setup.timing.retry
    term = state.term
    if term is None:
        return []
    if event.answer is not GrantAnswer.ACCEPTED:
        term.informed.discard(event.server)
    if event.answer is GrantAnswer.FENCED:
        return [ReadRow()]
    if event.answer is GrantAnswer.GONE:
        note_server_end(term, event.server)
    if event.answer is GrantAnswer.ACCEPTED:
        _note_accepted(term, event)
    return []


def _note_accepted(term: Term, event: ServerAnswered) -> None:
    grants = event.grants
    if grants.complete:
        term.informed.add(event.server)
    epochs = {r.epoch for r in grants.granted} | {epoch for _, epoch in grants.granted_keys}
    for move in term.moves:
        former = move.former.get(event.server)
        if former is not None and _names_all(grants, former, max(move.epochs)):
            former.accepted = True
        if move.released and epochs & move.epochs:
            move.unaccepted.discard(event.server)


def _names_all(grants: GrantSet, former: Former, epoch: int) -> bool:
    """Return whether a call revoked all that a former owner lost under `epoch`."""
    if grants.complete:
        return grants.version >= epoch
    slots = set(former.slots) <= set(grants.revoked)
    return slots and set(former.keys) <= set(grants.revoked_keys)


def _may_call(state: GroupState, server: str, now: timedelta) -> bool:
    return server not in state.calls and now >= state.call_again.get(server, now)


Parts = tuple[tuple[SlotRange, ...], tuple[tuple[int, int], ...]]


NO_PARTS: Parts = ((), ())


def _foreign_parts(row: GroupRow, server: str) -> Parts:
    """Return what a server doesn't own, for one that may have missed revocations."""
    index = row.servers.index(server) if server in row.servers else -1
    slots = (
        (row.first_slot + offset, row.epochs[offset])
        for offset, owner in enumerate(row.owners)
        if owner != index and owner >= 0
    )
    keys = ((key.key_hash, key.epoch) for key in row.keys if key.server != index)
    return slot_ranges(slots), tuple(keys)


def _revocations(term: Term) -> dict[str, Parts]:
    revoked: dict[str, Parts] = {}
    for move in term.moves:
        for name, former in move.former.items():
            if not former.accepted:
                slots, keys = revoked.get(name, ((), ()))
                revoked[name] = (slots + former.slots, keys + former.keys)
    return revoked


def _granted_parts(term: Term, row: GroupRow) -> dict[str, Parts]:
    slots: dict[int, list[tuple[int, int]]] = {}
    waiting = [move for move in term.moves if not move.released]
    held = frozenset().union(*(move.slots for move in waiting))
    for offset, owner in enumerate(row.owners):
        slot = row.first_slot + offset
        if owner >= 0 and slot not in held:
            slots.setdefault(owner, []).append((slot, row.epochs[offset]))
    keys: dict[int, list[tuple[int, int]]] = {}
    for key in row.keys:
        if not is_closed(waiting, key.key_hash):
            keys.setdefault(key.server, []).append((key.key_hash, key.epoch))
    return {
        row.servers[i]: (slot_ranges(slots.get(i, ())), tuple(keys.get(i, ())))
        for i in set(slots) | set(keys)
    }
