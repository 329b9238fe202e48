"""Periodic reads of the store.

The leader reads often. The other members read only while they receive no updates from the leader.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from .probe_schedule import MIN_PROBE_INTERVAL, ProbeSchedule
from .shared_configuration import StoredConfiguration
from .store import NotExecuted, RowsRead, RowStore, Unanswered

__all__ = ["ConfigurationRead", "Sources", "StoreReader", "ReadHandlers"]

# Time between two reads of the registry and of the configuration by the leader. It is a quarter of
# the shortest time limit for an upstream's departure in the users' settings.
LEADER_READ_INTERVAL = milliseconds(500)
# Age of a member's state above which it reads the store itself.
MAX_STATE_AGE = milliseconds(1100)
# Age of what a member knows of evacuations above which it reads them itself, although it hears a
# leader: one of a former build doesn't send them. Requests must end 5 s after the row was written.
MAX_EVACUATIONS_AGE = milliseconds(2000)
# Minimum time between two reads of the same data by any member.
MIN_READ_INTERVAL = milliseconds(500)
# Time between two reads of the leader's row while no updates arrive from the leader. It is longer
# while the leader may still have authority.
LEADER_POLL_INTERVAL = milliseconds(300)
SLOW_LEADER_POLL_INTERVAL = milliseconds(600)
# Time after the start of the process within which a member expects the first leader of all to be
# elected, so that it needn't read for itself what that leader will send.
FOUNDING_PERIOD = milliseconds(3000)
# Time after the start of the process within which the present leader sends its state, unless it is
# lost or unreachable.
FIRST_UPDATE_TIMEOUT = milliseconds(400)
# Time without updates from a leader after which a member reads the owners of keys. Only a leader
# changes them, and the next one sends them.
OWNERS_READ_DELAY = milliseconds(2200)
# Time between two reads of a newer configuration that the leader has announced.
ANNOUNCED_READ_INTERVAL = milliseconds(100)
LONG_AGO = timedelta(days=-1)

LEADER_TABLE = "leader"
LEADER_KEY = "leader"
KEYS_TABLE = "keys"

_log = logbook.Logger("laburnumhatch.member")


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Result of a read of the configuration.

    Attributes
    ----------
    row_version : int
    configuration : StoredConfiguration or None
        None if there is no newer valid version than the known one.
    evacuated : frozenset of str
        Data centres that the operator has evacuated.
    """

    row_version: int
    configuration: StoredConfiguration | None
    evacuated: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Sources:
    """Functions that read the registry and the configuration.

    Attributes
    ----------
    read_upstreams : callable
        Returns a coroutine of the upstreams, or of `NotExecuted` or `Unanswered` on failure.
    read_configuration : callable
        Takes the known version of the row. Returns a coroutine of `ConfigurationRead`, or of
        `NotExecuted` or `Unanswered` on failure.
    decode_configuration : callable
        Takes a document and returns the `StoredConfiguration`, or None if it is invalid.
    """

    read_upstreams: Callable[[], Any]
    read_configuration: Callable[[int], Any]
    decode_configuration: Callable[[bytes], StoredConfiguration | None]


@dataclass(frozen=True, slots=True)
class ReadHandlers:
    """Callbacks for the results of reads.

    Attributes
    ----------
    on_upstreams : callable
        Called with the upstreams.
    on_configuration : callable
        Called with the `StoredConfiguration` in a row whose version is new.
    on_leader_row : callable
        Called with the leader's row or None, the store's time, and the instant at which the read
        was sent.
    on_owner_rows : callable
        Called with the rows that record the owners of the keys.
    on_evacuated : callable
        Called with the evacuated data centres and the instant at which the read was sent, before
        `on_configuration`.
    """

    on_upstreams: Callable[[Any], None]
    on_configuration: Callable[[StoredConfiguration], None]
    on_leader_row: Callable[[Any, timedelta | None, timedelta], None]
    on_owner_rows: Callable[[Any], None]
    on_evacuated: Callable[[frozenset[str], timedelta], None]


