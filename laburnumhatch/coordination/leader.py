"""The leader's work: leases on keys, their record in the store and the ownership maps."""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from datetime import timedelta
from typing import Protocol

import logbook
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..clocks import Clock, milliseconds
from ..fleet import ServiceProperties, Upstream, UpstreamIncarnation
from ..keyspace import (
    CallResult,
    GrantOrder,
    LeaseTiming,
    OwnershipMap,
    RangeLease,
    ReleaseOrder,
    ServiceLeases,
    encode_record,
    record_of,
)
from ..keyspace.effects import (
    ConnectionRefused,
    GrantRefused,
    NoAnswer,
    OrderAcknowledged,
    UpstreamReplaced,
)
from ..keyspace.hot_keys import KeyLimits
from ..keyspace.lease import apply_result, continue_after_write, next_order, register_order
from ..keyspace.leaving_owners import replace_unusable_owners, unresponsive_owners
from ..keyspace.lost_history import extend_for_unknown_renewals, skip_lost_tokens
from ..keyspace.restarts import fence_restarted_former_owners
from ..keyspace.service_leases import (
    assign_initial_owners,
    key_limits,
    merge_adjacent_ranges,
    ownership_map,
    rebalance,
)
from ..placement.capacities import capacities_for_keys, serving_capacities
from ..placement.loads import LoadTracker
from .leadership import Leadership
from .messages import KeyCount
from .recorded_owners import RecordedOwners
from .store import Expectation, NewRow, StoredRow
from .store_clock import StoreClock

__all__ = ["Leader", "OrderSender"]

# Time between two checks for due work.
TICK_INTERVAL = milliseconds(50)
# Delay between a change and the work that it causes: the answers of many upstreams arrive together.
WORK_DELAY = milliseconds(4)
REBALANCE_INTERVAL = milliseconds(250)
# Time for the first upstreams to register before the initial owners of keys are assigned.
FIRST_ASSIGNMENT_DELAY = milliseconds(800)
# Time for which an upstream that refused a connection receives no keys.
UNREACHABLE_PERIOD = milliseconds(1500)
# Time between two health checks of an upstream that left its grants unanswered, and their timeout.
CHECK_INTERVAL = milliseconds(500)
CHECK_TIMEOUT = milliseconds(300)
# Time within which all owners have answered a renewal after this instance reaches them again.
RENEWAL_TIME = milliseconds(1500)
# Time without an acknowledged renewal of the leader's row after which grants get the longest lease
# duration. It covers two renewals, so that time remains to send the grants before the authority
# ends.
STORE_SILENCE_LIMIT = milliseconds(800)
LONG_AGO = timedelta(days=-1)

_log = logbook.Logger("laburnumhatch.leader")


