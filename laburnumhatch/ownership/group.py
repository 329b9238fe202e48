"""Event handler of one instance for one group of slots."""

from datetime import timedelta

from .candidate import on_handover, read_row_if_due, take_over_if_due
from .coordinator import (
    answer_lease_request,
    begin_term,
    on_consent,
    on_promise_reply,
    on_server_answered,
    record_renewal,
    renew_authority,
    send_server_grants,
)
from .effects import (
    Drained,
    Effect,
    Event,
    MessageArrived,
    MovesPlanned,
    RowRead,
    ServerAnswered,
    StopRequested,
    Tick,
    WriteAnswered,
)
from .maintenance import hand_over, maintain_row
from .messages import (
    Consent,
    ConsentRequest,
    CoordinatorNotice,
    Handover,
    LeaseGrant,
    LeaseOffer,
    LeaseRefusal,
    LeaseRequest,
    PromiseQuery,
    PromiseReply,
    Revocation,
    RevocationAck,
)
from .moving import on_change_written, on_moves_planned, progress_moves, record_revocation_ack
from .routing_lease import (
    on_coordinator_notice,
    on_drained,
    on_lease_grant,
    on_lease_offer,
    on_lease_refusal,
    on_revocation,
    request_lease,
)
from .standby import on_consent_request, on_promise_query
from .state import GroupState, WriteKind
from .writes import AppliedWrite, learn_row, on_write_answered, retry_write

__all__ = ["handle_event"]


def handle_event(state: GroupState, event: Event, now: timedelta) -> list[Effect]:
    """Update the state by one event and return the effects to carry out.

    Parameters
    ----------
    state : GroupState
        Changed in place.
    event : Event
    now : timedelta
        Instant of the instance's monotonic clock.

    Returns
    -------
    list of Effect
        Effects in the order in which they must begin.

    Raises
    ------
    InvalidRow
        If a message carries a row that can't be decoded.

    Notes
    -----
    The function depends only on its arguments. It reads no clock and sends nothing.
    """
    match event:
        case Tick():
            return _on_tick(state, now)
        case RowRead():
            return _on_row_read(state, event, now)
        case WriteAnswered():
            applied, effects = on_write_answered(state, event, now)
            return _on_write_applied(state, applied, now) + effects
        case MessageArrived():
            return _on_message(state, event, now)
        case ServerAnswered():
            return on_server_answered(state, event, now) + _advance(state, now)
        case MovesPlanned():
            return on_moves_planned(state, event, now)
        case Drained():
            return on_drained(state, event) + request_lease(state, now)
        case StopRequested():
            state.is_stopping = True
            return hand_over(state, now)


def _on_tick(state: GroupState, now: timedelta) -> list[Effect]:
    if state.first_tick_at is None:
        state.first_tick_at = now
    effects = request_lease(state, now) + retry_write(state, now)
    if state.term is None:
        return effects + read_row_if_due(state, now)
    effects += renew_authority(state, now)
    effects += _advance(state, now)
    if state.is_stopping:
        return effects + hand_over(state, now)
    return effects + maintain_row(state, now)


def _advance(state: GroupState, now: timedelta) -> list[Effect]:
    if state.term is None:
        return []
    return progress_moves(state, now) + send_server_grants(state, now)


def _on_row_read(state: GroupState, event: RowRead, now: timedelta) -> list[Effect]:
    effects: list[Effect] = []
    if event.row is not None:
        effects += _on_write_applied(state, learn_row(state, event.row, now), now)
        if state.term is not None and event.row.coordinator == state.setup.member:
            record_renewal(state, event.sent_at, now)
    return effects + take_over_if_due(state, event, now)


def _on_write_applied(
    state: GroupState, applied: AppliedWrite | None, now: timedelta
) -> list[Effect]:
    if applied is None:
        return []
    if applied.write.kind is WriteKind.TAKEOVER:
        return begin_term(state, applied, now) + _advance(state, now) + request_lease(state, now)
    if state.term is None:
        return []
    return on_change_written(state, applied, now) + _advance(state, now)


def _on_message(state: GroupState, event: MessageArrived, now: timedelta) -> list[Effect]:
    message = event.message
    match message:
        case LeaseRequest():
            return answer_lease_request(state, event.instance, message, now) + _advance(state, now)
        case LeaseGrant():
            return on_lease_grant(state, message, now)
        case LeaseOffer():
            return on_lease_offer(state, message, now)
        case LeaseRefusal():
            return on_lease_refusal(state, message, now)
        case CoordinatorNotice():
            return on_coordinator_notice(state, message, now)
        case Revocation():
            return on_revocation(state, event.instance, message)
        case RevocationAck():
            if state.term is not None:
                record_revocation_ack(state.term, message.member, message.version, through=False)
            return _advance(state, now)
        case ConsentRequest():
            return on_consent_request(state, event.instance, message, now)
        case Consent():
            on_consent(state, message)
        case PromiseQuery():
            return on_promise_query(state, event.instance, message, now)
        case PromiseReply():
            on_promise_reply(state, message, now)
        case Handover():
            return on_handover(state, message, now)
    return []
