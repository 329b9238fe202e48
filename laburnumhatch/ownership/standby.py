"""Consent of a standby, by which it promises not to move any slot or key."""

from datetime import timedelta

from .effects import Effect, ReadRow, SendMessage
from .messages import Consent, ConsentRequest, PromiseQuery, PromiseReply
from .state import GroupState
from .writes import learn_row_of_peer

__all__ = ["on_consent_request", "on_promise_query"]

ZERO_DURATION = timedelta()


def on_consent_request(
    state: GroupState, instance: str, message: ConsentRequest, now: timedelta
) -> list[Effect]:
    """Promise a coordinator not to move anything for a limited time, or refuse.

    Notes
    -----
    The promise doesn't prevent this instance from taking over; it then waits until the promise has
    ended before it grants what it moves. While a write of its own is pending the instance refuses,
    because the wait in the row of a takeover is already fixed.
    """
    if message.standby != state.setup.member:
        return []
    timing = state.setup.timing
    is_granted = state.write is None and not _knows_newer_row(state, message)
    effects: list[Effect] = []
    if is_granted:
        state.promised_until = max(
            state.promised_until, now + timing.wait_duration(timing.promise_duration)
        )
        effects = _check_coordinator_isolation(state, message, now)
    answer = Consent(message.service, message.group, state.setup.member, message.number, is_granted)
    return [SendMessage(instance, answer), *effects]


def _knows_newer_row(state: GroupState, message: ConsentRequest) -> bool:
    known = state.known_row
    if known is None or not state.setup.rules.refuse_older_versions:
        return False
    return known.version > message.version and known.coordinator != message.member


def _check_coordinator_isolation(
    state: GroupState, message: ConsentRequest, now: timedelta
) -> list[Effect]:
    """Read the row if the coordinator has not reached the table for long."""
    candidate = state.candidate
    timing = state.setup.timing
    known = state.known_row
    if known is None or known.coordinator != message.member:
        return []
    if message.since_renewal <= timing.isolation_timeout:
        return []
    candidate.coordinator_isolated_at = now
    if now - candidate.takeover_read_at < timing.retry_interval:
        return []
    candidate.takeover_read_at = now
    return [ReadRow()]


def on_promise_query(
    state: GroupState, instance: str, message: PromiseQuery, now: timedelta
) -> list[Effect]:
    """Reply to a new coordinator when the last promise to its predecessors ends.

    This instance knows the new row from then on, so it no longer consents to an earlier
    coordinator. After a restart, it doesn't know the last promise of its former process, and
    replies with the full duration of a promise.
    """
    learn_row_of_peer(state, message.row, now)
    timing = state.setup.timing
    remaining = max(ZERO_DURATION, state.promised_until - now)
    if message.standby != state.setup.member:
        remaining = timing.promise_duration
    reply = PromiseReply(
        message.service, message.group, state.setup.member, message.row.version, remaining
    )
    return [SendMessage(instance, reply)]