class OrderSender(Protocol):
    """Sends orders to upstreams."""

    async def send(
        self,
        order: GrantOrder | ReleaseOrder,
        address: tuple[str, int],
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> CallResult:
        """Send an order if `may_send` allows it and return the result.

        `may_send` is called immediately before the order is sent.
        """

    async def is_responding(
        self, upstream: UpstreamIncarnation, address: tuple[str, int], path: str, timeout: timedelta
    ) -> bool:
        """Return whether an upstream answers a health check, with any status."""


class Leader:
    """Manages the leases of all keyed services while this member leads.

    Parameters
    ----------
    clock : Clock
    leadership : Leadership
    sender : OrderSender
    load_tracker : LoadTracker
    addresses : mapping of UpstreamIncarnation to (str, int)
        Last known address of each upstream process.
    on_map : callable
        Called with each `OwnershipMap` that changed.
    on_change : callable
        Called when there are changes to write to the store.
    store_clock : StoreClock
    timing : LeaseTiming
    owners : RecordedOwners
        What the rows of the store tell of the leaders before. Without it there is no leader.
    no_moves_before : timedelta, optional
        Instant before which leases are renewed and nothing else is done, because the former leader,
        which doesn't know this one, may lead on.
    reaches_service : callable, optional
        Returns whether this instance reaches any upstream of a service, given its name.

    Attributes
    ----------
    generation : int
        Generation of the store to which the known versions of the rows belong.
    services : dict of str to ServiceLeases
    """

    def __init__(
        self,
        *,
        clock: Clock,
        leadership: Leadership,
        sender: OrderSender,
        load_tracker: LoadTracker,
        addresses: Mapping[UpstreamIncarnation, tuple[str, int]],
        on_map: Callable[[OwnershipMap], None],
        on_change: Callable[[], None],
        store_clock: StoreClock,
        timing: LeaseTiming,
        owners: RecordedOwners,
        no_moves_before: timedelta = LONG_AGO,
        reaches_service: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self._clock = clock
        self._leadership = leadership
        self._sender = sender
        self._load_tracker = load_tracker
        self._addresses = addresses
        self._on_map = on_map
        self._on_change = on_change
        self._store_clock = store_clock
        self._timing = timing
        self._reaches_service = reaches_service
        # When this instance last reached no upstream of a service.
        self._unreached_at: dict[str, timedelta] = {}
        self._upstreams: Mapping[str, Upstream] = {}
        self._unreachable: dict[UpstreamIncarnation, timedelta] = {}
        # Time of the next health check of each upstream that left its grants unanswered.
        self._unresponsive: dict[UpstreamIncarnation, timedelta] = {}
        self._health_check_paths: dict[str, str] = {}
        self._published_maps: dict[str, OwnershipMap] = {}
        self._rebalanced_at = timedelta()
        # Until then, leases may be left of which no record is.
        self._unrecorded_until = owners.unrecorded_until
        self._unreadable = owners.unreadable
        self._is_stopped = False
        self._has_stopped_moves = False
        self._no_moves_before = no_moves_before
        self._was_store_silent = False
        self._long_holds_until = owners.long_holds_until
        self._is_tick_scheduled = False
        self._random = random.Random()
        self.generation = owners.generation
        self.services = owners.services

    @property
    def is_dirty(self) -> bool:
        """Whether there are changes that have not been written to the store."""
        return any(leases.is_dirty for leases in self.services.values())

    @property
    def has_long_holds(self) -> bool:
        """Whether leases with the longest duration may still be in force."""
        return self._clock.now() < self._long_holds_until

    @property
    def is_settled(self) -> bool:
        """Whether no range is being moved from one owner to another."""
        return not any(
            lease.former is not None for s in self.services.values() for lease in s.leases
        )

    def start(
        self, services: Iterable[ServiceProperties], upstreams: Mapping[str, Upstream]
    ) -> None:
        """Start the periodic work for the keyed services and the known upstreams."""
        self.update_fleet(services, upstreams)
        self._tick()

    def rewrite(self, rows: Iterable[StoredRow], generation: int) -> None:
        """Let all leases be written again, on top of the rows of an older copy of the store.

        Tokens are skipped once, so that those of a generation stay below those of the next.
        """
        versions = {row.key: row.version for row in rows}
        for service, leases in self.services.items():
            leases.row_version = versions.get(service, 0)
            leases.change_count += 1
            skip_lost_tokens(leases, generation - self.generation)
        self.generation = generation

    def count_in_unknown_renewals(self) -> None:
        """Extend the latest expiry of leases that an unknown leader may have renewed."""
        last_grant_at = self._clock.now() + self._leadership.authority_duration
        for leases in self.services.values():
            end = extend_for_unknown_renewals(leases, self._timing, last_grant_at)
            self._long_holds_until = max(self._long_holds_until, end)

    def stop_moves(self) -> None:
        """Start no further moves of keys."""
        self._has_stopped_moves = True

    def stop(self) -> None:
        """Stop all work, so that no further orders are sent."""
        self._is_stopped = True

    def update_fleet(
        self, services: Iterable[ServiceProperties], upstreams: Mapping[str, Upstream]
    ) -> None:
        """Update the keyed services and the known upstreams."""
        for service in services:
            if service.name not in self.services and service.name not in self._unreadable:
                leases = self.services[service.name] = ServiceLeases(service.name)
                # Records of the service, with their tokens, may be lost.
                skip_lost_tokens(leases, self.generation)
            self._health_check_paths[service.name] = service.health_check_path
        self._upstreams = upstreams
        self._unresponsive = {
            incarnation: due
            for incarnation, due in self._unresponsive.items()
            if self._is_registered(incarnation)
        }
        self.schedule_tick()

    def count_key(self, count: KeyCount) -> None:
        """Count requests for a key."""
        leases = self.services.get(count.service)
        if leases is not None:
            now = self._clock.now()
            leases.count_requests(count.key, count.requests, now, count.priority)

    def key_limits(self) -> dict[str, KeyLimits]:
        """Return the limits on requests for busy keys, by service."""
        now = self._clock.now()
        return {
            service: key_limits(leases, self._capacities(service, now), now)
            for service, leases in self.services.items()
        }

    def schedule_tick(self) -> None:
        """Schedule the due work after `WORK_DELAY`, together for all changes within it."""
        if not self._is_tick_scheduled and not self._is_stopped:
            self._is_tick_scheduled = True
            self._clock.call_later(WORK_DELAY, self._run_due_work)

    def rows_to_write(self) -> tuple[list[Expectation], list[NewRow], dict[str, int]]:
        """Return the expectations, rows and change counts by service of the next write."""
        expected, rows, covered_changes = [], [], {}
        for leases in self.services.values():
            if leases.is_dirty:
                record = record_of(
                    leases.last_token,
                    leases.leases,
                    self._store_clock.store_time_at_most,
                    self.generation,
                )
                expected.append(Expectation("keys", leases.service, leases.row_version))
                rows.append(NewRow("keys", leases.service, encode_record(record)))
                covered_changes[leases.service] = leases.change_count
        return expected, rows, covered_changes

    def confirm_written(self, covered_changes: Mapping[str, int], version: int) -> None:
        """Continue the moves whose changes have been written to the store."""
        now = self._clock.now()
        for service, changes in covered_changes.items():
            leases = self.services[service]
            leases.row_version = version
            leases.written_count = max(leases.written_count, changes)
            if not leases.is_dirty:
                for lease in leases.leases:
                    continue_after_write(lease, now)
        if covered_changes:
            self.schedule_tick()

    def set_row_version(self, service: str, version: int) -> None:
        """Set the version of a service's row to the one in the store."""
        if service in self.services:
            self.services[service].row_version = version

    def _tick(self) -> None:
        if self._is_stopped:
            return
        # Scheduled first, so that an unexpected exception ends this tick only.
        self._clock.call_later(TICK_INTERVAL, self._tick)
        self._run_due_work()

    def _run_due_work(self) -> None:
        self._is_tick_scheduled = False
        if self._is_stopped:
            return
        now = self._clock.now()
        was_dirty = self.is_dirty
        self._check_unresponsive(now)
        may_move = not self._has_stopped_moves and now >= self._no_moves_before
        movable = [s for s in self.services.values() if may_move and self._knows_owners(s, now)]
        for leases in movable:
            self._update_owners(leases, now)
        if may_move and now - self._rebalanced_at >= REBALANCE_INTERVAL:
            self._rebalanced_at = now
            for leases in movable:
                self._rebalance(leases, now)
        for leases in self.services.values():
            self._publish_map(leases)
            self._send_due_orders(leases, now)
        self._was_store_silent = now - self._leadership.renewed_at > STORE_SILENCE_LIMIT
        if self.is_dirty and not was_dirty:
            self._on_change()

    def _usable_upstreams(
        self, service: str, now: timedelta
    ) -> dict[UpstreamIncarnation, Upstream]:
        return {
            upstream.incarnation: upstream
            for upstream in self._upstreams.values()
            if upstream.service == service
            and not upstream.is_draining
            and not upstream.is_evacuated
            and upstream.incarnation not in self._unresponsive
        }

    def _is_reachable(self, incarnation: UpstreamIncarnation, now: timedelta) -> bool:
        return self._unreachable.get(incarnation, now) <= now

    def _why_unusable(self, incarnation: UpstreamIncarnation) -> str:
        upstream = self._upstreams.get(incarnation.name)
        if upstream is None:
            return "its registration has ended"
        if upstream.incarnation != incarnation:
            return "it has restarted"
        if upstream.is_draining:
            return "it is draining"
        if upstream.is_evacuated:
            return "its data centre is evacuated"
        return "it does not answer grants"

    def _update_unresponsive(
        self, leases: ServiceLeases, now: timedelta
    ) -> set[UpstreamIncarnation]:
        """Update and return the upstreams that can't be expected to answer an order."""
        found = unresponsive_owners(
            leases, lambda name: self._load_tracker.load_of(name).answered_at, now
        )
        for incarnation in found:
            if incarnation not in self._unresponsive and self._is_registered(incarnation):
                self._unresponsive[incarnation] = now + CHECK_INTERVAL
                _log.warning(
                    "upstream {} is unresponsive and receives no keys until it answers",
                    incarnation.name,
                )
        return found | self._unresponsive.keys()

    def _is_registered(self, incarnation: UpstreamIncarnation) -> bool:
        upstream = self._upstreams.get(incarnation.name)
        return upstream is not None and upstream.incarnation == incarnation

    def _check_unresponsive(self, now: timedelta) -> None:
        for incarnation, due in list(self._unresponsive.items()):
            address = self._addresses.get(incarnation)
            if now < due or address is None:
                continue
            self._unresponsive[incarnation] = now + CHECK_INTERVAL
            checking = Deferred.fromCoroutine(self._check_upstream(incarnation, address))
            checking.addErrback(
                lambda f: _log.error(
                    "failed to check the health of an upstream: {}", f.getTraceback()
                )
            )

    async def _check_upstream(
        self, incarnation: UpstreamIncarnation, address: tuple[str, int]
    ) -> None:
        path = self._health_check_paths.get(self._upstreams[incarnation.name].service, "/")
        if await self._sender.is_responding(incarnation, address, path, CHECK_TIMEOUT):
            self._mark_responsive(incarnation)

    def _mark_responsive(self, incarnation: UpstreamIncarnation) -> None:
        if self._unresponsive.pop(incarnation, None) is not None:
            _log.info("upstream {} is responsive again", incarnation.name)
            self.schedule_tick()

    def _knows_owners(self, leases: ServiceLeases, now: timedelta) -> bool:
        """Return whether an owner's silence tells of its loss, not of this instance's links."""
        if not self._reaches_service(leases.service):
            self._unreached_at[leases.service] = now
        return now - self._unreached_at.get(leases.service, LONG_AGO) >= RENEWAL_TIME

    def _update_owners(self, leases: ServiceLeases, now: timedelta) -> None:
        unresponsive = self._update_unresponsive(leases, now)
        usable = self._usable_upstreams(leases.service, now)
        if not usable:
            return
        if not leases.leases:
            if leases.first_upstream_seen_at is None:
                leases.first_upstream_seen_at = now
            has_waited = now - leases.first_upstream_seen_at >= FIRST_ASSIGNMENT_DELAY
            if has_waited and now >= self._unrecorded_until:
                assign_initial_owners(leases, list(usable.values()))
                _log.info(
                    "assigned the initial owners of {}: {} upstreams", leases.service, len(usable)
                )
            return
        reachable = [incarnation for incarnation in usable if self._is_reachable(incarnation, now)]
        limits, warmups = self._load_tracker.limits, self._load_tracker.warmups
        unlimited = [
            i
            for i in reachable
            if limits.rate_per_s(i.name) is None and not warmups.is_warming(i.name, now)
        ]
        assignable = unlimited or reachable
        registered = {name: upstream.incarnation for name, upstream in self._upstreams.items()}
        for lease in fence_restarted_former_owners(leases, registered, now):
            _log.info(
                "keys {}-{} of {} wait until {}, which has restarted, refuses late grants",
                lease.first,
                lease.last,
                leases.service,
                lease.former.incarnation.name if lease.former is not None else "",
            )
        for move in replace_unusable_owners(
            leases, usable, assignable, unresponsive, registered, now
        ):
            _log.info(
                "keys {}-{} of {} go from {} to {}: {}",
                move.first,
                move.last,
                leases.service,
                move.former.name,
                move.new_owner.name,
                self._why_unusable(move.former),
            )

    def _rebalance(self, leases: ServiceLeases, now: timedelta) -> None:
        if leases.is_dirty or not leases.leases or not self._leadership.has_authority(now):
            return
        capacities = capacities_for_keys(self._capacities(leases.service, now), self._load_tracker)
        if len(capacities) > 1:
            spreads_ranges = self._load_tracker.timings.is_enabled
            for move in rebalance(leases, capacities, now, spreads_ranges=spreads_ranges):
                _log.info(
                    "keys {}-{} of {} go to {} for balance",
                    move.first,
                    move.last,
                    leases.service,
                    move.new_owner.name,
                )
        merge_adjacent_ranges(leases, len(capacities), now)

    def _capacities(self, service: str, now: timedelta) -> dict[UpstreamIncarnation, float]:
        """Return the requests per second that each reachable upstream of a service can serve."""
        usable = self._usable_upstreams(service, now).values()
        capacities = serving_capacities(usable, self._load_tracker, now)
        return {i: capacity for i, capacity in capacities.items() if self._is_reachable(i, now)}

    def _publish_map(self, leases: ServiceLeases) -> None:
        published = self._published_maps.get(leases.service)
        current = ownership_map(leases, published)
        if current is not published:
            leases.map_version += 1
            current = replace(current, version=leases.map_version)
            self._published_maps[leases.service] = current
            self._on_map(current)

    def _send_due_orders(self, leases: ServiceLeases, now: timedelta) -> None:
        if not self._leadership.has_authority(now):
            return
        lease_duration = self._timing.lease_duration
        is_store_silent = now - self._leadership.renewed_at > STORE_SILENCE_LIMIT
        if is_store_silent:
            lease_duration = self._timing.max_lease_duration
            self._long_holds_until = self._timing.latest_expiry(now, lease_duration)
        for lease in leases.leases:
            if now < self._no_moves_before and lease.former is not None:
                continue
            if is_store_silent and not self._was_store_silent:
                lease.next_order_at = now
            order = next_order(lease, lease_duration, self._timing, now)
            if order is not None:
                self._send_order(leases, lease, order)

    def _send_order(
        self, leases: ServiceLeases, lease: RangeLease, order: GrantOrder | ReleaseOrder
    ) -> None:
        address = self._addresses.get(order.upstream)
        lease.has_order_in_flight = True
        if address is None:
            self._handle_result(
                leases, lease, order, lease.epoch, self._clock.now(), NoAnswer(True)
            )
            return
        epoch = lease.epoch
        sent_at = [self._clock.now()]

        def may_send() -> bool:
            now = self._clock.now()
            allowed = lease.epoch == epoch and self._leadership.has_authority(now)
            if allowed and not self._is_stopped:
                sent_at[0] = now
                register_order(lease, order, self._timing, now)
                return True
            return False

        is_release = isinstance(order, ReleaseOrder)
        timeout = self._timing.release_timeout if is_release else self._timing.order_timeout
        calling = Deferred.fromCoroutine(self._sender.send(order, address, timeout, may_send))
        calling.addErrback(_as_unanswered)
        calling.addCallback(
            lambda result: self._handle_result(leases, lease, order, epoch, sent_at[0], result)
        )
        calling.addErrback(
            lambda f: _log.error("failed to apply the result of an order: {}", f.getTraceback())
        )

    def _handle_result(
        self,
        leases: ServiceLeases,
        lease: RangeLease,
        order: GrantOrder | ReleaseOrder,
        epoch: int,
        sent_at: timedelta,
        result: CallResult,
    ) -> None:
        now = self._clock.now()
        if isinstance(result, ConnectionRefused | UpstreamReplaced):
            if self._is_reachable(order.upstream, now):
                _log.info(
                    "upstream {} is unreachable: {}", order.upstream.name, type(result).__name__
                )
            self._unreachable[order.upstream] = now + UNREACHABLE_PERIOD
            self._load_tracker.warmups.note_unreachable(order.upstream, leases.service, now)
        elif isinstance(result, GrantRefused):
            _log.warning(
                "upstream {} refused fencing token {} for keys {}-{}",
                order.upstream.name,
                order.fencing_token,
                order.first,
                order.last,
            )
        elif isinstance(result, OrderAcknowledged):
            self._mark_responsive(order.upstream)
            self._load_tracker.warmups.note_answered(order.upstream.name, sent_at)
        if isinstance(result, GrantRefused) and now < self._no_moves_before:
            # Another token would be a change that the former leader can't know of.
            result = NoAnswer(never_sent=True)
        if lease.epoch != epoch:
            # The owner or phase has changed since; `held_until` already accounts for the order.
            return
        apply_result(lease, order, result, sent_at, leases.allocate_tokens, self._timing, now)
        self.schedule_tick()


def _as_unanswered(failure: Failure) -> CallResult:
    """Return the result of an order whose sending has failed unexpectedly."""
    _log.error("failed to send an order: {}", failure.getTraceback())
    return NoAnswer()
