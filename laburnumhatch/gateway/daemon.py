"""Process of one gateway instance."""

import math
import resource
import secrets
import signal
import sys
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Clock, ReactorClock, boot_seconds, milliseconds, use_boot_time
from ..clocks.duration_text import parse_duration
from ..coordination.crash_reports import CrashReports
from ..coordination.member import Member
from ..coordination.member_setup import MemberSetup
from ..coordination.messages import COORDINATION_MESSAGES, ReachReport
from ..coordination.relay_directory import RelayDirectory
from ..coordination.stream_key import restore_stream_key, shared_stream_key
from ..entry.lifecycle import LifecycleActions, build_lifecycle
from ..entry.numeric_resolver import NumericResolver
from ..fleet import CallerLimits
from ..keyspace import LeaseTiming
from ..links import LINK_MESSAGES, Codec, PeerLinks
from ..placement import LoadTracker
from ..placement.warmup_allowance import WarmupAllowance
from ..placement.warmups import Warmups
from ..platform.order_sender import PlatformOrderSender
from ..platform.sources import platform_sources
from ..platform.store import PlatformStore
from ..telemetry.bounded_stream import BoundedStream
from ..telemetry.logs import start_logging
from ..transport import (
    MAX_REQUESTS_AHEAD,
    CallerConnection,
    CallerFactory,
    CallerRequest,
    ConnectionLimit,
    ConnectionPool,
    HttpCaller,
    MemoryBudget,
    connection_limit,
    held_bytes_limit,
)
from ..transport.memory_budget import MEBIBYTE
from ..transport.peek import unsent_bytes
from .announced import apply_health_answer
from .crash_guard import CrashGuard
from .gateway import Gateway, RetryPolicy
from .pages import metrics_page, readiness_page
from .relay_port import relay_handler, relay_limits
from .settings import GatewaySettings, parse_address, read_settings
from .unanswered_log import unanswered_report

__all__ = ["GatewayDaemon", "run"]

# The load balancer polls readiness once a second and stops sending callers after two failed polls.
UNREADY_BEFORE_CLOSE = milliseconds(2500)
# Time after that within which requests arrive on the connections that were accepted last.
LAST_ARRIVALS_TIME = milliseconds(200)
# Fraction of the time for a graceful shutdown after which the process exits in any case.
SHUTDOWN_TIMEOUT_SHARE = 0.95
# Time for the answers to requests that are still in flight then.
LAST_ANSWERS_TIME = milliseconds(100)
DRAIN_CHECK_INTERVAL = milliseconds(50)

_log = logbook.Logger("laburnumhatch.gateway")


