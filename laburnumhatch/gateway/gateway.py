"""State shared by the requests of one instance."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import logbook

from ..clocks import Clock, milliseconds
from ..coordination.member import Member
from ..coordination.relay_directory import RelayDirectory
from ..fleet import CallerLimits, FeatureMode, Route, TrafficSplitter, Upstream
from ..placement import Demand, KeyLimiter, LoadTracker, RetryBudget, WorkTimes, reserved_upstreams
from ..placement.choice import median_service_time
from ..platform.headers import find_header
from ..results import Refusal, ResultCode
from ..telemetry.loop_lag import LoopLagMonitor
from ..transport import CallerRequest, ConnectionLimit, ConnectionPool, MemoryBudget
from ..transport.memory_budget import SMALL_BODY_BYTES
from ..transport.pool import MAX_IDLE_TIME
from .admission import Admission, AdmissionSources
from .crash_guard import CrashGuard
from .exchange import Exchange
from .link_monitor import LinkMonitor
from .metrics import GatewayMetrics
from .refusals import refuse
from .request_log import LoggedTarget, RequestLog, RequestState
from .retry_after import MEMORY_RETRY_AFTER
from .shutdown_report import ShutdownReport
from .suspended_ranges import SuspendedRanges

__all__ = ["Gateway", "RetryPolicy"]

_log = logbook.Logger("laburnumhatch.gateway")

# Time for which a computed median of service times is used.
MEDIAN_LIFETIME = milliseconds(300)


# Time for which an instance that doesn't reach a keyed service leaves the leadership to others; it
# covers several checks of its links.
ABSTENTION = milliseconds(1000)
LONG_AGO = timedelta(days=-1)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Parameters of the retry budgets, equal at all instances; see `RetryBudget`."""

    window: timedelta
    ratio: float
    slack: float


