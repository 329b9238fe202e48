"""The routing lease of an entry instance."""

from datetime import timedelta

from .authority import lease_end
from .effects import AwaitDrain, Drained, Effect, LeaseChanged, SendMessage
from .messages import (
    CoordinatorNotice,
    LeaseGrant,
    LeaseOffer,
    LeaseRefusal,
    LeaseRequest,
    Revocation,
    RevocationAck,
)
from .state import LONG_AGO, GroupState, RoutingLease, instance_of
from .writes import decode_row_copy, learn_row_of_peer

__all__ = [
    "on_coordinator_notice",
    "on_drained",
    "on_lease_grant",
    "on_lease_offer",
    "on_lease_refusal",
    "on_revocation",
    "request_lease",
]

# Number of the latest lease requests whose sending times are kept for the answers.
MAX_REMEMBERED_REQUESTS = 16


def request_lease(state: GroupState, now: timedelta) -> list[Effect]:
    """Request a lease from the coordinator, and through relays while it doesn't answer."""
    lease = state.lease
    timing = state.setup.timing
    if now - lease.requested_at < timing.lease_request_interval:
        return []
    lease.requested_at = now
    known = state.known_row
    names = [] if known is None else [instance_of(known.coordinator)]
    if (
        known is None
        or now - state.candidate.coordinator_heard_at > timing.lease_request_interval * 2
    ):
        names += _relays(state, names)
    lease.request_number += 1
    lease.sent_at[lease.request_number] = now
    for number in [n for n in lease.sent_at if n <= lease.request_number - MAX_REMEMBERED_REQUESTS]:
        del lease.sent_at[number]
    setup = state.setup
    version = lease.row.version if lease.row is not None else 0
    request = LeaseRequest(
        setup.service, setup.group, setup.member, lease.request_number, version, lease.acked_version
    )
    return [SendMessage(name, request) for name in names]


def _relays(state: GroupState, asked: list[str]) -> list[str]:
    """Return the first standby and one further instance, a different one for each request."""
    standbys = state.known_row.standbys if state.known_row is not None else ()
    first = [instance_of(member) for member in standbys[:1]]
    others = sorted(set(state.peers) - {*asked, *first})
    if others:
        first.append(others[state.lease.request_number % len(others)])
    return [name for name in first if name in state.peers]


def on_lease_grant(state: GroupState, message: LeaseGrant, now: timedelta) -> list[Effect]:
    """Adopt a lease unless a newer lease or revocation is already known."""
    if message.holder != state.setup.member:
        return _forward_grant(state, message)
    lease = state.lease
    sent_at = lease.sent_at.get(message.number)
    if message.row is not None:
        learn_row_of_peer(state, message.row, now)
    _record_coordinator_heard(state, message.member, now)
    if sent_at is None or message.version < lease.min_version:
        return []
    if message.version == lease.min_version and message.number <= lease.applied_number:
        return []
    if not _install_row(lease, message):
        lease.requested_at = LONG_AGO
        return []
    lease.applied_number = message.number
    is_newer = message.version > lease.acked_version
    lease.min_version = message.version
    lease.closed_slots = set(message.closed_slots)
    lease.closed_keys = set(message.closed_keys)
    counted_from = sent_at if state.setup.rules.count_from_send_time else now
    lease.expires = lease_end(counted_from, message.validity, state.setup.timing)
    effects: list[Effect] = [LeaseChanged()]
    if is_newer:
        effects.append(AwaitDrain(message.version))
    return effects


def _forward_grant(state: GroupState, message: LeaseGrant) -> list[Effect]:
    """Forward a grant to the member that requested it through this instance."""
    holder = instance_of(message.holder)
    return [] if holder == state.setup.instance else [SendMessage(holder, message)]


def _install_row(lease: RoutingLease, message: LeaseGrant) -> bool:
    if message.row is not None:
        lease.row = decode_row_copy(message.row)
    return lease.row is not None and lease.row.version == message.version


def on_revocation(state: GroupState, instance: str, message: Revocation) -> list[Effect]:
    """Stop sending requests to the former owners."""
    lease = state.lease
    if lease.row is not None and lease.row.version >= message.version:
        return []
    lease.min_version = max(lease.min_version, message.version)
    lease.closed_slots.update(message.slots)
    lease.closed_keys.update(message.keys)
    drain = AwaitDrain(message.version, instance)
    return [LeaseChanged(), drain]


def on_drained(state: GroupState, event: Drained) -> list[Effect]:
    """Acknowledge that no request runs under the former owners."""
    if not event.coordinator:
        state.lease.acked_version = max(state.lease.acked_version, event.version)
        state.lease.requested_at = LONG_AGO
        return []
    setup = state.setup
    ack = RevocationAck(setup.service, setup.group, setup.member, event.version)
    return [SendMessage(event.coordinator, ack)]


def on_lease_refusal(state: GroupState, message: LeaseRefusal, now: timedelta) -> list[Effect]:
    """Update the known row and coordinator from a refusal."""
    if message.row is not None:
        learn_row_of_peer(state, message.row, now)
    known = state.known_row
    if known is None:
        return []
    if message.member == known.coordinator:
        state.candidate.coordinator_heard_at = now
    elif message.has_heard_coordinator and message.coordinator == known.coordinator:
        state.candidate.coordinator_heard_by_others_at = now
    return []


def on_lease_offer(state: GroupState, message: LeaseOffer, now: timedelta) -> list[Effect]:
    """Request a new lease at once."""
    if message.version < state.lease.min_version:
        return []
    state.lease.requested_at = LONG_AGO
    return request_lease(state, now)


def on_coordinator_notice(
    state: GroupState, message: CoordinatorNotice, now: timedelta
) -> list[Effect]:
    """Request a lease from a new coordinator."""
    learn_row_of_peer(state, message.row, now)
    _record_coordinator_heard(state, message.member, now)
    state.lease.requested_at = LONG_AGO
    return request_lease(state, now)


def _record_coordinator_heard(state: GroupState, member: str, now: timedelta) -> None:
    known = state.known_row
    if known is not None and member == known.coordinator:
        state.candidate.coordinator_heard_at = now
        state.candidate.handover_requested_at = (
            LONG_AGO if state.term else state.candidate.handover_requested_at
        )