class GatewayDaemon:
    """Components of one instance and the connections between them."""

    def __init__(self, reactor: Any, clock: Clock, settings: GatewaySettings, exit: Any) -> None:
        self._reactor = reactor
        self._clock = clock
        self._settings = settings
        self._exit_process = exit
        self._ports: list[Any] = []
        self._caller_factories: list[CallerFactory] = []
        self._callers_port: Any = None
        self._signalled_at: timedelta | None = None
        self._stream_key = ""
        self._lifecycle = build_lifecycle(
            LifecycleActions(self._become_unready, self._close_port, self._hand_over, self._exit)
        )
        pool, order_pool = ConnectionPool(reactor, clock), ConnectionPool(reactor, clock)
        caller = HttpCaller(pool, clock)
        store_host, store_port = parse_address(settings.store)
        self._store = PlatformStore(caller, clock, store_host, store_port)
        load_tracker = LoadTracker(warmups=_warmups(settings))
        name = f"{settings.name}/{secrets.token_hex(4)}"
        self._links = PeerLinks(
            reactor=reactor,
            clock=clock,
            codec=Codec([LINK_MESSAGES, COORDINATION_MESSAGES]),
            own_name=name,
            shared_key="",
        )
        self._member = Member(
            clock=clock,
            setup=MemberSetup(
                name,
                settings.host,
                settings.stream_port,
                cores=settings.core_speed * settings.core_share,
                link_mbps=math.inf if settings.link_mbps is None else settings.link_mbps,
                is_first_start=settings.first_start,
                adaptive_concurrency=settings.adaptive_concurrency,
            ),
            store=self._store,
            sources=platform_sources(self._store),
            links=self._links,
            # An upstream with a long queue resets new connections, so the lease orders use a
            # connection pool of their own.
            sender=PlatformOrderSender(
                HttpCaller(order_pool, clock),
                lambda incarnation: self._member.announcements.note_leaving(incarnation),
                lambda incarnation, fields: apply_health_answer(self._gateway, incarnation, fields),
            ),
            load_tracker=load_tracker,
            on_change=lambda: self._gateway.refresh(),
            on_owners_change=lambda: self._gateway.dispatch_waiting(),
            lease_timing=LeaseTiming(max_lease_duration=parse_duration(settings.longest_hold)),
        )
        self._relays = RelayDirectory(
            clock,
            self._links,
            ReachReport(settings.host, settings.relay_port, settings.data_centre, ()),
            lambda: self._member.leader_name,
            lambda: self._member.is_leader,
        )
        crash_reports = CrashReports(
            clock,
            self._links,
            lambda: self._member.leader_name,
            lambda: self._member.is_leader,
        )
        self._member.add_leadership_handler(crash_reports.announce)
        held_bytes = held_bytes_limit(_memory_bytes(settings))
        self._gateway = Gateway(
            clock=clock,
            data_centre=settings.data_centre,
            member=self._member,
            load_tracker=load_tracker,
            pool=pool,
            retry_policy=RetryPolicy(
                parse_duration(settings.retry_window), settings.retry_ratio, settings.retry_slack
            ),
            crash_guard=CrashGuard(crash_reports),
            relays=self._relays,
            shared_key=lambda: self._stream_key,
            memory=MemoryBudget(held_bytes),
            waiting_room=settings.waiting_room,
            connection_limit=ConnectionLimit(
                connection_limit(_descriptor_limit(), held_bytes),
                lambda: pool.connection_count + order_pool.connection_count,
            ),
        )
        self._pool = pool
        self._callers = self._caller_factory(
            self._gateway.handle, self._gateway.limits, MAX_REQUESTS_AHEAD
        )

    def _caller_factory(
        self,
        handle: Callable[[CallerRequest], None],
        limits: Callable[[], CallerLimits],
        max_requests: int = 1,
    ) -> CallerFactory:
        gateway = self._gateway
        factory = CallerFactory(
            self._clock,
            handle,
            limits,
            gateway.memory,
            gateway.refuse_for_memory,
            max_requests,
            connection_limit=gateway.connection_limit,
            unanswered_report=unanswered_report(gateway),
        )
        self._caller_factories.append(factory)
        return factory

    def _page_factory(self, handle: Callable[[CallerRequest], None]) -> CallerFactory:
        gateway = self._gateway
        return CallerFactory(
            self._clock,
            handle,
            gateway.limits,
            gateway.memory,
            gateway.refuse_for_memory,
            connection_limit=gateway.connection_limit,
            keeps_bodies=False,
        )

    def start(self) -> None:
        """Open the listening ports and start to read the store."""
        settings = self._settings
        self._callers_port = self._listen(parse_address(settings.callers), self._callers)
        readiness_factory = self._page_factory(readiness_page(self._is_ready))
        self._ports.append(self._listen(parse_address(settings.readiness), readiness_factory))
        metrics_factory = self._page_factory(metrics_page(self._gateway, self._store.call_counts))
        self._ports.append(self._listen((settings.host, settings.metrics_port), metrics_factory))
        relay_factory = self._caller_factory(
            relay_handler(self._gateway.handle_relayed, lambda: self._stream_key),
            lambda: relay_limits(self._gateway.limits()),
        )
        self._ports.append(self._listen((settings.host, settings.relay_port), relay_factory))
        self._gateway.loop_lag.start()
        joining = Deferred.fromCoroutine(self._join())
        joining.addErrback(
            lambda f: _log.error("failed to join the other instances: {}", f.getTraceback())
        )
        self._lifecycle.started()
        _log.info("started; holds {} bytes for others at most", self._gateway.memory.limit)

    def stop(self, signalled_at: timedelta | None = None) -> None:
        """Start the graceful shutdown; repeated calls have no effect.

        Parameters
        ----------
        signalled_at : timedelta, optional
            Instant of the signal, from which the time for the shutdown counts; by default the
            present.
        """
        if self._signalled_at is None:
            self._signalled_at = self._clock.now() if signalled_at is None else signalled_at
            self._gateway.shutdown_report.signalled_at = self._signalled_at
        self._lifecycle.stop_requested()

    def reload(self) -> None:
        """Log that changed settings take effect only after a restart."""
        _log.info("settings are not reloaded; changes take effect at the next start")

    async def _join(self) -> None:
        """Connect to the other instances once the store has returned their shared key."""
        self._stream_key = await shared_stream_key(self._store, self._clock)
        self._links.set_shared_key(self._stream_key)
        self._store.add_generation_handler(self._on_store_generation)
        self._links.listen(self._settings.host, self._settings.stream_port)
        self._member.start()

    def _on_store_generation(self, generation: int) -> None:
        restoring = Deferred.fromCoroutine(self._restore_stream_key())
        restoring.addErrback(
            lambda f: _log.error("failed to restore the stream key: {}", f.getTraceback())
        )

    async def _restore_stream_key(self) -> None:
        key = await restore_stream_key(self._store, self._clock, self._stream_key)
        if key != self._stream_key:
            _log.warning("the store holds another stream key, which new streams use")
            self._stream_key = key
            self._links.set_shared_key(key)

    def _is_ready(self) -> bool:
        return self._lifecycle.state_name() == "serving" and self._member.routes is not None

    def _listen(self, address: tuple[str, int], factory: Any) -> Any:
        return self._reactor.listenTCP(address[1], factory, interface=address[0], backlog=512)

    def _become_unready(self) -> None:
        signalled_at, gateway = self._signalled_at, self._gateway
        assert signalled_at is not None
        self._callers.is_stopping = True
        self._relays.withdraw()
        stop_timeout = parse_duration(self._settings.stop_within)
        closes_at = signalled_at + UNREADY_BEFORE_CLOSE
        gateway.arrivals_end_at = closes_at + LAST_ARRIVALS_TIME
        gateway.requests_end_at = signalled_at + stop_timeout * SHUTDOWN_TIMEOUT_SHARE
        self._call_at(closes_at, self._lifecycle.readiness_delay_elapsed)
        self._call_at(gateway.requests_end_at, self._end_requests)
        gateway.shutdown_report.log_start(gateway.requests_end_at)

    def _call_at(self, instant: timedelta, action: Callable[[], None]) -> None:
        self._clock.call_later(max(instant - self._clock.now(), timedelta()), action)

    def _end_requests(self) -> None:
        """Answer the requests that are left, and exit once the answers are sent."""
        if self._gateway.in_flight:
            _log.warning("{} requests are not answered in time", self._gateway.in_flight)
        self._gateway.end_requests()
        self._clock.call_later(LAST_ANSWERS_TIME, self._lifecycle.shutdown_timed_out)

    def _close_port(self) -> None:
        _log.info(
            "graceful shutdown: closing the port for callers with {} requests in flight",
            self._gateway.in_flight,
        )
        self._callers.close_port(self._callers_port)
        self._gateway.shutdown_report.is_port_closed = True
        self._wait_for_callers()

    def _wait_for_callers(self) -> None:
        self._callers.close_idle()
        if self._gateway.in_flight or self._callers.connections or self._has_unsent_answers():
            self._clock.call_later(DRAIN_CHECK_INTERVAL, self._wait_for_callers)
        else:
            self._lifecycle.drained()

    def _caller_connections(self) -> list[CallerConnection]:
        """Return the open connections of callers and of instances that pass requests on."""
        return [c for factory in self._caller_factories for c in factory.connections]

    def _has_unsent_answers(self) -> bool:
        return any(unsent_bytes(c.transport) for c in self._caller_connections())

    def _exit(self, code: int) -> None:
        self._gateway.shutdown_report.log_exit(code, self._caller_connections())
        for factory in self._caller_factories:
            factory.is_exiting = True
        self._exit_process(code)

    def _hand_over(self) -> None:
        # Nothing waits for the answers to requests that other instances pass on from now on.
        self._gateway.arrivals_end_at = self._clock.now()
        resignation = Deferred.fromCoroutine(self._member.resign())
        resignation.addErrback(
            lambda f: _log.error("failed to resign as the leader: {}", f.getTraceback())
        )
        resignation.addBoth(lambda _: self._links.stop())
        resignation.addBoth(lambda _: self._lifecycle.handed_over())


