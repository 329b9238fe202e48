"""One instance among the others: what it reads, hears, reports, and whether it leads."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..fleet import RouteTable, Upstream, UpstreamKnowledge, UpstreamLife
from ..keyspace import LeaseTiming, MapRange, OwnershipMap, decode_record
from ..links import ManagedLinks, PeerAddress
from ..placement.loads import LoadBoard
from .leader import Leader, OrderSender
from .leadership import LeaderRecord, Leadership, LeadershipTiming, encode_leader
from .messages import (
    ListedUpstream,
    LoadReport,
    MapNews,
    MapSpan,
    News,
    UpstreamNews,
    UpstreamTotal,
)
from .store import (
    Committed,
    Expectation,
    NewRow,
    NotDone,
    Rejected,
    RowsRead,
    RowStore,
    StoredRow,
    Unanswered,
)

__all__ = ["Member", "MemberSetup", "Sources"]

LEADER_TABLE = "leader"
LEADER_KEY = "leader"
KEYS_TABLE = "keys"

TICK = milliseconds(100)
# Between two reads of the registry and the configuration by the leader; a quarter of the shortest
# bound on a leaving upstream in the users' settings.
LEADER_READ_INTERVAL = milliseconds(500)
# Age of knowledge beyond which a member reads for itself.
OLDEST_NEWS = milliseconds(1100)
# Between two reads of a member that reads for itself.
MEMBER_READ_INTERVAL = milliseconds(500)
NEWS_INTERVAL = milliseconds(250)
REPORT_INTERVAL = milliseconds(250)
# Lives of upstreams whose address is remembered.
REMEMBERED_LIVES = 2000
# Between a write and the next one of changes that came meanwhile.
REWRITE_PAUSE = milliseconds(10)
# A leader that resigns lets moves end for this long.
LONGEST_SETTLING = milliseconds(1000)
LONG_AGO = timedelta(days=-1)

_log = logbook.Logger("laburnumhatch.member")


@dataclass(frozen=True, slots=True)
class MemberSetup:
    """What stays the same while the instance runs.

    Attributes
    ----------
    name : str
        Name of the instance and of its start.
    host : str
        IP number.
    port : int
        Of its streams.
    """

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Sources:
    """How the registry and the configuration are read.

    Attributes
    ----------
    read_upstreams : callable
        Returns a coroutine of the upstreams, or of why they can't be read.
    read_configuration : callable
        Takes the version of the row that is known, returns a coroutine of the row's version and
        the routes, None for the routes where that version is known already.
    """

    read_upstreams: Callable[[], Any]
    read_configuration: Callable[[int], Any]


class Member:
    """This instance as one of all.

    Parameters
    ----------
    clock : Clock
    setup : MemberSetup
    store : RowStore
    sources : Sources
    links : ManagedLinks
    sender : OrderSender
    board : LoadBoard
    on_change : callable
        Called when routes, upstreams or owners changed.
    leadership_timing : LeadershipTiming, optional
    lease_timing : LeaseTiming, optional

    Attributes
    ----------
    routes : RouteTable or None
    knowledge : UpstreamKnowledge
    maps : dict of str to OwnershipMap
    instances : int
        Instances that run, as far as is known.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        setup: MemberSetup,
        store: RowStore,
        sources: Sources,
        links: ManagedLinks,
        sender: OrderSender,
        board: LoadBoard,
        on_change: Callable[[], None],
        leadership_timing: LeadershipTiming | None = None,
        lease_timing: LeaseTiming | None = None,
    ) -> None:
        self._clock = clock
        self._setup = setup
        self._store = store
        self._sources = sources
        self._links = links
        self._sender = sender
        self._board = board
        self._on_change = on_change
        self._timing = leadership_timing or LeadershipTiming()
        self._lease_timing = lease_timing or LeaseTiming()
        self._leadership = Leadership(setup.name, self._timing)
        self._leader: Leader | None = None
        self._addresses: dict[UpstreamLife, tuple[str, int]] = {}
        self._reading: set[str] = set()
        self._read_sent: dict[str, timedelta] = {}
        self._registry_at = LONG_AGO
        self._configuration_at = LONG_AGO
        self._configuration_row = 0
        self._owners_at = LONG_AGO
        self._heard_leader = LONG_AGO
        self._write_sent = LONG_AGO
        self._writes = 0
        self._pending: dict[int, tuple[timedelta, dict[str, int]]] = {}
        self._is_writing = False
        self._takeover_pause = timedelta()
        self._assumed_hold = self._lease_timing.longest_hold
        self._store_time: tuple[timedelta, timedelta] | None = None
        self._news_sent = LONG_AGO
        self._report_sent = LONG_AGO
        self._reports: dict[str, dict[str, int]] = {}
        self._maps_told: dict[str, dict[str, int]] = {}
        self._registry_told: dict[str, int] = {}
        self._registry_version = 0
        self._is_stopping = False
        self._store_is_well = True
        self._source = random.Random()
        self.routes: RouteTable | None = None
        self.knowledge = UpstreamKnowledge()
        self.maps: dict[str, OwnershipMap] = {}
        self.instances = 1
        links.handle(LoadReport, self._take_report)
        links.handle(News, self._take_news)
        links.on_connected(self._connected)

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""
        return self._leader is not None

    @property
    def leader_name(self) -> str:
        """Name of the leader as the store last showed it; empty where there is none."""
        record = self._leadership.record
        return record.member if record is not None else ""

    def ages(self) -> dict[str, float]:
        """Return the age of what is known, in seconds; for logs and metrics."""
        now = self._clock.now()
        return {
            "registry": (now - self._registry_at).total_seconds(),
            "configuration": (now - self._configuration_at).total_seconds(),
        }

    def start(self) -> None:
        """Begin to read the store and to hear the others."""
        self._tick()

    async def resign(self) -> None:
        """Give up the lead, so that a successor needn't wait."""
        if self._leader is None:
            self._is_stopping = True
            return
        leader, began = self._leader, self._clock.now()
        leader.settle()
        while not leader.is_settled and self._clock.now() - began < LONGEST_SETTLING:
            await self._pause(TICK)
        leader.stop()
        self._is_stopping = True
        while self._is_writing:
            await self._pause(REWRITE_PAUSE)
        row = self._leadership.row
        assert row is not None
        self._writes += 1
        record = self._leadership.next_record(
            self._setup.host,
            self._setup.port,
            self._writes,
            resign=True,
            long_holds=leader.has_long_holds,
        )
        new = NewRow(LEADER_TABLE, LEADER_KEY, encode_leader(record))
        result = await self._store.write(
            [Expectation(LEADER_TABLE, LEADER_KEY, row.version)], [new]
        )
        _log.info("resigned as leader: {}", type(result).__name__)
        self._leader = None
        self._leadership.is_leader = False

    def _tick(self) -> None:
        now = self._clock.now()
        if self._leader is None:
            self._board.forget_old_news(now)
        if self._is_stopping:
            self._clock.call_later(TICK, self._tick)
            self._read_where_old(now)
            return
        self._read_where_old(now)
        self._lead_or_follow(now)
        if self._leader is not None:
            if now - self._news_sent >= NEWS_INTERVAL:
                self._send_news()
        elif now - self._report_sent >= REPORT_INTERVAL:
            self._send_report(now)
        self._clock.call_later(TICK, self._tick)

    # Reading the store.

    def _read_where_old(self, now: timedelta) -> None:
        oldest = LEADER_READ_INTERVAL if self._leader is not None else OLDEST_NEWS
        if now - self._registry_at >= oldest:
            self._read("registry", self._read_registry, now)
        if now - self._configuration_at >= oldest:
            self._read("configuration", self._read_configuration, now)
        if self._leader is None and now - self._heard_leader >= OLDEST_NEWS:
            self._read("leader", self._look_at_leader, now)
            if now - self._owners_at >= OLDEST_NEWS:
                self._read("owners", self._read_owners, now)

    def _read(self, name: str, read: Callable[[], Any], now: timedelta) -> None:
        interval = MEMBER_READ_INTERVAL
        if name == "leader":
            interval = self._timing.look_interval * (0.8 + 0.4 * self._source.random())
        if name in self._reading or now - self._read_sent.get(name, LONG_AGO) < interval:
            return
        self._reading.add(name)
        self._read_sent[name] = now
        reading = Deferred.fromCoroutine(read())
        reading.addErrback(
            lambda f: _log.error("reading the {} failed: {}", name, f.getTraceback())
        )
        reading.addBoth(lambda _: self._reading.discard(name))

    async def _read_registry(self) -> None:
        sent = self._clock.now()
        found = await self._sources.read_upstreams()
        now = self._clock.now()
        if isinstance(found, NotDone | Unanswered):
            self._note_store(False, found.reason)
            self.knowledge.registry_failed(now)
            return
        self._note_store(True, "")
        self._registry_at = sent
        if self.knowledge.take(found, now):
            self._registry_version += 1
            self._upstreams_changed()

    async def _read_configuration(self) -> None:
        sent = self._clock.now()
        found = await self._sources.read_configuration(self._configuration_row)
        if isinstance(found, NotDone | Unanswered):
            self._note_store(False, found.reason)
            return
        self._note_store(True, "")
        version, routes = found
        self._configuration_at = sent
        self._configuration_row = max(self._configuration_row, version)
        if routes is not None and (self.routes is None or routes.version > self.routes.version):
            _log.info("configuration {} is in force", routes.version)
            self.routes = routes
            self._upstreams_changed()
            if self._leader is not None:
                self._send_news()

    async def _read_owners(self) -> None:
        found = await self._store.read(KEYS_TABLE)
        if not isinstance(found, RowsRead):
            self._note_store(False, found.reason)
            return
        now = self._clock.now()
        if self._leader is not None or now - self._heard_leader < OLDEST_NEWS:
            return
        self._owners_at = now
        for row in found.rows:
            try:
                record = decode_record(row.value)
            except ValueError as e:
                _log.error("the record of service {} can't be read: {}", row.key, e)
                continue
            ranges = tuple(
                MapRange(r.first, r.last, r.owner, r.former is None)
                for r in sorted(record.ranges, key=lambda r: r.first)
            )
            self.maps[row.key] = OwnershipMap(row.key, 0, ranges)
        self._on_change()

    async def _look_at_leader(self) -> None:
        sent = self._clock.now()
        found = await self._store.read_row(LEADER_TABLE, LEADER_KEY)
        if not isinstance(found, RowsRead):
            self._note_store(False, found.reason)
            return
        self._note_store_time(found.time, sent)
        self._saw_leader(found.rows[0] if found.rows else None, found.time)

    def _saw_leader(self, row: StoredRow | None, store_time: timedelta | None = None) -> None:
        now = self._clock.now()
        before = self.leader_name
        self._leadership.saw(row, now, store_time)
        record = self._leadership.record
        if record is not None and record.member == self._setup.name:
            self._settle_own_write(row, record.write, now)
        if self.leader_name != before and record is not None:
            _log.info("the leader is {}, term {}", record.member, record.term)
        if record is not None and record.member != self._setup.name and not record.has_resigned:
            self._links.set_peers([PeerAddress(record.member, record.host, record.port)])

    def _note_store_time(self, time: timedelta | None, sent: timedelta) -> None:
        if time is not None:
            self._store_time = (time, sent)

    def _latest_store_time(self) -> timedelta | None:
        """Return what the store's clock shows now at most."""
        if self._store_time is None:
            return None
        time, sent = self._store_time
        return time + (self._clock.now() - sent)

    def _note_store(self, is_well: bool, reason: str) -> None:
        if is_well != self._store_is_well:
            self._store_is_well = is_well
            _log.log(
                logbook.INFO if is_well else logbook.WARNING,
                "the store {}",
                "answers again" if is_well else f"is lost: {reason}",
            )

    def _upstreams_changed(self) -> None:
        for upstream in self.knowledge.upstreams.values():
            self._addresses.setdefault(upstream.life, (upstream.host, upstream.port))
        while len(self._addresses) > REMEMBERED_LIVES:
            del self._addresses[next(iter(self._addresses))]
        self._board.keep_only(self.knowledge.upstreams)
        if self._leader is not None:
            self._leader.follow(self._keyed_services(), self.knowledge.upstreams)
            self._send_news()
        self._on_change()

    def _keyed_services(self) -> list[str]:
        services = self.routes.services.values() if self.routes is not None else ()
        return [service.name for service in services if service.is_keyed]

    # Leading.

    def _lead_or_follow(self, now: timedelta) -> None:
        if self._leader is not None:
            if now - self._write_sent >= self._timing.renew_interval:
                self._write()
            if not self._leadership.is_leader:
                self._step_down()
        elif self._may_try_to_lead(now):
            # Spread, since all members that wait see the same moment come.
            self._takeover_pause = self._timing.look_interval * (1 + self._source.random())
            self._write()

    def _may_try_to_lead(self, now: timedelta) -> bool:
        if self.routes is None or now - self._write_sent < self._takeover_pause:
            return False
        return self._leadership.may_take_over(now)

    def _write(self) -> None:
        if self._is_writing or self._is_stopping:
            return
        self._is_writing = True
        writing = Deferred.fromCoroutine(self._write_once())
        writing.addErrback(lambda f: _log.error("a write failed: {}", f.getTraceback()))
        writing.addBoth(lambda _: self._write_over())

    def _write_over(self) -> None:
        self._is_writing = False
        leader = self._leader
        if not self._store_is_well:
            # The next renewal tries again; a store that fails isn't pressed.
            return
        if leader is not None and any(s.is_dirty for s in leader.services.values()):
            self._clock.call_later(REWRITE_PAUSE, self._write)

    async def _write_once(self) -> None:
        sent = self._write_sent = self._clock.now()
        self._writes += 1
        write = self._writes
        leader = self._leader
        record = self._leadership.next_record(
            self._setup.host,
            self._setup.port,
            write,
            long_holds=leader is not None and leader.has_long_holds,
            renewed_by=self._latest_store_time(),
        )
        if leader is None:
            self._assumed_hold = self._hold_to_assume()
        row = self._leadership.row
        expected = [Expectation(LEADER_TABLE, LEADER_KEY, row.version if row is not None else 0)]
        rows = [NewRow(LEADER_TABLE, LEADER_KEY, encode_leader(record))]
        covered: dict[str, int] = {}
        if self._leader is not None:
            more, changed, covered = self._leader.rows_to_write()
            expected += more
            rows += changed
        self._pending[write] = (sent, covered)
        result = await self._store.write(expected, rows)
        now = self._clock.now()
        match result:
            case Committed(version=version, time=time):
                self._note_store(True, "")
                self._note_store_time(time, sent)
                value = rows[0].value
                self._acknowledge(StoredRow(LEADER_KEY, value, version), write, now)
            case Rejected(rows=found):
                self._take_rejection(found)
            case NotDone(reason=reason):
                del self._pending[write]
                self._note_store(False, reason)
            case Unanswered(reason=reason):
                self._note_store(False, reason)

    def _hold_to_assume(self) -> timedelta:
        """Return the longest hold that the present leader may have granted of late."""
        record = self._leadership.record
        if record is None or (record.has_resigned and not record.long_holds):
            return self._lease_timing.hold
        # It may have been cut off from the store, and then grants for as long as it may.
        return self._lease_timing.longest_hold

    def _take_rejection(self, found: tuple[StoredRow, ...]) -> None:
        leader_row = next((row for row in found if row.key == LEADER_KEY), None)
        if self._leader is not None:
            for row in found:
                if row.key != LEADER_KEY:
                    self._leader.note_row_version(row.key, row.version)
        self._saw_leader(leader_row)

    def _settle_own_write(self, row: StoredRow | None, write: int, now: timedelta) -> None:
        """Take a write of this member whose answer was lost."""
        if row is not None and write in self._pending:
            self._acknowledge(row, write, now)

    def _acknowledge(self, row: StoredRow, write: int, now: timedelta) -> None:
        if write not in self._pending:
            # A later look at the row has settled it already.
            return
        sent, covered = self._pending[write]
        self._pending = {n: w for n, w in self._pending.items() if n > write}
        self._leadership.acknowledged(row, sent, now)
        if self._leader is not None:
            self._leader.note_written(covered, row.version)
        elif self._leadership.is_leader and not self._is_stopping:
            self._begin_to_lead()

    def _begin_to_lead(self) -> None:
        _log.info("leads from now on, term {}", self._leadership.record.term)  # type: ignore[union-attr]
        self._leader = Leader(
            clock=self._clock,
            leadership=self._leadership,
            sender=self._sender,
            board=self._board,
            addresses=self._addresses,
            on_map=self._map_changed,
            on_change=self._write,
            timing=self._lease_timing,
        )
        self._maps_told.clear()
        self._registry_told.clear()
        self._reports.clear()
        starting = Deferred.fromCoroutine(self._start_leading(self._leader))
        starting.addErrback(lambda f: _log.error("leading failed: {}", f.getTraceback()))

    async def _start_leading(self, leader: Leader) -> None:
        while leader is self._leader:
            found = await self._store.read(KEYS_TABLE)
            if isinstance(found, RowsRead):
                leader.start(found.rows, self._assumed_hold)
                leader.follow(self._keyed_services(), self.knowledge.upstreams)
                return
            self._note_store(False, found.reason)
            await self._pause(TICK)

    async def _pause(self, delay: timedelta) -> None:
        over: Deferred[None] = Deferred()
        self._clock.call_later(delay, over.callback, None)
        await over

    def _step_down(self) -> None:
        _log.warning("no longer the leader")
        assert self._leader is not None
        self._leader.stop()
        self._leader = None
        self._heard_leader = LONG_AGO

    def _map_changed(self, found: OwnershipMap) -> None:
        self.maps[found.service] = found
        self._on_change()
        self._send_news()

    # News and reports.

    def _connected(self, peer: str) -> None:
        self._maps_told.pop(peer, None)
        self._registry_told.pop(peer, None)
        if self._leader is not None:
            self._send_news()

    def _send_news(self) -> None:
        leader = self._leader
        row = self._leadership.row
        record = self._leadership.record
        if leader is None or row is None or record is None:
            return
        now = self._clock.now()
        self._news_sent = now
        self._count_own_keys()
        peers = self._links.connected()
        self.instances = len(peers) + 1
        totals = self._totals(peers, now)
        for peer in peers:
            told = self._maps_told.setdefault(peer, {})
            changed = [m for s, m in self.maps.items() if told.get(s) != m.version]
            is_listed = self._registry_told.get(peer) == self._registry_version
            news = News(
                leader=record.member,
                host=record.host,
                port=record.port,
                term=record.term,
                renewal=row.version,
                instances=self.instances,
                configuration=self._configuration_row,
                configuration_age=now - self._configuration_at,
                registry=UpstreamNews(
                    now - self._registry_at,
                    None if is_listed else tuple(map(_listed, self.knowledge.upstreams.values())),
                ),
                maps=tuple(map(_map_news, changed)),
                totals=totals,
            )
            if self._links.send(peer, news):
                self._registry_told[peer] = self._registry_version
                for found in changed:
                    told[found.service] = found.version

    def _totals(self, peers: tuple[str, ...], now: timedelta) -> tuple[UpstreamTotal, ...]:
        for gone in self._reports.keys() - set(peers):
            del self._reports[gone]
        others: dict[str, int] = {}
        for report in self._reports.values():
            for name, in_flight in report.items():
                others[name] = others.get(name, 0) + in_flight
        totals = []
        for name, load in self._board.loads.items():
            load.others = others.get(name, 0)
            if load.in_flight or load.answers > 0.1:
                totals.append(
                    UpstreamTotal(
                        name,
                        load.in_flight,
                        timedelta(seconds=load.service_s),
                        load.declined_share(now),
                    )
                )
        return tuple(totals)

    def _count_own_keys(self) -> None:
        assert self._leader is not None
        for count in self._board.take_report().keys:
            self._leader.count_key(count.service, count.key, count.requests)

    def _send_report(self, now: timedelta) -> None:
        record = self._leadership.record
        if record is None or record.member not in self._links.connected():
            return
        self._report_sent = now
        self._links.send(record.member, self._board.take_report())

    def _take_report(self, peer: str, report: LoadReport) -> None:
        if self._leader is None:
            return
        now = self._clock.now()
        self._reports[peer] = {share.name: share.in_flight for share in report.upstreams}
        for share in report.upstreams:
            load = self._board.of(share.name)
            load.note_answers(
                share.answered, share.declined, share.service_time.total_seconds(), now
            )
        for count in report.keys:
            self._leader.count_key(count.service, count.key, count.requests)

    def _take_news(self, peer: str, news: News) -> None:
        record = self._leadership.record
        if record is None or news.term > record.term:
            told = LeaderRecord(news.leader, news.host, news.port, news.term, False)
            self._saw_leader(StoredRow(LEADER_KEY, encode_leader(told), news.renewal))
            record = self._leadership.record
            if self._leader is not None and not self._leadership.is_leader:
                self._step_down()
        if self._leader is not None or record is None or peer != record.member:
            return
        now = self._clock.now()
        self._heard_leader = now
        self._leadership.heard_renewal(news.renewal, now)
        self.instances = news.instances
        self._board.take_totals(news.totals, now)
        self._registry_at = max(self._registry_at, now - news.registry.age)
        if news.configuration > self._configuration_row:
            self._read("configuration", self._read_configuration, now)
        elif self.routes is not None:
            self._configuration_at = max(self._configuration_at, now - news.configuration_age)
        for found in news.maps:
            self.maps[found.service] = _map_of(found)
        if news.registry.upstreams is not None:
            self.knowledge.adopt(map(_upstream, news.registry.upstreams), now)
            self._upstreams_changed()
        elif news.maps:
            self._on_change()


def _listed(upstream: Upstream) -> ListedUpstream:
    return ListedUpstream(
        upstream.name,
        upstream.life.born,
        upstream.service,
        upstream.host,
        upstream.port,
        upstream.data_centre,
        upstream.slots,
        upstream.is_draining,
        upstream.warmup_left,
    )


def _upstream(listed: ListedUpstream) -> Upstream:
    return Upstream(
        UpstreamLife(listed.name, listed.born),
        listed.service,
        listed.host,
        listed.port,
        listed.data_centre,
        listed.slots,
        listed.is_draining,
        listed.warmup_left,
    )


def _map_news(found: OwnershipMap) -> MapNews:
    spans = (MapSpan(r.first, r.last, r.owner.name, r.owner.born, r.is_held) for r in found.ranges)
    return MapNews(found.service, found.version, tuple(spans))


def _map_of(news: MapNews) -> OwnershipMap:
    ranges = (
        MapRange(s.first, s.last, UpstreamLife(s.owner, s.born), s.is_held) for s in news.spans
    )
    return OwnershipMap(news.service, news.version, tuple(ranges))
