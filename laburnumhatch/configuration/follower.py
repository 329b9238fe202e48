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
from .publication import CONFIGURATION_ROW, UnreadablePublication, decode_publication
from .snapshot import SnapshotRefused, decode_snapshot, snapshot_digest, snapshot_object_name

__all__ = ["ConfigurationFollower", "PublishedVersion", "is_newer"]

POLL_INTERVAL = milliseconds(1000)
# Interval of the instances that aren't their data centre's pollers and normally learn of new
# versions from their peers.
SLOW_POLL_INTERVAL = timedelta(seconds=30)
POLL_JITTER = 0.2
# Interval of the announcements and of the retries of a failed fetch.
TICK_INTERVAL = milliseconds(1000)

_log = logbook.Logger("laburnumhatch.configuration")


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """A published version and the digest of its snapshot."""

    version: int
    digest: str


def is_newer(current: PublishedVersion | None, other: PublishedVersion) -> bool:
    """Return whether `other` is a later version than `current`.

    Examples
    --------
    >>> first, second = PublishedVersion(1, "ab"), PublishedVersion(2, "cd")
    >>> is_newer(None, first), is_newer(second, first)
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
    own_instance : Instance
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
        own_instance: Instance,
        on_change: Callable[[Snapshot], None],
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._table = table
        self._object_store = object_store
        self._links = links
        self._instances = instances
        self._own_instance = own_instance
        self._on_change = on_change
        self._jitter = jitter
        self._snapshot: Snapshot | None = None
        self._content = b""
        # Latest known version that isn't in force here yet, and the peers that announced it.
        self._pending: PublishedVersion | None = None
        self._pending_holders: set[str] = set()
        # Reason of the refusal by digest.
        self._refusals: dict[str, str] = {}
        self._is_fetching = False
        self._problem: str | None = "nothing was read yet"
        self._timers: dict[str, Cancellable] = {}
        self._is_running = False
        self._exchange = SnapshotExchange(clock=clock, links=links, find_content=self._find_content)
        links.add_handler(ConfigurationAnnouncement, self._handle_announcement)
        links.add_connect_handler(self._announce_to)

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
        self._is_running = True
        self._poll()
        self._schedule("tick", TICK_INTERVAL, self._tick)

    def stop(self) -> None:
        """Stop polling and announcing; the snapshot stays in force."""
        self._is_running = False
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()

    def _schedule(self, name: str, delay: timedelta, callback: Callable[[], None]) -> None:
        if self._is_running:
            factor = 1.0 - POLL_JITTER * self._jitter()
            self._timers[name] = self._clock.call_later(delay * factor, callback)

    def _poll(self) -> None:
        poll = Deferred.fromCoroutine(self._read_row())
        poll.addErrback(self._record_failure)
        poll.addBoth(lambda _: self._schedule("poll", self._poll_interval(), self._poll))

    def _poll_interval(self) -> timedelta:
        if self._snapshot is None or polls_table(self._instances.live(), self._own_instance):
            return POLL_INTERVAL
        return SLOW_POLL_INTERVAL

    def _tick(self) -> None:
        self._announce()
        self._fetch_pending()
        self._schedule("tick", TICK_INTERVAL, self._tick)

    def _record_failure(self, failure: Any) -> None:
        self._problem = f"following the configuration failed: {failure.value!r}"
        _log.error("{}: {}", self._problem, failure.getTraceback())

    async def _read_row(self) -> None:
        row = await self._table.read(CONFIGURATION_ROW)
        if isinstance(row, Unavailable):
            self._problem = f"the table can't be read: {row.reason}"
        elif isinstance(row, Absent):
            self._problem = "nothing is published"
        else:
            self._handle_row(row)

    def _handle_row(self, row: Row) -> None:
        publication = decode_publication(row)
        if isinstance(publication, UnreadablePublication):
            self._problem = f"the row can't be read: {publication.reason}"
            return
        published = PublishedVersion(publication.version, publication.digest)
        if published.digest not in self._refusals:
            self._problem = self._stale_row_problem(published)
        self._record_published(published, None)

    def _stale_row_problem(self, published: PublishedVersion) -> str | None:
        current = self._version_in_force()
        if current is None or published == current or is_newer(current, published):
            return None
        return f"the table has version {published.version}, and {current.version} is in force"

    def _version_in_force(self) -> PublishedVersion | None:
        if self._snapshot is None:
            return None
        return PublishedVersion(self._snapshot.version, self._snapshot.digest)

    def _handle_announcement(self, instance: str, message: ConfigurationAnnouncement) -> None:
        self._record_published(PublishedVersion(message.version, message.digest), instance)

    def _record_published(self, published: PublishedVersion, holder: str | None) -> None:
        if not is_newer(self._version_in_force(), published):
            return
        if is_newer(self._pending, published):
            self._pending = published
            self._pending_holders = set()
        if holder is not None and published == self._pending:
            self._pending_holders.add(holder)
        self._fetch_pending()

    def _fetch_pending(self) -> None:
        pending = self._pending
        if pending is None or self._is_fetching or pending.digest in self._refusals:
            return
        self._is_fetching = True
        fetch = Deferred.fromCoroutine(self._fetch(pending))
        fetch.addErrback(self._record_failure)
        fetch.addBoth(self._finish_fetch, pending)

    def _finish_fetch(self, _: Any, fetched_version: PublishedVersion) -> None:
        self._is_fetching = False
        if self._pending is not None and self._pending != fetched_version:
            self._fetch_pending()

    async def _fetch(self, pending: PublishedVersion) -> None:
        if self._snapshot is not None and pending.digest == self._snapshot.digest:
            self._apply(pending, self._content)
            return
        content = await self._object_store.get(snapshot_object_name(pending.digest))
        if isinstance(content, bytes) and snapshot_digest(content) == pending.digest:
            self._apply(pending, content)
            return
        reason = "its bytes are corrupted" if isinstance(content, bytes) else str(content)
        self._problem = f"the snapshot of version {pending.version} can't be fetched: {reason}"
        for holder in sorted(self._pending_holders):
            peer_content = await self._exchange.fetch(holder, pending.digest)
            if peer_content is not None and snapshot_digest(peer_content) == pending.digest:
                self._apply(pending, peer_content)
                return

    def _apply(self, published: PublishedVersion, content: bytes) -> None:
        snapshot = decode_snapshot(content, published.version, published.digest)
        if isinstance(snapshot, SnapshotRefused):
            self._refusals[published.digest] = snapshot.reason
            self._problem = f"version {published.version} is refused: {snapshot.reason}"
            _log.error("configuration {}", self._problem)
        elif is_newer(self._version_in_force(), published):
            self._put_into_force(snapshot, content)

    def _put_into_force(self, snapshot: Snapshot, content: bytes) -> None:
        self._snapshot = snapshot
        self._content = content
        self._problem = None
        if self._pending is not None and self._pending.version <= snapshot.version:
            self._pending = None
        _log.info("configuration version {} is in force", snapshot.version)
        self._announce()
        self._on_change(snapshot)

    def _find_content(self, digest: str) -> bytes | None:
        if self._snapshot is not None and self._snapshot.digest == digest:
            return self._content
        return None

    def _announce(self) -> None:
        for instance in self._links.connected_peers():
            self._announce_to(instance)

    def _announce_to(self, instance: str) -> None:
        if self._snapshot is not None:
            announcement = ConfigurationAnnouncement(self._snapshot.version, self._snapshot.digest)
            self._links.send(instance, announcement)