def _warmups(settings: GatewaySettings) -> Warmups:
    """Return the state of upstreams that warm up, with the bound that the settings give."""
    overage, slack = settings.warmup_overage, settings.warmup_slack
    if overage is None and slack is None:
        return Warmups()
    # The template leaves out a zero.
    allowance = WarmupAllowance(1.0 if overage is None else overage, slack or 0.0)
    return Warmups(allowance, settings.first_start)


def _memory_bytes(settings: GatewaySettings) -> float:
    """Return the memory that the process may use, by the settings and by its own limit."""
    own_limit, _ = resource.getrlimit(resource.RLIMIT_AS)
    memory_bytes = settings.memory_mb * MEBIBYTE
    return memory_bytes if own_limit == resource.RLIM_INFINITY else min(memory_bytes, own_limit)


def _descriptor_limit() -> int:
    """Return how many descriptors the process may have open."""
    own_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if own_limit == resource.RLIM_INFINITY else own_limit


def run(settings_file: str) -> int:
    """Run the gateway until a signal stops it.

    Parameters
    ----------
    settings_file : str

    Returns
    -------
    int
        Exit code: 0 if no request was aborted, 1 otherwise.
    """
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    use_boot_time(reactor)
    settings = read_settings(settings_file)
    reactor.installNameResolver(NumericResolver())
    stream: Any = BoundedStream(1)
    start_logging(settings.name, stream)
    clock = ReactorClock(reactor, boot_seconds)
    exit_codes: list[int] = []

    def exit_process(code: int) -> None:
        _log.info("exiting with code {}", code)
        exit_codes.append(code)
        reactor.callLater(0, reactor.stop)

    daemon = GatewayDaemon(reactor, clock, settings, exit_process)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(daemon.stop, clock.now()))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(daemon.stop, clock.now()))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(daemon.reload))
    reactor.callWhenRunning(daemon.start)
    reactor.run(installSignalHandlers=False)
    return exit_codes[0] if exit_codes else 1
