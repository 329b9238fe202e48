"""The conditional write of the configuration row, which puts a snapshot into force."""

import secrets
from dataclasses import dataclass

from ..clocks import Clock, milliseconds
from ..storage import Absent, Conflict, OutcomeUnknown, Row, Table, Unavailable, Written
from .outcome import (
    PublishConflict,
    Published,
    PublishFailed,
    PublishOutcome,
    PublishUnknown,
)
from .pause import pause
from .publication import (
    CONFIGURATION_ROW,
    Publication,
    UnreadablePublication,
    decode_publication,
    encode_publication,
    next_publication,
)

__all__ = [
    "MAX_ATTEMPTS",
    "RETRY_INTERVAL",
    "CurrentPublication",
    "conflict_with",
    "put_into_force",
    "read_publication",
]

# Maximum attempts of a retryable call on the platform, and the pause between them.
MAX_ATTEMPTS = 5
RETRY_INTERVAL = milliseconds(400)

# The configuration row and the publication in it; None if nothing is published.
CurrentPublication = tuple[Row, Publication] | None


async def read_publication(clock: Clock, table: Table) -> CurrentPublication | PublishFailed:
    """Return the configuration row and its publication, or None if nothing is published."""
    row = await _read_row(clock, table)
    if isinstance(row, Absent):
        return None
    if isinstance(row, Unavailable):
        return PublishFailed(f"the table can't be read: {row.reason}")
    publication = decode_publication(row)
    if isinstance(publication, UnreadablePublication):
        return PublishFailed(f"the row {CONFIGURATION_ROW} can't be read: {publication.reason}")
    return row, publication


async def _read_row(clock: Clock, table: Table) -> Row | Absent | Unavailable:
    row = await table.read(CONFIGURATION_ROW)
    for _ in range(MAX_ATTEMPTS - 1):
        if not isinstance(row, Unavailable):
            break
        await pause(clock, RETRY_INTERVAL)
        row = await table.read(CONFIGURATION_ROW)
    return row


async def put_into_force(
    clock: Clock, table: Table, current: CurrentPublication, digest: str, publisher: str
) -> PublishOutcome:
    """Put a stored snapshot into force as the successor of `current`.

    Parameters
    ----------
    clock : Clock
    table : Table
    current : CurrentPublication
        Row and publication as they were read before the snapshot was stored.
    digest : str
        Digest of the snapshot.
    publisher : str

    Notes
    -----
    A write whose reply was lost may still take effect after a read that doesn't show it, so that
    reading the row alone can't determine the outcome. The write is therefore repeated with the
    same writer identifier and the same condition: whichever of the two arrives second fails with
    a conflict. After the conflict, the identifiers in the row's history show whether this write
    took effect, even if a later publication has replaced it.
    """
    if current is not None and current[1].digest == digest:
        return Published(current[1].version, digest, changed=False)
    writer = secrets.token_hex(12)
    attempt = _Attempt(
        next_publication(current[1] if current else None, digest, publisher, writer),
        current[0].version if current is not None else 0,
    )
    written = await attempt.write(table)
    if isinstance(written, Written):
        return attempt.published
    if isinstance(written, Unavailable):
        return PublishFailed(f"the table can't be written: {written.reason}")
    if isinstance(written, Conflict):
        return await _explain_conflict(clock, table, digest)
    return await _resolve_lost_reply(clock, table, attempt, written)


def conflict_with(current: CurrentPublication, digest: str) -> PublishConflict:
    """Return the conflict between a snapshot that isn't in force and `current`."""
    if current is None:
        return PublishConflict(0, "", "", digest)
    publication = current[1]
    return PublishConflict(publication.version, publication.publisher, publication.digest, digest)


@dataclass(frozen=True, slots=True)
class _Attempt:
    """A publication and the row version that its conditional write expects."""

    publication: Publication
    expected_row_version: int

    @property
    def published(self) -> Published:
        """Outcome if the write took effect."""
        return Published(self.publication.version, self.publication.digest)

    def unknown_outcome(self, reason: str) -> PublishUnknown:
        """Return the outcome if it can't be determined whether the write took effect."""
        return PublishUnknown(self.publication.version, self.publication.digest, reason)

    async def write(self, table: Table) -> Written | Conflict | Unavailable | OutcomeUnknown:
        value = encode_publication(self.publication)
        return await table.write(
            CONFIGURATION_ROW, value, self.expected_row_version, self.publication.writer
        )


async def _resolve_lost_reply(
    clock: Clock, table: Table, attempt: _Attempt, lost_reply: OutcomeUnknown
) -> PublishOutcome:
    """Repeat a write whose reply was lost, up to MAX_ATTEMPTS times, to determine its outcome."""
    for _ in range(MAX_ATTEMPTS):
        retried = await attempt.write(table)
        if isinstance(retried, Written):
            return attempt.published
        if isinstance(retried, Conflict):
            return await _resolve_conflict(clock, table, attempt)
        await pause(clock, RETRY_INTERVAL)
    return attempt.unknown_outcome(lost_reply.reason)


async def _resolve_conflict(clock: Clock, table: Table, attempt: _Attempt) -> PublishOutcome:
    """Return the outcome of a repeated write that met a conflict, possibly with itself."""
    current = await read_publication(clock, table)
    if isinstance(current, PublishFailed):
        return attempt.unknown_outcome(current.reason)
    if current is not None and current[1].has_writer(attempt.publication.writer):
        return attempt.published
    return conflict_with(current, attempt.publication.digest)


async def _explain_conflict(clock: Clock, table: Table, digest: str) -> PublishOutcome:
    """Return the outcome of a first write that met a conflict, thus with another publication."""
    current = await read_publication(clock, table)
    if isinstance(current, PublishFailed):
        return PublishFailed(f"another publication was first, and {current.reason}")
    return conflict_with(current, digest)
