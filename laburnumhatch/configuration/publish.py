"""Publishing and rolling back the configuration."""

from collections.abc import Iterable

from ..clocks import Clock
from ..routing import RoutingFile
from ..storage import ObjectStore, Table, Written
from .outcome import PublishFailed, PublishOutcome, VersionUnknown
from .pause import pause
from .put_into_force import (
    MAX_ATTEMPTS,
    RETRY_INTERVAL,
    CurrentPublication,
    conflict_with,
    put_into_force,
    read_publication,
)
from .snapshot import encode_snapshot, snapshot_digest, snapshot_object_name

__all__ = ["publish", "rollback"]


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
        Files that have passed the checks of `collect`.
    clock : Clock
    table : Table
    object_store : ObjectStore
    publisher : str
        Name of the operator or pipeline.
    expected_version : int, optional
        Version that the files are based on, or 0 if nothing was published. A different version
        in force is a conflict. Defaults to the version in force when the call starts.

    Returns
    -------
    Published, PublishConflict, PublishFailed or PublishUnknown

    Notes
    -----
    The row is read before the upload, so that a publication whose row changes during the upload
    ends in a conflict instead of overwriting the other one. The snapshot is uploaded under its
    digest before the row is written, so that no instance sees a version whose snapshot doesn't
    exist. If the reply of the write is lost, `put_into_force` determines the outcome.
    """
    current = await read_publication(clock, table)
    if isinstance(current, PublishFailed):
        return current
    content = encode_snapshot(files)
    digest = snapshot_digest(content)
    if expected_version is not None and expected_version != _version_in_force(current):
        return conflict_with(current, digest)
    stored = await _upload(clock, object_store, snapshot_object_name(digest), content)
    if isinstance(stored, PublishFailed):
        return stored
    return await put_into_force(clock, table, current, digest, publisher)


async def rollback(
    version: int, *, clock: Clock, table: Table, object_store: ObjectStore, publisher: str
) -> PublishOutcome | VersionUnknown:
    """Put the snapshot of an earlier version into force as a new version.

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
    content = await object_store.get(snapshot_object_name(digest))
    if not isinstance(content, bytes):
        return PublishFailed(f"the snapshot of version {version} can't be fetched: {content}")
    if snapshot_digest(content) != digest:
        return PublishFailed(f"the snapshot of version {version} is corrupted")
    return await put_into_force(clock, table, current, digest, publisher)


async def _upload(
    clock: Clock, object_store: ObjectStore, name: str, content: bytes
) -> Written | PublishFailed:
    stored = await object_store.put(name, content)
    for _ in range(MAX_ATTEMPTS - 1):
        if isinstance(stored, Written):
            break
        await pause(clock, RETRY_INTERVAL)
        stored = await object_store.put(name, content)
    if isinstance(stored, Written):
        return stored
    return PublishFailed(f"the snapshot can't be stored: {stored.reason}")


def _version_in_force(current: CurrentPublication) -> int:
    return current[1].version if current is not None else 0


def _known_versions(current: CurrentPublication) -> tuple[int, ...]:
    return (
        tuple(past.version for past in current[1].all_publications) if current is not None else ()
    )
