"""Publishing: one immutable snapshot, put into force by one conditional write."""

import secrets
from collections.abc import Iterable
from dataclasses import dataclass

from ..clocks import Clock, milliseconds
from ..platform import (
    Absent,
    Conflict,
    ObjectStore,
    OutcomeUnknown,
    Row,
    Table,
    Unavailable,
    Written,
)
from ..routing import RoutingFile
from .pause import pause
from .publication import (
    CONFIGURATION_ROW,
    Publication,
    PublicationRefused,
    decode_publication,
    encode_publication,
    next_publication,
)
from .snapshot import encode_snapshot, snapshot_digest, snapshot_name

__all__ = [
    "PublishConflict",
    "PublishFailed",
    "PublishUnknown",
    "Published",
    "VersionUnknown",
    "publish",
    "read_publication",
    "rollback",
]

# Attempts of a call on the platform that may be repeated, and the pause between them.
ATTEMPTS = 5
PAUSE = milliseconds(400)


@dataclass(frozen=True, slots=True)
class Published:
    """The snapshot is in force.

    Attributes
    ----------
    version : int
    digest : str
    changed : bool
        False where the same snapshot was in force already and nothing was written.
    """

    version: int
    digest: str
    changed: bool = True


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """Another publisher was first; nothing of this publication is in force.

    Attributes
    ----------
    version : int
        Version in force.
    publisher : str
        Who published it.
    digest : str
        Digest in force.
    own_digest : str
        Digest of the snapshot that lost; it stays in the object store.
    """

    version: int
    publisher: str
    digest: str
    own_digest: str


@dataclass(frozen=True, slots=True)
class PublishFailed:
    """Nothing was put into force; the call may be repeated."""

    reason: str


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """The write's reply was lost and the row couldn't be read since.

    Attributes
    ----------
    version : int
        Version that is in force if the write took effect.
    digest : str
    reason : str
    """

    version: int
    digest: str
    reason: str


@dataclass(frozen=True, slots=True)
class VersionUnknown:
    """A rollback to a version that the row doesn't know; `known` are the versions it does."""

    version: int
    known: tuple[int, ...]


PublishOutcome = Published | PublishConflict | PublishFailed | PublishUnknown


async def publish(
    files: Iterable[RoutingFile],
    *,
    clock: Clock,
    table: Table,
    object_store: ObjectStore,
    publisher: str,
    expected_version: int | None = None,
) -> PublishOutcome:
    """Put routing files into force as a new version.

    Parameters
    ----------
    files : iterable of RoutingFile
        Checked together already, as by `collect`.
    clock : Clock
    table : Table
    object_store : ObjectStore
    publisher : str
        Name of the operator or pipeline.
    expected_version : int, optional
        Version the publisher's files are based on (0 for none); another one in force is a
        conflict. By default the version in force when the call starts.

    Returns
    -------
    Published, PublishConflict, PublishFailed or PublishUnknown

    Notes
    -----
    The row is read first, so that a publisher whose row changes while it uploads loses the race
    instead of overwriting. The snapshot is uploaded before the write, under the name of its
    digest: no instance can see a version whose snapshot doesn't exist. A lost reply is settled
    by reading the row and comparing the writer, see `_settle`.
    """
    current = await read_publication(clock, table)
    if isinstance(current, PublishFailed):
        return current
    content = encode_snapshot(files)
    digest = snapshot_digest(content)
    if expected_version is not None and expected_version != _version(current):
        return _conflict(current, digest)
    stored = await _store(clock, object_store, snapshot_name(digest), content)
    if isinstance(stored, PublishFailed):
        return stored
    return await _put_into_force(clock, table, current, digest, publisher)


async def rollback(
    version: int, *, clock: Clock, table: Table, object_store: ObjectStore, publisher: str
) -> PublishOutcome | VersionUnknown:
    """Put the snapshot of an older version into force as a new, higher version.

    Returns
    -------
    Published, PublishConflict, PublishFailed, PublishUnknown or VersionUnknown
    """
    current = await read_publication(clock, table)
    if isinstance(current, PublishFailed):
        return current
    digest = current[1].digest_of(version) if current is not None else None
    if current is None or digest is None:
        return VersionUnknown(version, _known_versions(current))
    content = await object_store.get(snapshot_name(digest))
    if not isinstance(content, bytes):
        return PublishFailed(f"the snapshot of version {version} can't be fetched: {content}")
    if snapshot_digest(content) != digest:
        return PublishFailed(f"the snapshot of version {version} is corrupted")
    return await _put_into_force(clock, table, current, digest, publisher)


