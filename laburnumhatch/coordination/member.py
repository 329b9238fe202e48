"""Membership of this instance: its state, its messages to other members and its leadership."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from datetime import timedelta

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..fleet import (
    RegistryView,
    RouteTable,
    ServiceProperties,
    Upstream,
    UpstreamIncarnation,
    is_feature_on,
)
from ..keyspace import KeyLimits, LeaseTiming, OwnershipMap
from ..links import ManagedLinks, PeerAddress
from ..placement.loads import LoadTracker
from .announcements import Announcements
from .broadcast import Broadcaster
from .candidacy import Candidacy
from .concurrency_sharing import ConcurrencySharing
from .evacuations import Evacuations
from .leader import Leader, OrderSender
from .leadership import LeaderRecord, Leadership, LeadershipTiming, encode_leader
from .load_summary import LoadSummary
from .member_setup import MemberSetup
from .messages import (
    LeadershipYielded,
    LeaderUpdate,
    LoadReport,
    ReservedSlots,
    Totals,
)
from .reader import (
    KEYS_TABLE,
    LEADER_KEY,
    LEADER_TABLE,
    MAX_STATE_AGE,
    ReadHandlers,
    Sources,
    StoreReader,
)
from .received_state import ReceivedState, maps_of_rows
from .recorded_owners import restore_owners
from .registry_reports import RegistryReports
from .shared_configuration import SharedConfiguration, StoredConfiguration
from .store import RowsRead, RowStore, StoredRow, generation_of
from .store_clock import StoreClock
from .tenure import Tenure
from .term_exchange import TermExchange
from .totals import pack_key_limits, pack_totals, unpack_key_limits
from .writer import LeadershipWriter

__all__ = ["Member"]

TICK_INTERVAL = milliseconds(100)
UPDATE_INTERVAL = milliseconds(250)
REPORT_INTERVAL = milliseconds(250)
# Changes within this time are sent in one update: a minimum, and a time for each instance, since an
# update costs the leader processor time for each of them.
MIN_UPDATE_DELAY = milliseconds(10)
UPDATE_DELAY_PER_INSTANCE = milliseconds(0.2)
# Time between two renewals of a leader that still has authority and whose last one was refused.
REFUSED_RENEW_INTERVAL = milliseconds(150)
# Age of the last read of the leader's row above which a member doesn't try to lead while the store
# is unavailable. It covers two reads.
MAX_LEADER_ROW_AGE = milliseconds(1500)
# Number of instances that is assumed before the first update from a leader. Many: decisions for few
# instances, taken by many at once, overload what they share.
ASSUMED_INSTANCE_COUNT = 75
# Number of upstream processes whose address is remembered.
MAX_REMEMBERED_ADDRESSES = 2000
# Time for which a resigning leader waits for moves to end.
MAX_SETTLING_TIME = milliseconds(1000)
# Variation of the time that an update takes, by which ages of the same data may differ.
MAX_DELAY_VARIATION = milliseconds(200)
LONG_AGO = timedelta(days=-1)

_log = logbook.Logger("laburnumhatch.member")


class Member:
    """This instance as a member of the cluster.

    Parameters
    ----------
    clock : Clock
    setup : MemberSetup
    store : RowStore
    sources : Sources
    links : ManagedLinks
    sender : OrderSender
    load_tracker : LoadTracker
    on_change : callable
        Called when routes or upstreams have changed, and possibly owners.
    on_owners_change : callable
        Called when only the owners of keys have changed.
    leadership_timing : LeadershipTiming, optional
    lease_timing : LeaseTiming, optional

    Attributes
    ----------
    reaches_service : callable
        Returns whether this instance reaches any upstream of a service, given its name.
    registry_view : RegistryView
    ownership_maps : dict of str to OwnershipMap
    reserved_slots : dict of str to ReservedSlots
        Slots that are reserved for urgent requests, by service.
    key_limits : mapping of str to KeyLimits
        Limits on requests for busy keys, by service.
    announcements : Announcements
        What upstreams announced in their answers.
    evacuations : Evacuations
        The evacuated data centres.
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
        load_tracker: LoadTracker,
        on_change: Callable[[], None],
        on_owners_change: Callable[[], None],
        leadership_timing: LeadershipTiming | None = None,
        lease_timing: LeaseTiming | None = None,
    ) -> None:
        self._clock = clock
        self._setup = setup
        self._store = store
        self._links = links
        self._sender = sender
        self._load_tracker = load_tracker
        self._on_change = on_change
        self._on_owners_change = on_owners_change
        self._timing = leadership_timing or LeadershipTiming()
        self._lease_timing = lease_timing or LeaseTiming()
        self._store_clock = StoreClock()
        self._leadership = Leadership(
            setup.name, self._timing, self._store_clock, is_first_start=setup.is_first_start
        )
        self._announced_instance_count: int | None = None
        self._candidacy = Candidacy(
            self._leadership,
            self._timing,
            setup.cores,
            setup.link_mbps,
            lambda: self.likely_instance_count,
        )
        self._reader = StoreReader(
            clock,
            store,
            sources,
            ReadHandlers(
                self._handle_upstreams,
                self._handle_configuration,
                self._handle_leader_row,
                self._handle_owner_rows,
                lambda data_centres, as_of: self.evacuations.handle_read(data_centres, as_of),
            ),
            lambda: self.likely_instance_count,
        )
        self._writer = LeadershipWriter(
            clock=clock,
            store=store,
            reader=self._reader,
            leadership=self._leadership,
            host=setup.host,
            port=setup.port,
            lease_timing=self._lease_timing,
            store_clock=self._store_clock,
            on_leader_row=self._observe_leader_row,
            on_elected=self._become_leader,
        )
        self._broadcaster = Broadcaster(links)
        self._terms = TermExchange(
            links,
            self._leadership,
            lambda: store.generation,
            self._reader.read_leader_row_now,
            self._lead_on_if_leader,
        )
        self._addresses: dict[UpstreamIncarnation, tuple[str, int]] = {}
        self._leader_heard_at = LONG_AGO
        self._update_sent_at = LONG_AGO
        self._is_update_scheduled = False
        self._report_sent_at = LONG_AGO
        self._registry_version = 0
        self._upstream_names: list[str] = []
        self._received_state = ReceivedState()
        self._is_stopping = self._is_yielding = False
        self._abstains_until = LONG_AGO
        self._passed_on_term = 0
        self._leadership_handlers: list[Callable[[], None]] = []
        self.reaches_service: Callable[[str], bool] = lambda service: True
        self.registry_view = RegistryView()
        self.ownership_maps: dict[str, OwnershipMap] = {}
        self.reserved_slots: dict[str, ReservedSlots] = {}
        self._summary = LoadSummary(load_tracker, self.reserved_slots)
        self.key_limits: Mapping[str, KeyLimits] = {}
        self.announcements = Announcements(
            clock=clock,
            links=links,
            limits=load_tracker.limits,
            warmups=load_tracker.warmups,
            registry_view=self.registry_view,
            answered_at=lambda name: load_tracker.load_of(name).answered_at,
            likely_instance_count=lambda: self.likely_instance_count,
            leader_name=lambda: self.leader_name,
            is_leader=lambda: self.is_leader,
            has_authority=lambda: self._leadership.has_authority(clock.now()),
            on_upstreams_changed=self._on_upstreams_changed,
        )
        self.registry_view.on_taken_back = self.announcements.assume_warming_up
        self.evacuations = Evacuations(
            clock=clock,
            links=links,
            registry_view=self.registry_view,
            leader_name=lambda: self.leader_name,
            is_leader=lambda: self.is_leader,
            on_upstreams_changed=self._on_upstreams_changed,
            on_news=self._schedule_update,
        )
        self._concurrency = ConcurrencySharing(
            clock=clock,
            links=links,
            load_tracker=load_tracker,
            upstreams=lambda: self.registry_view.upstreams,
            leader_name=lambda: self.leader_name,
            is_leader=lambda: self.is_leader,
        )
        self._registry_reports = RegistryReports(
            clock=clock,
            links=links,
            registry_view=self.registry_view,
            leader_name=lambda: self.leader_name,
            is_leader=lambda: self.is_leader,
            instance_count=lambda: self.likely_instance_count,
        )
        self._configuration = SharedConfiguration(
            clock=clock,
            links=links,
            decode=sources.decode_configuration,
            may_leader_announce=self._may_leader_announce,
            on_row_known=self._reader.note_configuration_row,
            on_change=self._on_upstreams_changed,
        )
        links.add_handler(LoadReport, self._handle_report)
        links.add_handler(LeaderUpdate, self._handle_update)
        links.add_handler(LeadershipYielded, self._handle_yielded)
        links.add_connect_handler(self._on_connected)
        store.add_generation_handler(self._on_store_generation)

    @property
    def routes(self) -> RouteTable | None:
        """The routes in force; None before a configuration is known."""
        return self._configuration.routes

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader."""
        return self._writer.tenure is not None

    @property
    def leader_name(self) -> str:
        """Member name of the last known leader; empty if there is none."""
        record = self._leadership.record
        return record.member if record is not None else ""

    @property
    def instance_count(self) -> int | None:
        """Number of running instances according to the leader; None while no leader is heard."""
        if not self.is_leader and self._clock.now() - self._leader_heard_at > MAX_STATE_AGE:
            return None
        return self._announced_instance_count

    @property
    def likely_instance_count(self) -> int:
        """Number of running instances as last announced, or an assumption before that."""
        return self._announced_instance_count or ASSUMED_INSTANCE_COUNT

    @property
    def _leader(self) -> Leader | None:
        """The leader's work, once this member leads and has read the recorded owners of keys."""
        return self._writer.leader

    def ages(self) -> dict[str, float]:
        """Return the age of the known state in seconds, by source, for logs and metrics."""
        now = self._clock.now()
        return {
            "registry": (now - self._reader.registry_as_of).total_seconds(),
            "configuration": (now - self._reader.configuration_as_of).total_seconds(),
        }

    def start(self) -> None:
        """Begin to read the store and to exchange messages with the other members."""
        self._tick()

    def add_leadership_handler(self, handler: Callable[[], None]) -> None:
        """Call `handler` whenever this member becomes the leader."""
        self._leadership_handlers.append(handler)

    async def resign(self) -> None:
        """Resign as the leader, so that a successor needn't wait.

        Afterwards this member neither seeks the leadership nor sends updates or reports.
        """
        leader, started_at = self._leader, self._clock.now()
        if leader is not None:
            leader.stop_moves()
            while not leader.is_settled and self._clock.now() - started_at < MAX_SETTLING_TIME:
                await self._sleep(TICK_INTERVAL)
        self._is_stopping = True
        if self._writer.tenure is not None:
            self._writer.tenure.end()
        await self._writer.resign()
        self._writer.tenure = None

    def abstain(self, duration: timedelta) -> None:
        """Leave the leadership to others for a while, because this member could not do its work.

        A leader resigns and stays a member.
        """
        self._abstains_until = self._clock.now() + duration
        tenure = self._writer.tenure
        if tenure is not None and not self._is_yielding and not self._is_stopping:
            self._is_yielding = True
            yielding = Deferred.fromCoroutine(self._yield_leadership(tenure))
            yielding.addErrback(
                lambda f: _log.error("failed to yield the leadership: {}", f.getTraceback())
            )

    async def _yield_leadership(self, tenure: Tenure) -> None:
        term = self._leadership.led_term
        _log.warning("yields the leadership of term {}", term)
        tenure.end()
        # An order that is on the way could extend a lease that the successor takes for known.
        await self._sleep(self._lease_timing.order_timeout)
        try:
            await self._writer.resign()
        finally:
            self._is_yielding = False
        if self._writer.tenure is tenure:
            self._step_down()
        self._leadership.is_leader = False
        if not self._is_stopping:
            self._writer.resume()
        for peer in self._links.connected_peers():
            self._links.send(peer, LeadershipYielded(term))

    def _handle_yielded(self, peer: str, yielded: LeadershipYielded) -> None:
        if peer == self.leader_name:
            self._leader_heard_at = LONG_AGO
            self._reader.read_leader_row_now()

    def _tick(self) -> None:
        # Scheduled first, so that an unexpected exception ends this tick only.
        self._clock.call_later(TICK_INTERVAL, self._tick)
        now = self._clock.now()
        is_leader = self.is_leader
        self._concurrency.set_enabled(is_feature_on(self._setup.adaptive_concurrency, self.routes))
        self._start_due_reads(now)
        self._configuration.use_pending_if_due()
        if not is_leader:
            self._load_tracker.expire_totals(now)
            if now - self._leader_heard_at > MAX_STATE_AGE:
                # The keys may have become less busy, or their owners faster, since.
                self.key_limits = {}
                self._concurrency.estimate_alone()
        if not self._is_stopping:
            self._renew_or_take_over(now)
            if self.is_leader and now - self._update_sent_at >= UPDATE_INTERVAL:
                self._send_update(with_totals=True)
            elif not self.is_leader and now - self._report_sent_at >= REPORT_INTERVAL:
                self._send_report(now)

    def _start_due_reads(self, now: timedelta) -> None:
        leadership = self._leadership
        self._reader.start_due_reads(
            is_leader=self.is_leader,
            leader_heard_at=self._leader_heard_at,
            leader_may_act=not leadership.may_take_over(now),
            has_leader_row=(leadership.row is not None) if leadership.is_row_known else None,
            evacuations_as_of=self.evacuations.as_of,
        )

    async def _sleep(self, delay: timedelta) -> None:
        done: Deferred[None] = Deferred()
        self._clock.call_later(delay, done.callback, None)
        await done

    # Handlers of the results of reads.

    def _handle_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        self._received_state.is_in_effect = False
        self._registry_reports.report(self._clock.now() - self._reader.registry_as_of)
        has_changed = self.registry_view.apply_read(upstreams, self._clock.now())
        self._observe_warmups(self._reader.registry_as_of)
        if has_changed:
            self._on_upstreams_changed()

    def _observe_warmups(self, read_at: timedelta | None) -> None:
        upstreams = self.registry_view.upstreams
        self._load_tracker.warmups.observe_registry(upstreams, read_at, self._clock.now())

    def _handle_configuration(self, configuration: StoredConfiguration) -> None:
        self._configuration.handle_read(configuration, self._reader.configuration_row_version)

    def _may_leader_announce(self) -> bool:
        """Return whether a leader that this member hasn't heard yet may have authority."""
        is_heard = self._leader_heard_at != LONG_AGO
        return not is_heard and not self._leadership.may_take_over(self._clock.now())

    def _handle_leader_row(
        self, row: StoredRow | None, store_time: timedelta | None, sent_at: timedelta
    ) -> None:
        now = self._clock.now()
        self._store_clock.update(store_time, sent_at, now)
        was_row_known = self._leadership.is_row_known
        self._observe_leader_row(row, store_time)
        self._configuration.use_pending_if_due()
        if not was_row_known:
            # What else has to be read depends on the row.
            self._start_due_reads(now)

    def _handle_owner_rows(self, rows: Iterable[StoredRow]) -> None:
        if self.is_leader or self._clock.now() - self._leader_heard_at < MAX_STATE_AGE:
            return
        self.ownership_maps.update(maps_of_rows(rows, self.ownership_maps))
        self._received_state.is_in_effect = False
        self._on_change()

    def _observe_leader_row(
        self, row: StoredRow | None, store_time: timedelta | None = None
    ) -> None:
        former_leader = self.leader_name
        self._leadership.observe_row(row, self._clock.now(), store_time)
        record = self._leadership.record
        if record is None:
            return
        if record.member == self._setup.name:
            if row is not None and self._leadership.is_row_current:
                self._writer.confirm_row(row, record.write)
            return
        if record.member != former_leader:
            _log.info("the leader is {}, term {}", record.member, record.term)
        if not record.has_resigned:
            leader = PeerAddress(record.member, record.host, record.port)
            self._links.set_peers([leader], is_mutual=False)

    def _on_upstreams_changed(self) -> None:
        upstreams = self.registry_view.upstreams
        for upstream in upstreams.values():
            self._addresses.setdefault(upstream.incarnation, (upstream.host, upstream.port))
        while len(self._addresses) > MAX_REMEMBERED_ADDRESSES:
            del self._addresses[next(iter(self._addresses))]
        self._load_tracker.retain(upstreams, self._clock.now())
        if self.routes is not None:
            self._load_tracker.warmups.configure(self.routes.services.values())
        self._registry_version += 1
        self._upstream_names = sorted(upstreams)
        self.evacuations.log_effects()
        if self._leader is not None:
            self._leader.update_fleet(self._keyed_services(), upstreams)
        self._schedule_update()
        self._on_change()

    def _keyed_services(self) -> list[ServiceProperties]:
        services = self.routes.services.values() if self.routes is not None else ()
        return [service for service in services if service.is_keyed]

    # Leadership.

    def _renew_or_take_over(self, now: timedelta) -> None:
        self._leadership.step_down_without_history(now)
        if self.is_leader and not self._leadership.is_leader:
            self._step_down()
        if self._leadership.awaits_witnesses:
            self._terms.ask()
        elif self.is_leader:
            if now - self._writer.last_sent_at >= self._renew_interval(now):
                self._writer.write()
        elif self._candidacy.may_try_now(
            now,
            is_able=self.routes is not None
            and now >= self._abstains_until
            and self._is_store_reachable(now),
            last_tried_at=self._writer.last_sent_at,
            store_available_since=self._reader.available_since,
        ):
            self._writer.take_over()

    def _renew_interval(self, now: timedelta) -> timedelta:
        """Return the time between two renewals: short while authority ends unless one succeeds."""
        is_refused = not self._reader.is_store_available and self._leadership.has_authority(now)
        return REFUSED_RENEW_INTERVAL if is_refused else self._timing.renew_interval

    def _is_store_reachable(self, now: timedelta) -> bool:
        """Return whether the store, as far as is known, would take a write of this member."""
        return (
            self._reader.is_store_available or now - self._reader.leader_as_of < MAX_LEADER_ROW_AGE
        )

    def _become_leader(self) -> None:
        record = self._leadership.record
        _log.info("leads from now on, term {}", record.term if record is not None else 0)
        self.announcements.begin_leading()
        self._links.set_peers([], is_mutual=False)
        for handler in self._leadership_handlers:
            handler()
        self._broadcaster.forget_all()
        self.evacuations.forget_peers()
        self._configuration.forget_peers()
        self._concurrency.forget_requests()
        self._summary = LoadSummary(self._load_tracker, self.reserved_slots)
        assert self._writer.tenure is not None
        starting = Deferred.fromCoroutine(self._start_leading(self._writer.tenure))
        starting.addErrback(
            lambda f: _log.error("failed to start the leader's work: {}", f.getTraceback())
        )

    async def _start_leading(self, tenure: Tenure) -> None:
        """Read the recorded owners, without which there is nothing that could write or grant."""
        while not tenure.is_over:
            sent_at = self._clock.now()
            result = await self._store.read(KEYS_TABLE)
            if tenure.is_over:
                return
            if isinstance(result, RowsRead):
                self._store_clock.update(result.time, sent_at, self._clock.now())
                self._begin_work(tenure, result.rows)
                return
            self._reader.note_availability(False, result.reason)
            await self._sleep(TICK_INTERVAL)

    def _begin_work(self, tenure: Tenure, rows: Iterable[StoredRow]) -> None:
        leadership = self._leadership
        tenure.leader = Leader(
            clock=self._clock,
            leadership=leadership,
            sender=self._sender,
            load_tracker=self._load_tracker,
            addresses=self._addresses,
            on_map=self._on_map_changed,
            on_change=self._writer.write,
            store_clock=self._store_clock,
            timing=self._lease_timing,
            reaches_service=lambda service: self.reaches_service(service),
            owners=restore_owners(
                rows,
                self._store.generation,
                self._lease_timing,
                tenure.former_lease_duration,
                leadership.lost_authority_ends_at,
                self._store_clock.local_time_after,
                self.ownership_maps,
                self._clock.now(),
            ),
            no_moves_before=leadership.no_moves_before,
        )
        leadership.knows_owners = True
        tenure.leader.start(self._keyed_services(), self.registry_view.upstreams)

    def _on_store_generation(self, generation: int) -> None:
        """Drop what depends on rows that the store may have lost, and restore what it must hold."""
        now = self._clock.now()
        self._store_clock.reset()
        self._writer.forget_pending()
        self._leadership.begin_generation(generation, now)
        self._reader.forget_ages()
        self.registry_view.begin_grace(now)
        self._load_tracker.warmups.distrust_registry(now)
        self.evacuations.begin_grace()
        tenure = self._writer.tenure
        if tenure is not None and self._leadership.awaits_witnesses:
            _log.info(
                "the store is in generation {} and this leader's authority is over: asking the "
                "other members for later leaders",
                generation,
            )
            self._terms.ask()
        elif tenure is not None and self._leadership.is_leader:
            self._lead_on(tenure, generation)

    def _lead_on(self, tenure: Tenure, generation: int) -> None:
        _log.info("leads on in generation {} of the store and writes its rows again", generation)
        rewriting = Deferred.fromCoroutine(self._rewrite_rows(tenure, generation))
        rewriting.addErrback(
            lambda f: _log.error("failed to write the rows again: {}", f.getTraceback())
        )

    def _lead_on_if_leader(self) -> None:
        tenure = self._writer.tenure
        if tenure is not None and tenure.leader is not None:
            self._leadership.resume()
            tenure.leader.count_in_unknown_renewals()
            self._lead_on(tenure, self._store.generation)

    async def _rewrite_rows(self, tenure: Tenure, generation: int) -> None:
        """Write the leader's rows again, on top of what the older copy holds."""
        while not tenure.is_over and generation == self._store.generation:
            owner_rows = await self._store.read(KEYS_TABLE)
            sent_at = self._clock.now()
            leader_row = await self._store.read_row(LEADER_TABLE, LEADER_KEY)
            if tenure.is_over or generation != self._store.generation:
                return
            if isinstance(owner_rows, RowsRead) and isinstance(leader_row, RowsRead):
                if tenure.leader is not None and tenure.leader.generation != generation:
                    self._store_clock.update(leader_row.time, sent_at, self._clock.now())
                    tenure.leader.rewrite(owner_rows.rows, generation)
                self._observe_leader_row(leader_row.rows[0] if leader_row.rows else None)
                if self._leadership.is_leader:
                    self._writer.write()
                return
            await self._sleep(TICK_INTERVAL)

    def _step_down(self) -> None:
        _log.warning("lost the leadership")
        assert self._writer.tenure is not None
        self._writer.tenure.end()
        self._writer.tenure = None
        self._leader_heard_at = LONG_AGO

    def _on_map_changed(self, ownership_map: OwnershipMap) -> None:
        self.ownership_maps[ownership_map.service] = ownership_map
        self._on_owners_change()
        self._schedule_update()

    # Updates and reports.

    def _on_connected(self, peer: str) -> None:
        self._broadcaster.forget(peer)
        self.evacuations.forget_peer(peer)
        self._schedule_update()

    def _schedule_update(self) -> None:
        if self.is_leader and not self._is_update_scheduled:
            self._is_update_scheduled = True
            delay = max(MIN_UPDATE_DELAY, UPDATE_DELAY_PER_INSTANCE * self.likely_instance_count)
            self._clock.call_later(delay, self._send_update)

    def _send_update(self, *, with_totals: bool = False) -> None:
        self._is_update_scheduled = False
        row, record = self._leadership.row, self._leadership.record
        if not self.is_leader or row is None or record is None:
            return
        now = self._clock.now()
        instance_count = len(self._links.connected_peers()) + 1
        self._announced_instance_count = instance_count
        self._terms.note_members(self._links.connected_peers())
        totals = None
        if with_totals:
            self._update_sent_at = now
            totals = self._totals(now)
            self.announcements.update_followers()
            self._concurrency.update_followers()
        update = LeaderUpdate(
            leader=record.member,
            host=record.host,
            port=record.port,
            term=record.term,
            row_version=row.version,
            lost_history=record.lost_history,
            instance_count=instance_count,
            configuration_version=self._reader.configuration_row_version,
            configuration_in_force=self._configuration.version,
            configuration_age=now - self._reader.configuration_as_of,
            registry_age=now - self._reader.registry_as_of,
            registry_changes=None,
            map_changes=(),
            totals=totals,
            reserved_slots=tuple(self.reserved_slots.values()),
            key_limits=pack_key_limits(self.key_limits),
        )
        # Before the update, after which an instance without the version reads it from the store.
        self._configuration.update_followers()
        self._broadcaster.send(
            update, self._registry_version, self.registry_view.upstreams, self.ownership_maps
        )
        # After the update, from which a receiver learns who leads.
        self.evacuations.update_followers()

    def _totals(self, now: timedelta) -> Totals:
        """Count this instance's own report and return the loads over all instances."""
        own_report = self._load_tracker.collect_report()
        self._count_keys(own_report)
        self._update_key_limits(self._leader.key_limits() if self._leader is not None else {})
        peers = self._links.connected_peers()
        self._summary.update(own_report, peers, self.registry_view.upstreams.values(), now)
        self.reserved_slots = self._summary.reserved_slots
        return Totals(
            self._registry_version, pack_totals(self._load_tracker, self._upstream_names, now)
        )

    def _count_keys(self, report: LoadReport) -> None:
        if self._leader is not None:
            for count in report.keys:
                self._leader.count_key(count)

    def _update_key_limits(self, limits: Mapping[str, KeyLimits]) -> None:
        for service, current in limits.items():
            former = self.key_limits.get(service, KeyLimits())
            for key, priority in current.shares.keys() - former.shares.keys():
                _log.info(
                    "key {} of {} is too busy for its owner: {:.0%} of its requests of priority "
                    "{} are sent",
                    key,
                    service,
                    current.share(key, priority),
                    priority,
                )
        self.key_limits = limits

    def _send_report(self, now: timedelta) -> None:
        leader = self.leader_name
        if leader in self._links.connected_peers():
            self._report_sent_at = now
            self._links.send(leader, self._load_tracker.collect_report())
            self.announcements.report_to_leader()
            if now - self._leader_heard_at <= MAX_STATE_AGE:
                self._concurrency.report_to_leader()

    def _handle_report(self, peer: str, report: LoadReport) -> None:
        if self.is_leader:
            self._summary.count_report(peer, report, self._clock.now())
            self._count_keys(report)

    def _handle_update(self, peer: str, update: LeaderUpdate) -> None:
        record = self._leadership.record
        if record is None or update.term > record.term:
            announced = LeaderRecord(
                update.leader,
                update.host,
                update.port,
                update.term,
                False,
                generation=generation_of(update.row_version),
                lost_history=update.lost_history,
            )
            self._observe_leader_row(
                StoredRow(LEADER_KEY, encode_leader(announced), update.row_version)
            )
        self._pass_on(update)
        if self.is_leader and not self._leadership.is_leader:
            # The first update of a stream holds the full state, so it must not be missed.
            self._step_down()
        if self.is_leader or not peer == update.leader == self.leader_name:
            return
        now = self._clock.now()
        self._leader_heard_at = now
        self._leadership.note_leader_known(peer)
        self._leadership.observe_renewal(update.row_version, now)
        self._announced_instance_count = update.instance_count
        self.reserved_slots = {reserved.service: reserved for reserved in update.reserved_slots}
        self.key_limits = unpack_key_limits(update.key_limits)
        known_as_of = self._reader.registry_as_of
        is_registry_newer = now - update.registry_age >= known_as_of - MAX_DELAY_VARIATION
        self._reader.registry_as_of = max(known_as_of, now - update.registry_age)
        self.registry_view.note_current(self._reader.registry_as_of, now)
        is_stored = update.configuration_version > self._reader.configuration_row_version
        self._configuration.handle_announcement(
            peer, update.configuration_in_force, is_stored=is_stored
        )
        if is_stored:
            self._reader.read_announced_configuration()
        elif self.routes is not None:
            self._reader.note_configuration_current(now - update.configuration_age)
        self._apply_update(update, now, is_registry_newer)

    def _pass_on(self, update: LeaderUpdate) -> None:
        """Tell the other members on open streams who leads now, once for each term.

        They are mostly those of which this member was the leader. Some may not reach the store,
        from which they would learn it.
        """
        if update.term <= self._passed_on_term:
            return
        self._passed_on_term = update.term
        announcement = replace(update, registry_changes=None, map_changes=(), totals=None)
        for peer in self._links.connected_peers():
            if peer != update.leader:
                self._links.send(peer, announcement)

    def _apply_update(self, update: LeaderUpdate, now: timedelta, is_registry_newer: bool) -> None:
        """Apply an update from the leader and use the resulting state.

        A leader that can't read the registry goes on to send updates. They don't replace what this
        member has read since.
        """
        state = self._received_state
        state.apply(update)
        has_new_maps = bool(update.map_changes) or not state.is_in_effect
        if has_new_maps:
            self.ownership_maps = dict(state.maps)
        has_changes = update.registry_changes is not None or not state.is_in_effect
        if has_changes and is_registry_newer:
            self.registry_view.replace(state.upstreams.values())
            self._observe_warmups(None)
            self._on_upstreams_changed()
        elif has_new_maps:
            self._on_owners_change()
        state.is_in_effect = is_registry_newer
        find_total = state.totals(update)
        if find_total is not None:
            self._load_tracker.apply_totals(find_total, now)
