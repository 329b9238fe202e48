"""Follows the configuration in force."""

import random
from collections.abc import Callable
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Cancellable, Clock, milliseconds
from ..platform import Absent, ObjectStore, Row, Table, Unavailable
from ..routing import Snapshot
from .publication import (
    CONFIGURATION_ROW,
    Publication,
    PublicationRefused,
    decode_publication,
)
from .snapshot import SnapshotRefused, decode_snapshot, snapshot_name

__all__ = ["ConfigurationFollower"]

POLL_INTERVAL = milliseconds(1000)
POLL_JITTER = 0.2

_log = logbook.Logger("laburnumhatch.configuration")


class ConfigurationFollower:
    """Polls the configuration row and puts newer snapshots into force.

    Parameters
    ----------
    clock : Clock
    table : Table
    object_store : ObjectStore
    on_change : callable
        Called with each `Snapshot` that comes into force; versions only grow.
    jitter : callable, optional
        Source of random numbers in [0, 1).
    """

    def __init__(
        self,
        *,
        clock: Clock,
        table: Table,
        object_store: ObjectStore,
        on_change: Callable[[Snapshot], None],
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._table = table
        self._object_store = object_store
        self._on_change = on_change
        self._jitter = jitter
        self._snapshot: Snapshot | None = None
        self._problem: str | None = "nothing was read yet"
        self._timer: Cancellable | None = None
        self._running = False

    @property
    def snapshot(self) -> Snapshot | None:
        """The snapshot in force at this instance; None before the first."""
        return self._snapshot

    @property
    def problem(self) -> str | None:
        """Why the last look at the platform gave no snapshot; None where it did."""
        return self._problem

    def start(self) -> None:
        """Start polling; the first poll goes out at once."""
        self._running = True
        self._poll()

    def stop(self) -> None:
        """Stop polling; the snapshot stays in force."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _poll(self) -> None:
        poll = Deferred.fromCoroutine(self._look())
        poll.addErrback(self._failed)
        poll.addBoth(self._schedule)

    def _schedule(self, _: Any) -> None:
        if self._running:
            factor = 1.0 - POLL_JITTER * self._jitter()
            self._timer = self._clock.call_later(POLL_INTERVAL * factor, self._poll)

    def _failed(self, failure: Any) -> None:
        self._problem = f"polling failed: {failure.value!r}"
        _log.error("polling the configuration failed: {}", failure.getTraceback())

    async def _look(self) -> None:
        row = await self._table.read(CONFIGURATION_ROW)
        if isinstance(row, Unavailable):
            self._problem = f"the table can't be read: {row.reason}"
        elif isinstance(row, Absent):
            self._problem = "nothing is published"
        else:
            await self._consider(row)

    async def _consider(self, row: Row) -> None:
        publication = decode_publication(row)
        if isinstance(publication, PublicationRefused):
            self._problem = f"the row can't be read: {publication.reason}"
        elif not self._is_newer(publication):
            self._problem = None
        else:
            await self._fetch(publication)

    async def _fetch(self, publication: Publication) -> None:
        content = await self._object_store.get(snapshot_name(publication.digest))
        if not isinstance(content, bytes):
            self._problem = f"the snapshot of version {publication.version}: {content}"
            return
        snapshot = decode_snapshot(content, publication.version, publication.digest)
        if isinstance(snapshot, SnapshotRefused):
            self._problem = f"version {publication.version} is refused: {snapshot.reason}"
            _log.error("configuration {}", self._problem)
            return
        if self._is_newer(publication):
            self._adopt(snapshot)

    def _adopt(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._problem = None
        _log.info("configuration version {} is in force", snapshot.version)
        self._on_change(snapshot)

    def _is_newer(self, publication: Publication) -> bool:
        return self._snapshot is None or publication.version > self._snapshot.version
