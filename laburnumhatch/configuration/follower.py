"""Following of the configuration in force through the table and the peers."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Cancellable, Clock, milliseconds
from ..links.interfaces import ManagedLinks
from ..membership.interfaces import Instance, InstanceView
from ..routing import Snapshot
from ..storage import Absent, ObjectStore, Row, Table, Unavailable
from .exchange import SnapshotExchange
from .messages import ConfigurationAnnouncement
from .pollers import polls_table
from .publication import CONFIGURATION_ROW, PublicationRefused, decode_publication
from .snapshot import SnapshotRefused, decode_snapshot, snapshot_digest, snapshot_name

__all__ = ["ConfigurationFollower", "Wanted", "newer"]

POLL_INTERVAL = milliseconds(1000)
# Interval of the instances that aren't their data centre's pollers and normally learn of new
# versions from their peers.
SLOW_POLL_INTERVAL = timedelta(seconds=30)
POLL_JITTER = 0.2
TICK_INTERVAL = milliseconds(1000)

_log = logbook.Logger("laburnumhatch.configuration")


@dataclass(frozen=True, slots=True)
class Wanted:
    """A published version and the digest of its snapshot."""

    version: int
    digest: str


def newer(current: Wanted | None, other: Wanted) -> bool:
    """Return whether `other` is a later version than `current`.

    Examples
    --------
    >>> newer(None, Wanted(1, "ab")), newer(Wanted(2, "cd"), Wanted(1, "ab"))
    (True, False)
    """
    return current is None or other.version > current.version


class ConfigurationFollower:
    """Puts published snapshots into force at this instance, in ascending order of version.

    Parameters
    ----------
    clock : Clock
    table : Table
    object_store : ObjectStore
    links : ManagedLinks
    instances : InstanceView
    own : Instance
        This instance.
    on_change : callable
        Called with each `Snapshot` that comes into force. Its version is always greater than the
        one before.
    jitter : callable, optional
        Source of random numbers in [0, 1).

    Notes
    -----
    Two instances of each data centre poll the configuration row every second. Every instance
    announces its version in force to its peers immediately after a change, every second, and when
    a stream opens. The follower fetches a snapshot from the object store or, if that fails, from
    the peers that announced it. It checks the digest and the content of every snapshot before
    putting it into force, wherever the bytes come from.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        table: Table,
        object_store: ObjectStore,
        links: ManagedLinks,
        instances: InstanceView,
        own: Instance,
        on_change: Callable[[Snapshot], None],
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._table = table
        self._object_store = object_store
        self._links = links
        self._instances = instances
        self._own = own
        self._on_change = on_change
        self._jitter = jitter
        self._snapshot: Snapshot | None = None
        self._content = b""
        self._wanted: Wanted | None = None
        self._holders: set[str] = set()
        self._refused: dict[str, str] = {}
        self._fetching = False
        self._problem: str | None = "nothing was read yet"
        self._timers: dict[str, Cancellable] = {}
        self._running = False
        self._exchange = SnapshotExchange(clock=clock, links=links, content_of=self._content_of)
        links.handle(ConfigurationAnnouncement, self._announced)
        links.on_connected(self._announce_to)

    @property
    def snapshot(self) -> Snapshot | None:
        """The snapshot in force at this instance, or None before the first one."""
        return self._snapshot

    @property
    def problem(self) -> str | None:
        """Why this instance may not have the latest version in force, or None."""
        return self._problem

    def start(self) -> None:
        """Start polling and announcing; the first poll is immediate."""
        self._running = True
        self._poll()
        self._schedule("tick", TICK_INTERVAL, self._tick)

    def stop(self) -> None:
        """Stop polling and announcing; the snapshot stays in force."""
        self._running = False
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()

    def _schedule(self, name: str, delay: timedelta, call: Callable[[], None]) -> None:
        if self._running:
            factor = 1.0 - POLL_JITTER * self._jitter()
            self._timers[name] = self._clock.call_later(delay * factor, call)

    def _poll(self) -> None:
        poll = Deferred.fromCoroutine(self._look())
        poll.addErrback(self._failed)
        poll.addBoth(lambda _: self._schedule("poll", self._poll_interval(), self._poll))

    def _poll_interval(self) -> timedelta:
        if self._snapshot is None or polls_table(self._instances.live(), self._own):
            return POLL_INTERVAL
        return SLOW_POLL_INTERVAL

    def _tick(self) -> None:
        self._announce()
        self._fetch_if_wanted()
        self._schedule("tick", TICK_INTERVAL, self._tick)

    def _failed(self, failure: Any) -> None:
        self._problem = f"following the configuration failed: {failure.value!r}"
        _log.error("{}: {}", self._problem, failure.getTraceback())

    async def _look(self) -> None:
        row = await self._table.read(CONFIGURATION_ROW)
        if isinstance(row, Unavailable):
            self._problem = f"the table can't be read: {row.reason}"
        elif isinstance(row, Absent):
            self._problem = "nothing is published"
        else:
            self._consider(row)

    def _consider(self, row: Row) -> None:
        publication = decode_publication(row)
        if isinstance(publication, PublicationRefused):
            self._problem = f"the row can't be read: {publication.reason}"
            return
        found = Wanted(publication.version, publication.digest)
        if found.digest not in self._refused:
            self._problem = self._contradiction(found)
        self._learn(found, None)

    def _contradiction(self, found: Wanted) -> str | None:
        current = self._in_force()
        if current is None or found == current or newer(current, found):
            return None
        return f"the table has version {found.version}, and {current.version} is in force"

    def _in_force(self) -> Wanted | None:
        if self._snapshot is None:
            return None
        return Wanted(self._snapshot.version, self._snapshot.digest)

    def _announced(self, instance: str, message: ConfigurationAnnouncement) -> None:
        self._learn(Wanted(message.version, message.digest), instance)

    def _learn(self, found: Wanted, holder: str | None) -> None:
        if not newer(self._in_force(), found):
            return
        if newer(self._wanted, found):
            self._wanted = found
            self._holders = set()
        if holder is not None and found == self._wanted:
            self._holders.add(holder)
        self._fetch_if_wanted()

    def _fetch_if_wanted(self) -> None:
        wanted = self._wanted
        if wanted is None or self._fetching or wanted.digest in self._refused:
            return
        self._fetching = True
        fetch = Deferred.fromCoroutine(self._fetch(wanted))
        fetch.addErrback(self._failed)
        fetch.addBoth(self._fetched, wanted)

    def _fetched(self, _: Any, fetched: Wanted) -> None:
        self._fetching = False
        if self._wanted is not None and self._wanted != fetched:
            self._fetch_if_wanted()

    async def _fetch(self, wanted: Wanted) -> None:
        if self._snapshot is not None and wanted.digest == self._snapshot.digest:
            self._take(wanted, self._content)
            return
        content = await self._object_store.get(snapshot_name(wanted.digest))
        if isinstance(content, bytes) and snapshot_digest(content) == wanted.digest:
            self._take(wanted, content)
            return
        reason = "its bytes are corrupted" if isinstance(content, bytes) else str(content)
        self._problem = f"the snapshot of version {wanted.version} can't be fetched: {reason}"
        for holder in sorted(self._holders):
            handed = await self._exchange.fetch(holder, wanted.digest)
            if handed is not None and snapshot_digest(handed) == wanted.digest:
                self._take(wanted, handed)
                return

    def _take(self, wanted: Wanted, content: bytes) -> None:
        snapshot = decode_snapshot(content, wanted.version, wanted.digest)
        if isinstance(snapshot, SnapshotRefused):
            self._refused[wanted.digest] = snapshot.reason
            self._problem = f"version {wanted.version} is refused: {snapshot.reason}"
            _log.error("configuration {}", self._problem)
        elif newer(self._in_force(), wanted):
            self._put_into_force(snapshot, content)

    def _put_into_force(self, snapshot: Snapshot, content: bytes) -> None:
        self._snapshot = snapshot
        self._content = content
        self._problem = None
        if self._wanted is not None and self._wanted.version <= snapshot.version:
            self._wanted = None
        _log.info("configuration version {} is in force", snapshot.version)
        self._announce()
        self._on_change(snapshot)

    def _content_of(self, digest: str) -> bytes | None:
        if self._snapshot is not None and self._snapshot.digest == digest:
            return self._content
        return None

    def _announce(self) -> None:
        for instance in self._links.connected():
            self._announce_to(instance)

    def _announce_to(self, instance: str) -> None:
        if self._snapshot is not None:
            announcement = ConfigurationAnnouncement(self._snapshot.version, self._snapshot.digest)
            self._links.send(instance, announcement)