Current = tuple[Row, Publication] | None


async def read_publication(clock: Clock, table: Table) -> Current | PublishFailed:
    """Return the configuration row and its publication; None where nothing is published."""
    row = await _read_row(clock, table)
    if isinstance(row, Absent):
        return None
    if isinstance(row, Unavailable):
        return PublishFailed(f"the table can't be read: {row.reason}")
    publication = decode_publication(row)
    if isinstance(publication, PublicationRefused):
        return PublishFailed(f"the row {CONFIGURATION_ROW} can't be read: {publication.reason}")
    return row, publication


async def _read_row(clock: Clock, table: Table) -> Row | Absent | Unavailable:
    row = await table.read(CONFIGURATION_ROW)
    for _ in range(ATTEMPTS - 1):
        if not isinstance(row, Unavailable):
            break
        await pause(clock, PAUSE)
        row = await table.read(CONFIGURATION_ROW)
    return row


async def _store(
    clock: Clock, object_store: ObjectStore, name: str, content: bytes
) -> Written | PublishFailed:
    stored = await object_store.put(name, content)
    for _ in range(ATTEMPTS - 1):
        if isinstance(stored, Written):
            break
        await pause(clock, PAUSE)
        stored = await object_store.put(name, content)
    if isinstance(stored, Written):
        return stored
    return PublishFailed(f"the snapshot can't be stored: {stored.reason}")


async def _put_into_force(
    clock: Clock, table: Table, current: Current, digest: str, publisher: str
) -> PublishOutcome:
    if current is not None and current[1].digest == digest:
        return Published(current[1].version, digest, changed=False)
    publication = next_publication(current[1] if current else None, digest, publisher)
    value = encode_publication(publication)
    writer = f"{publisher}:{secrets.token_hex(12)}"
    expected = current[0].version if current is not None else 0
    written = await table.write(CONFIGURATION_ROW, value, expected, writer)
    if isinstance(written, Written):
        return Published(publication.version, digest)
    if isinstance(written, Unavailable):
        return PublishFailed(f"the table can't be written: {written.reason}")
    if isinstance(written, Conflict):
        return await _explain_conflict(clock, table, digest)
    return await _settle(clock, table, publication, value, expected, writer, written)


async def _settle(
    clock: Clock,
    table: Table,
    publication: Publication,
    value: bytes,
    expected: int,
    writer: str,
    unknown: OutcomeUnknown,
) -> PublishOutcome:
    """Find out whether a write whose reply was lost took effect.

    Notes
    -----
    The lost write may still arrive after a read that doesn't show it. Writing the same value
    under the same writer and condition again closes that gap: whichever of the two arrives
    second meets a conflict, and the row's writer tells that the publication stands.
    """
    version = publication.version
    for _ in range(ATTEMPTS):
        again = await table.write(CONFIGURATION_ROW, value, expected, writer)
        if isinstance(again, Written):
            return Published(version, publication.digest)
        if isinstance(again, Conflict):
            row = again.current or await _read_row(clock, table)
            return _settled(row, writer, publication)
        await pause(clock, PAUSE)
    return PublishUnknown(version, publication.digest, unknown.reason)


def _settled(
    row: Row | Absent | Unavailable, writer: str, publication: Publication
) -> PublishOutcome:
    if not isinstance(row, Row):
        return PublishUnknown(publication.version, publication.digest, str(row))
    if row.writer == writer:
        return Published(publication.version, publication.digest)
    found = decode_publication(row)
    if isinstance(found, PublicationRefused):
        return PublishUnknown(publication.version, publication.digest, found.reason)
    if found.digest_of(publication.version) == publication.digest:
        # A later publication replaced this one already.
        return Published(publication.version, publication.digest)
    return _conflict((row, found), publication.digest)


async def _explain_conflict(clock: Clock, table: Table, digest: str) -> PublishOutcome:
    current = await read_publication(clock, table)
    if isinstance(current, PublishFailed):
        return PublishFailed(f"another publication was first, and {current.reason}")
    return _conflict(current, digest)


def _conflict(current: Current, digest: str) -> PublishConflict:
    if current is None:
        return PublishConflict(0, "", "", digest)
    publication = current[1]
    return PublishConflict(publication.version, publication.publisher, publication.digest, digest)


def _version(current: Current) -> int:
    return current[1].version if current is not None else 0


def _known_versions(current: Current) -> tuple[int, ...]:
    if current is None:
        return ()
    publication = current[1]
    return (publication.version, *(past.version for past in publication.history))