class StoreReader:
    """Reads the store as often as a member's role requires.

    Parameters
    ----------
    clock : Clock
    store : RowStore
    sources : Sources
    handlers : ReadHandlers
    instance_count : callable
        Returns the likely number of instances.

    Attributes
    ----------
    registry_as_of, configuration_as_of, owners_as_of, leader_as_of : timedelta
        Instant as of which the state of each is known.
    configuration_row_version : int
        Known version of the configuration's row.
    is_store_available : bool
        Whether the last call of the store succeeded.
    available_since : timedelta
        When the store became available again after an outage.
    """

    def __init__(
        self,
        clock: Clock,
        store: RowStore,
        sources: Sources,
        handlers: ReadHandlers,
        instance_count: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._store = store
        self._sources = sources
        self._handlers = handlers
        self._active_reads: set[str] = set()
        self._last_sent_at: dict[str, timedelta] = {}
        self._random = random.Random()
        self._probes = ProbeSchedule(instance_count, lambda: self._random.random())
        self._started_at = clock.now()
        self.registry_as_of = LONG_AGO
        self.configuration_as_of = LONG_AGO
        self.owners_as_of = LONG_AGO
        self.leader_as_of = LONG_AGO
        self.configuration_row_version = 0
        self.is_store_available = True
        self.available_since = LONG_AGO

    def start_due_reads(
        self,
        *,
        is_leader: bool,
        leader_heard_at: timedelta,
        leader_may_act: bool,
        has_leader_row: bool | None,
        evacuations_as_of: timedelta,
    ) -> None:
        """Start the reads that are due.

        Parameters
        ----------
        is_leader : bool
            Whether this member leads.
        leader_heard_at : timedelta
            When the last update from the leader arrived.
        leader_may_act : bool
            Whether the leader may still have authority.
        has_leader_row : bool or None
            Whether the store holds a leader's row; None if that is not known yet.
        evacuations_as_of : timedelta
            Instant as of which the evacuated data centres are known.
        """
        now = self._clock.now()
        if not is_leader and not self.is_store_available:
            oldest = min(leader_heard_at, self.registry_as_of, self.configuration_as_of)
            is_supplied = now - oldest < MAX_STATE_AGE
            sent_at = self._last_sent_at.get("leader", LONG_AGO)
            if self._probes.is_due(sent_at, now, is_supplied=is_supplied):
                self._read("leader", self._read_leader_row, timedelta())
            return
        max_age = LEADER_READ_INTERVAL if is_leader else MAX_STATE_AGE
        age = now - self._started_at
        is_founding = not has_leader_row and age < FOUNDING_PERIOD
        awaits_state = is_founding or (leader_may_act and age < FIRST_UPDATE_TIMEOUT)
        if now - self.registry_as_of >= max_age and (is_leader or not awaits_state):
            self._read("registry", self._read_registry, MIN_READ_INTERVAL)
        # Members other than the leader find out by one read that the store is unavailable.
        may_read_both = is_leader or "registry" not in self._active_reads
        is_evacuations_read_due = now - evacuations_as_of >= MAX_EVACUATIONS_AGE
        is_read_due = now - self.configuration_as_of >= max_age or is_evacuations_read_due
        if is_read_due and may_read_both:
            self.read_configuration()
        if is_leader or now - leader_heard_at < MAX_STATE_AGE:
            return
        if is_founding and has_leader_row is not None and not self.configuration_row_version:
            # Without a configuration nobody leads.
            return
        is_patient = leader_may_act or (is_founding and has_leader_row is not None)
        interval = SLOW_LEADER_POLL_INTERVAL if is_patient else LEADER_POLL_INTERVAL
        min_interval = interval * (0.8 + 0.4 * self._random.random())
        self._read("leader", self._read_leader_row, min_interval)
        is_owners_read_due = now - leader_heard_at >= OWNERS_READ_DELAY
        if is_owners_read_due and now - self.owners_as_of >= MAX_STATE_AGE and not awaits_state:
            self._read("owners", self._read_owners, MIN_READ_INTERVAL)

    def read_configuration(self, min_interval: timedelta = MIN_READ_INTERVAL) -> None:
        """Read the configuration unless a read was sent within `min_interval`."""
        self._read("configuration", self._read_configuration, min_interval)

    def read_leader_row_now(self) -> None:
        """Read the leader's row unless a read of it is in progress."""
        self._read("leader", self._read_leader_row, timedelta())

    def read_announced_configuration(self) -> None:
        """Read the configuration soon, because the leader has announced a newer one."""
        self.read_configuration(
            ANNOUNCED_READ_INTERVAL if self.is_store_available else MIN_PROBE_INTERVAL
        )

    def note_configuration_current(self, as_of: timedelta) -> None:
        """Record that the leader found the known version to be current at an instant."""
        self.configuration_as_of = max(self.configuration_as_of, as_of)

    def note_configuration_row(self, version: int) -> None:
        """Record that this version of the configuration's row needn't be read any more."""
        self.configuration_row_version = max(self.configuration_row_version, version)

    def forget_ages(self) -> None:
        """Let each read be due, because the store has come back from an older copy."""
        self.registry_as_of = self.configuration_as_of = LONG_AGO
        self.owners_as_of = self.leader_as_of = LONG_AGO
        self._last_sent_at.clear()

    def note_availability(self, is_store_available: bool, reason: str = "") -> None:
        """Record whether a call of the store succeeded, and log a change."""
        if is_store_available != self.is_store_available:
            self.is_store_available = is_store_available
            self._probes.reset()
            if is_store_available:
                self.available_since = self._clock.now()
                # What could not be read is due now.
                self._last_sent_at.clear()
                _log.info("the store is available again")
            else:
                _log.warning("the store is unavailable: {}", reason)

    def _read(self, name: str, read: Callable[[], Any], min_interval: timedelta) -> None:
        now = self._clock.now()
        if (
            name in self._active_reads
            or now - self._last_sent_at.get(name, LONG_AGO) < min_interval
        ):
            return
        self._active_reads.add(name)
        self._last_sent_at[name] = now
        reading = Deferred.fromCoroutine(read())
        reading.addErrback(
            lambda f: _log.error("failed to read or apply the {}: {}", name, f.getTraceback())
        )
        reading.addBoth(lambda _: self._active_reads.discard(name))

    def _check_result(self, result: Any) -> bool:
        if isinstance(result, NotExecuted | Unanswered):
            self.note_availability(False, result.reason)
            return False
        self.note_availability(True)
        return True

    async def _read_registry(self) -> None:
        sent_at = self._clock.now()
        result = await self._sources.read_upstreams()
        if not self._check_result(result):
            return
        self.registry_as_of = sent_at
        self._handlers.on_upstreams(result)

    async def _read_configuration(self) -> None:
        sent_at = self._clock.now()
        result = await self._sources.read_configuration(self.configuration_row_version)
        if not self._check_result(result):
            return
        self.configuration_as_of = sent_at
        self.note_configuration_row(result.row_version)
        self._handlers.on_evacuated(result.evacuated, sent_at)
        if result.configuration is not None:
            self._handlers.on_configuration(result.configuration)

    async def _read_leader_row(self) -> None:
        sent_at = self._clock.now()
        result = await self._store.read_row(LEADER_TABLE, LEADER_KEY)
        if isinstance(result, RowsRead) and self._check_result(result):
            row = result.rows[0] if result.rows else None
            self.leader_as_of = sent_at
            self._handlers.on_leader_row(row, result.time, sent_at)
        else:
            self._check_result(result)

    async def _read_owners(self) -> None:
        result = await self._store.read(KEYS_TABLE)
        if isinstance(result, RowsRead) and self._check_result(result):
            self.owners_as_of = self._clock.now()
            self._handlers.on_owner_rows(result.rows)
        else:
            self._check_result(result)
