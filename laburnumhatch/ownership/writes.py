"""Conditional writes of a group's row, and updates of the known row."""

from dataclasses import dataclass, replace
from datetime import timedelta

from .effects import Effect, ReadRow, WriteAnswered, WriteOutcome, WriteRow
from .messages import RowCopy
from .row import GroupRow, decode_row, encode_row
from .state import LONG_AGO, GroupState, PendingWrite, WriteKind

__all__ = [
    "AppliedWrite",
    "begin_write",
    "encode_row_copy",
    "learn_row",
    "learn_row_of_peer",
    "on_write_answered",
    "retry_write",
    "decode_row_copy",
]

SUPERSEDED_RESET_INTERVAL = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class AppliedWrite:
    """A write of this member that has taken effect in the table.

    Attributes
    ----------
    write : PendingWrite
    row : GroupRow
        The row as it stands in the table.
    sent_at : timedelta
        Instant at which the attempt that took effect was sent.
    """

    write: PendingWrite
    row: GroupRow
    sent_at: timedelta


def encode_row_copy(row: GroupRow) -> RowCopy:
    """Return the encoding of a row for messages."""
    return RowCopy(row.version, row.writer, encode_row(row))


def decode_row_copy(copy: RowCopy) -> GroupRow:
    """Return the row that a message carries.

    Raises
    ------
    InvalidRow
        If the row can't be decoded.
    """
    return decode_row(copy.value, copy.version, copy.writer)


def begin_write(state: GroupState, kind: WriteKind, row: GroupRow, now: timedelta) -> list[Effect]:
    """Start a conditional write that replaces the known row by `row`."""
    state.write = PendingWrite(kind, row, state.known_row)
    return _send_attempt(state, state.write, now)


def retry_write(state: GroupState, now: timedelta) -> list[Effect]:
    """Repeat a write whose outcome is still unknown.

    Notes
    -----
    A read that finds the old version doesn't show that the write has failed, since the write may
    take effect later. A write of the same content conditional on the same version does show it: at
    most one attempt can succeed, and any answer that arrives tells whether one did.
    """
    write = state.write
    if (
        write is None
        or write.is_in_flight
        or now - write.last_sent_at < state.setup.timing.retry_interval
    ):
        return []
    return _send_attempt(state, write, now)


def on_write_answered(
    state: GroupState, event: WriteAnswered, now: timedelta
) -> tuple[AppliedWrite | None, list[Effect]]:
    """Handle the outcome of one attempt.

    Returns
    -------
    tuple of (AppliedWrite or None, list of Effect)
        The pending write if it is now known to have taken effect, and what is to be done.
    """
    write = state.write
    if write is None or event.writer not in write.sent_at:
        return _learn_from_late_answer(state, event, now), []
    write.is_in_flight = False
    if event.outcome is WriteOutcome.WRITTEN:
        return learn_row(state, replace(write.row, writer=event.writer), now), []
    if event.outcome is WriteOutcome.CONFLICT:
        del write.sent_at[event.writer]
        if event.current is None:
            state.write = None
            return None, [ReadRow()]
        return learn_row(state, event.current, now), []
    if event.outcome is WriteOutcome.NOT_DONE:
        del write.sent_at[event.writer]
        if not write.sent_at:
            state.write = None
    return None, []


def learn_row(state: GroupState, row: GroupRow, now: timedelta) -> AppliedWrite | None:
    """Update the known row from a row that is, or was, in the table.

    Returns
    -------
    AppliedWrite or None
        The pending write of this member if it made the row.
    """
    known = state.known_row
    if known is not None and row.version <= known.version:
        return None
    applied = _resolve_pending_write(state, row)
    state.known_row = row
    if known is None or known.coordinator != row.coordinator:
        state.candidate.coordinator_heard_at = now
        state.candidate.coordinator_isolated_at = LONG_AGO
    if state.term is not None and row.coordinator != state.setup.member:
        _end_term(state, now)
    return applied


def learn_row_of_peer(state: GroupState, copy: RowCopy, now: timedelta) -> None:
    """Update the known row from a message.

    A row that this member's own pending write made is ignored here; the answer of the table
    decides on that write.

    Raises
    ------
    InvalidRow
        If the row can't be decoded.
    """
    if state.write is not None and copy.writer in state.write.sent_at:
        return
    if state.known_row is None or copy.version > state.known_row.version:
        learn_row(state, decode_row_copy(copy), now)


def _resolve_pending_write(state: GroupState, row: GroupRow) -> AppliedWrite | None:
    write = state.write
    if write is None or row.version < write.row.version:
        return None
    state.write = None
    sent = write.sent_at.get(row.writer)
    return None if sent is None else AppliedWrite(write, row, sent)


def _end_term(state: GroupState, now: timedelta) -> None:
    state.term = None
    candidate = state.candidate
    if now - candidate.superseded_at > SUPERSEDED_RESET_INTERVAL:
        candidate.superseded_count = 0
    candidate.superseded_count += 1
    candidate.superseded_at = now


def _learn_from_late_answer(
    state: GroupState, event: WriteAnswered, now: timedelta
) -> AppliedWrite | None:
    if event.outcome is WriteOutcome.CONFLICT and event.current is not None:
        return learn_row(state, event.current, now)
    return None


def _send_attempt(state: GroupState, write: PendingWrite, now: timedelta) -> list[Effect]:
    state.write_count += 1
    writer = f"{state.setup.member}/{state.write_count}"
    write.sent_at[writer] = now
    write.last_sent_at = now
    write.is_in_flight = True
    return [WriteRow(replace(write.row, writer=writer))]