class Gateway:
    """State shared by the requests of one instance.

    Parameters
    ----------
    clock : Clock
    data_centre : str
    member : Member
    load_tracker : LoadTracker
    pool : ConnectionPool
    retry_policy : RetryPolicy
    crash_guard : CrashGuard
    relays : RelayDirectory
    shared_key : callable
        Returns the secret that all instances share.
    memory : MemoryBudget, optional
        Bounds the bytes that are held for others.
    waiting_room : str, optional
        Whether requests wait for room at an upstream; see `Admission`.
    connection_limit : ConnectionLimit, optional
        Bounds the open connections.

    Attributes
    ----------
    arrivals_end_at, requests_end_at : timedelta or None
        Instants of a planned stop from which new requests are refused, and at which those that are
        left are ended; None without one.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        data_centre: str,
        member: Member,
        load_tracker: LoadTracker,
        pool: ConnectionPool,
        retry_policy: RetryPolicy,
        crash_guard: CrashGuard,
        relays: RelayDirectory,
        shared_key: Callable[[], str],
        memory: MemoryBudget | None = None,
        waiting_room: FeatureMode = "off",
        connection_limit: ConnectionLimit | None = None,
    ) -> None:
        self._started_at = clock.now()
        self._retry_policy = retry_policy
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._exchanges: set[Exchange] = set()
        self._available_upstreams: dict[str, list[Upstream]] = {}
        self._draining_since: dict[str, timedelta] = {}
        # When this instance stopped giving new work, by service and evacuated data centre.
        self._evacuated_since: dict[tuple[str, str], timedelta] = {}
        # Instant and value of the last computed median service time in seconds, by service.
        self._medians: dict[str, tuple[timedelta, float]] = {}
        self._reserved_names: dict[tuple[str, int], frozenset[str]] = {}
        self._idle_callback = lambda: None
        self.clock = clock
        self.data_centre = data_centre
        self.member = member
        self.load_tracker = load_tracker
        self.pool = pool
        self.crash_guard = crash_guard
        self.relays = relays
        self.shared_key = shared_key
        self.memory = memory or MemoryBudget()
        self.connection_limit = connection_limit or ConnectionLimit()
        self.service_splitter = TrafficSplitter()
        self.work_times = WorkTimes()
        self.key_limiter = KeyLimiter()
        self.waiting_for_owner: set[Exchange] = set()
        self.suspended_ranges = SuspendedRanges(clock, self.dispatch_waiting)
        self.metrics = GatewayMetrics()
        self.loop_lag = LoopLagMonitor(clock)
        self.request_log = RequestLog(clock, self._log_context)
        self.shutdown_report = ShutdownReport(clock, self.request_log)
        self.random = random.Random()
        self.max_idle_time = MAX_IDLE_TIME
        self.arrivals_end_at: timedelta | None = None
        self.requests_end_at: timedelta | None = None
        self.link_monitor = LinkMonitor(
            clock,
            pool,
            self.available_upstreams,
            lambda: list(self._available_upstreams),
            self.random,
            self._on_links_changed,
        )
        self.admission = Admission(
            clock,
            data_centre,
            load_tracker,
            self.metrics,
            AdmissionSources(
                available_upstreams=self.available_upstreams,
                may_send_to=lambda upstream: member.announcements.may_send_to(upstream),
                median_service_time_s=self.median_service_time_s,
                likely_instance_count=lambda: member.likely_instance_count,
                stop_in_s=self.stop_in_s,
                rng=lambda: self.random,
            ),
            waiting_room,
        )
        member.reaches_service = self._reaches_service

    def _reaches_service(self, service: str) -> bool:
        return service not in self.link_monitor.unreachable

    def _on_links_changed(self, unreachable: frozenset[str]) -> None:
        self.relays.set_unreachable(unreachable)
        routes = self.member.routes
        if routes is not None and any(
            service in routes.services
            and routes.services[service].is_keyed
            and self.relays.choose(service, ()) is not None
            for service in unreachable
        ):
            # A leader grants keys, so it must reach their owners.
            self.member.abstain(ABSTENTION)

    def stop_in_s(self) -> float | None:
        """Return the seconds until requests are no longer answered; None if no stop is planned."""
        if self.requests_end_at is None:
            return None
        return (self.requests_end_at - self.clock.now()).total_seconds()

    @property
    def in_flight(self) -> int:
        """Number of requests without a final answer."""
        return len(self._exchanges)

    @property
    def takes_new_requests(self) -> bool:
        """Whether requests are sent to upstreams that haven't been sent to any."""
        return self.arrivals_end_at is None or self.clock.now() < self.arrivals_end_at

    def handle(self, request: CallerRequest) -> None:
        """Start to process a caller's request."""
        self._handle(Exchange(self, request))

    def handle_relayed(self, request: CallerRequest) -> None:
        """Start to process a request that another instance has passed on."""
        self._handle(Exchange(self, request, is_relayed=True))

    def refuse_for_memory(self, request: CallerRequest) -> None:
        """Refuse a request that doesn't fit into the memory, or for which no connection is left."""
        declared = int(find_header(request.fields, b"content-length") or 0)
        is_long = max(declared, request.body.received_bytes) > SMALL_BODY_BYTES
        self.metrics.memory_refusals["long" if is_long else "short"] += 1
        retry_after = MEMORY_RETRY_AFTER * (0.75 + 0.5 * self.random.random())
        open_count = self.connection_limit.open_count
        detail = f"{self.memory.total} bytes are held, {open_count} connections are open"
        refusal = Refusal(ResultCode.MEMORY_FULL, detail, retry_after=retry_after)
        self.request_log.log_refusal(request, LoggedTarget("", "", None), refusal)
        refuse(request, refusal)

    def _handle(self, exchange: Exchange) -> None:
        self._exchanges.add(exchange)
        try:
            exchange.start()
        except Exception:
            _log.exception("a request could not be processed")
            exchange.fail()
        if self.shutdown_report.is_port_closed:
            self.shutdown_report.log_late_request(exchange.describe())

    def limits(self) -> CallerLimits:
        """Return the limits on requests: the defaults until a configuration is known."""
        routes = self.member.routes
        return routes.limits if routes is not None else CallerLimits()

    def refresh(self) -> None:
        """Update the state after a change of routes, upstreams or key owners."""
        now = self.clock.now()
        by_service: dict[str, list[Upstream]] = {}
        draining = {}
        evacuated: dict[tuple[str, str], timedelta] = {}
        for upstream in self.member.registry_view.upstreams.values():
            if upstream.is_draining:
                draining[upstream.name] = self._draining_since.get(upstream.name, now)
            if upstream.is_evacuated:
                group = upstream.service, upstream.data_centre
                if group not in evacuated:
                    since = self._evacuated_since.get(group)
                    evacuated[group] = self._evacuation_start(group) if since is None else since
            if not upstream.is_draining and not upstream.is_evacuated:
                by_service.setdefault(upstream.service, []).append(upstream)
        self._available_upstreams = by_service
        self._reserved_names.clear()
        self._medians.clear()
        self._draining_since = draining
        self._evacuated_since = evacuated
        routes = self.member.routes
        if routes is not None:
            route_names = {route.name for route in routes.routes}
            self.service_splitter.retain_routes(route_names)
            self.work_times.retain(route_names)
            self.admission.configure(routes)
        self.dispatch_waiting()

    def _evacuation_start(self, group: tuple[str, str]) -> timedelta:
        """Return the present if upstreams of a service and data centre were in use until now.

        An instance that finds them evacuated as it starts doesn't know since when they are.
        """
        service, data_centre = group
        was_used = self.member.routes is not None and any(
            upstream.data_centre == data_centre
            for upstream in self._available_upstreams.get(service, ())
        )
        return self.clock.now() if was_used else LONG_AGO

    def dispatch_waiting(self) -> None:
        """Send the waiting requests whose keys have an owner now."""
        for exchange in list(self.waiting_for_owner):
            exchange.on_owners_changed()

    def available_upstreams(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new requests."""
        return self._available_upstreams.get(service, [])

    def demand(self, service: str, route: Route) -> Demand:
        """Return what a request of a route asks of the service's upstreams."""
        ratio = self.work_times.ratio(service, route.name)
        reserved = self.member.reserved_slots.get(service)
        if reserved is None:
            return Demand(ratio, route.is_bulky)
        names = self._reserved_names.get((service, reserved.slots))
        if names is None:
            names = reserved_upstreams(self.available_upstreams(service), reserved.slots)
            self._reserved_names[service, reserved.slots] = names
        is_urgent = route.priority <= reserved.priority
        longest_ratio = self.work_times.longest_ratio(service)
        return Demand(ratio, route.is_bulky, names, is_urgent, longest_ratio)

    def admits_key(self, service: str, key: int, priority: int) -> bool:
        """Return whether a request for a key is within the limit for the key."""
        limits = self.member.key_limits.get(service)
        share = limits.share(key, priority) if limits is not None else 1.0
        return self.key_limiter.admits(service, key, priority, share)

    def draining_duration(self, upstream: Upstream) -> timedelta:
        """Return the time since an upstream was first seen draining; zero if it isn't draining."""
        since = self._draining_since.get(upstream.name)
        return self.clock.now() - since if since is not None else timedelta()

    def evacuation_duration(self, upstream: Upstream) -> timedelta:
        """Return the time since an upstream was found to be evacuated; zero if it isn't."""
        if not upstream.is_evacuated:
            return timedelta()
        since = self._evacuated_since.get((upstream.service, upstream.data_centre), LONG_AGO)
        return self.clock.now() - since

    def median_service_time_s(self, service: str) -> float:
        """Return the median service time of a service's upstreams, in seconds.

        The median changes slowly, so it is computed at most once in `MEDIAN_LIFETIME`.
        """
        now = self.clock.now()
        computed_at, median_s = self._medians.get(service, (timedelta(days=-1), 0.0))
        if now - computed_at > MEDIAN_LIFETIME:
            upstreams = self.available_upstreams(service)
            median_s = median_service_time(self.load_tracker.load_of(u.name) for u in upstreams)
            self._medians[service] = now, median_s
        return median_s

    def _log_context(self) -> dict[str, object]:
        """Return versions and ages of the data behind the decisions, for log lines."""
        routes = self.member.routes
        ages = {f"{name}_age_s": round(age, 2) for name, age in self.member.ages().items()}
        return {
            "configuration": routes.version if routes is not None else 0,
            "leader": self.member.leader_name,
            "instances": self.member.instance_count,
            **ages,
        }

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            policy = self._retry_policy
            budget = RetryBudget(policy.window, policy.ratio, policy.slack, self._started_at)
            self._retry_budgets[service] = budget
        return budget

    def retry_budget_left(self, service: str) -> float:
        """Return how many more retries the budget of a service allows."""
        budget = self.retry_budget(service)
        return budget.remaining(self.clock.now(), self.member.instance_count)

    def remove_exchange(self, exchange: Exchange) -> None:
        """Remove a request that has its final answer."""
        self._exchanges.discard(exchange)
        self.suspended_ranges.release_probe(exchange)
        if not self._exchanges:
            self._idle_callback()

    def end_requests(self) -> None:
        """Answer the requests in flight, because the process ends now."""
        for exchange in list(self._exchanges):
            self.shutdown_report.log_request_left(exchange.describe())
            exchange.end()

    def state_of(self, request: CallerRequest) -> RequestState | None:
        """Return the state of a request in flight, for the log; None if it isn't in flight."""
        for exchange in self._exchanges:
            if exchange.request is request:
                return exchange.describe()
        return None

    def when_idle(self, action: object) -> None:
        """Call `action` when no request is in flight, immediately if there is none now."""
        self._idle_callback = action  # type: ignore[assignment]
        if not self._exchanges:
            self._idle_callback()
