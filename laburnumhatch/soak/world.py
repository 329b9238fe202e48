"""Environment of a soak run: processes, stand-ins and links."""

import json
import random
import signal
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..coordination.leadership import decode_leader
from ..coordination.reader import LEADER_KEY, LEADER_TABLE
from ..fleet import CallerLimits, UpstreamIncarnation
from ..platform.configuration import CONFIGURATION_KEY, CONFIGURATION_TABLE
from ..platform.standin import (
    StandinRoute,
    StandinStore,
    StandinUpstream,
    StoreCopy,
    encode_configuration,
)
from ..standins.processes import ChildProcess, ProcessGroup
from ..transport import CallerFactory, ConnectionPool, HttpCaller
from .callers import HOST, KINDS, Callers, Endpoint
from .checks import GuaranteeChecks, planned_stop_component
from .production import ProductionBuild
from .proxy import FaultyProxy, LinkFaults
from .record import FaultHistory

__all__ = ["KEYED_SERVICE", "UNKEYED_SERVICE", "Instance", "World"]

KEYED_SERVICE, UNKEYED_SERVICE = "lofts", "bookings"
KEYED_UPSTREAM_COUNT, UNKEYED_UPSTREAM_COUNT = 5, 3
INSTANCE_COUNT = 4
CALLER_COUNT = 24
DATA_CENTRES = ("lade", "byasen")
# Ports; each process and stand-in has its own address in 127.0.0.0/8.
CALLER_PORT, PROXIED_CALLER_PORT, READINESS_PORT, STREAM_PORT, RELAY_PORT, METRICS_PORT = (
    8641,
    7641,
    8640,
    7620,
    7635,
    9464,
)
STORE_PORT, PROXIED_STORE_PORT, UPSTREAM_PORT, PROXIED_UPSTREAM_PORT = 8642, 7642, 8000, 7000
# Last octet of the first address of the instances and of the upstreams.
FIRST_INSTANCE_OCTET, FIRST_UPSTREAM_OCTET = 10, 50
# Bounds that the users set: the duration of a graceful stop, and of the drain of an upstream.
STOP_TIMEOUT = milliseconds(6000)
DRAIN_TIMEOUT = milliseconds(2000)
# Time after which another upstream takes the place of one that a request has crashed.
CRASH_DOWNTIME = milliseconds(2500)
WATCH_INTERVAL = milliseconds(100)
# Time between two copies of the store, and the number that is kept.
COPY_INTERVAL = milliseconds(500)
KEPT_COPIES = 10


@dataclass(slots=True)
class Instance:
    """Instance and its current process.

    Attributes
    ----------
    name, host : str
    child : ChildProcess
    settings : dict of str to object
        Content of the settings file.
    store_link, caller_link : FaultyProxy
    launched_at : timedelta
    start_count : int
        Number of times that the process was started.
    should_run : bool
        Whether the process is expected to run, because it was not told to end.
    """

    name: str
    host: str
    child: ChildProcess
    settings: dict[str, Any]
    store_link: FaultyProxy
    caller_link: FaultyProxy
    launched_at: timedelta
    start_count: int = 1
    should_run: bool = True

    @property
    def incarnation(self) -> str:
        """Identifier of the current start of the process."""
        return f"{self.name}/{self.start_count}"


class World:
    """Environment of a soak run, in which faults are injected.

    Parameters
    ----------
    reactor
        A Twisted reactor.
    clock : Clock
    processes : ProcessGroup
    random_source : random.Random
    network : str
        First three octets of the addresses, in 127.0.0.0/8.
    production : ProductionBuild, optional
        Former build that some instances run.

    Attributes
    ----------
    version : int
        Newest version of the configuration.
    links : dict of str to FaultyProxy
        Link to each upstream by the upstream's name.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        processes: ProcessGroup,
        random_source: random.Random,
        network: str,
        production: ProductionBuild | None = None,
    ) -> None:
        self._reactor = reactor
        self._production = production
        self._processes = processes
        self._network = network
        self._listening_ports: list[Any] = []
        self._upstream_count = 0
        self._is_stopped = False
        self.clock = clock
        self.random_source = random_source
        self.fault_history = FaultHistory()
        self.store = StandinStore(clock, random_source)
        self.upstreams: dict[str, StandinUpstream] = {}
        self.links: dict[str, FaultyProxy] = {}
        self.instances: dict[str, Instance] = {}
        self.checks = GuaranteeChecks(
            clock.now, self.fault_history, lambda: self.upstreams.values(), self._replace_crashed
        )
        self.crashing_paths: set[str] = set()
        self.version = 0
        # Copies of the store of the last seconds, the oldest one first.
        self.store_copies: deque[StoreCopy] = deque(maxlen=KEPT_COPIES)
        self._pool = ConnectionPool(reactor, clock)
        self.callers = Callers(
            clock,
            HttpCaller(self._pool, clock),
            self.checks,
            random_source,
            self._endpoints,
            lambda: self.version,
        )

    async def sleep(self, delay: timedelta) -> None:
        """Wait for a duration."""
        due: Deferred[None] = Deferred()
        self.clock.call_later(delay, due.callback, None)
        await due

    # Start and end.

    def start(self) -> None:
        """Start everything except the callers."""
        factory = CallerFactory(self.clock, self.store.handle, CallerLimits)
        listening = self._reactor.listenTCP(STORE_PORT, factory, interface=self._address(1))
        self._listening_ports.append(listening)
        self.publish_configuration()
        for number in range(KEYED_UPSTREAM_COUNT + UNKEYED_UPSTREAM_COUNT):
            self.add_upstream(KEYED_SERVICE if number < KEYED_UPSTREAM_COUNT else UNKEYED_SERVICE)
        for number in range(INSTANCE_COUNT):
            self._add_instance(number)
        self._watch_processes()
        self._copy_store()

    def start_callers(self) -> None:
        """Start the callers."""
        self.callers.start(CALLER_COUNT)

    def stop(self) -> None:
        """Stop the callers, stand-ins and links, which run in this process."""
        self._is_stopped = True
        self.callers.stop()
        self._pool.close()
        for upstream in self.upstreams.values():
            upstream.crash()
        links = [*self.links.values()]
        for instance in self.instances.values():
            links += [instance.store_link, instance.caller_link]
        for link in links:
            link.stop()
        for port in self._listening_ports:
            port.stopListening()

    def publish_configuration(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        routes = [
            StandinRoute(
                kind.name,
                HOST.decode(),
                f"/{kind.name}/",
                KEYED_SERVICE if kind.is_keyed else UNKEYED_SERVICE,
                kind.is_repeatable,
            )
            for kind in KINDS
        ]
        probe = f"probe-{self.version}"
        routes.append(StandinRoute(probe, HOST.decode(), f"/{probe}/", UNKEYED_SERVICE))
        document = encode_configuration(self.version, routes, [KEYED_SERVICE], [UNKEYED_SERVICE])
        self.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, document)
        self.checks.on_configuration_published()

    # Upstreams.

    def add_upstream(
        self, service: str, name: str | None = None, address_index: int | None = None
    ) -> StandinUpstream:
        """Start an upstream, with a former name or a former address if one is given."""
        self._upstream_count += 1
        address_index = self._upstream_count if address_index is None else address_index
        name = name or f"u{self._upstream_count}"
        address = (self._address(FIRST_UPSTREAM_OCTET + address_index), PROXIED_UPSTREAM_PORT)
        listen_address = (self._address(FIRST_UPSTREAM_OCTET + address_index), UPSTREAM_PORT)
        link = self._upstream_link(address_index, address, listen_address)
        upstream = StandinUpstream(
            clock=self.clock,
            reactor=self._reactor,
            store=self.store,
            observer=self.checks,
            random_source=self.random_source,
            incarnation=UpstreamIncarnation(name, round(time.time() * 1000)),
            service=service,
            data_centre=DATA_CENTRES[address_index % 2],
            address=address,
            listen_address=listen_address,
            is_keyed=service == KEYED_SERVICE,
            clock_factor=self.random_source.uniform(1.0, 1.02),
            crashing_paths=self.crashing_paths,
        )
        self.checks.on_upstream_started(name)
        self.upstreams[name] = upstream
        self.links[name] = link
        upstream.start()
        return upstream

    def _replace_crashed(self, upstream: StandinUpstream) -> None:
        """Start another upstream some time after one has crashed under a request."""
        self.clock.call_later(CRASH_DOWNTIME, self._add_replacement, upstream.service)

    def _add_replacement(self, service: str) -> None:
        if not self._is_stopped:
            self.add_upstream(service)

    def address_index_of(self, upstream: StandinUpstream) -> int:
        """Return the index of an upstream's address."""
        return int(upstream.address[0].rpartition(".")[2]) - FIRST_UPSTREAM_OCTET

    def running_upstreams(self, service: str) -> list[StandinUpstream]:
        """Return the upstreams of a service that run and don't drain."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service and upstream.is_up and not upstream.is_draining
        ]

    def inject_link_faults(self, name: str, faults: LinkFaults, *, reset: bool) -> None:
        """Inject faults into the link to an upstream."""
        self.links[name].apply_faults(faults, reset=reset)

    # Instances.

    def leader(self) -> Instance | None:
        """Return the instance that is the leader according to the store."""
        row = self.store.get(LEADER_TABLE, LEADER_KEY)
        record = decode_leader(row.value) if row is not None else None
        return self.instances.get(record.member.partition("/")[0]) if record else None

    def running_instances(self) -> list[Instance]:
        """Return the instances whose process is expected to run."""
        return [instance for instance in self.instances.values() if instance.should_run]

    async def kill_and_restart(self, instance: Instance, downtime: timedelta) -> None:
        """Kill the process of an instance and start it again after a duration."""
        if not instance.should_run:
            return
        self.fault_history.begin(instance.name)
        instance.should_run = False
        instance.child.kill()
        await self.sleep(downtime)
        self.fault_history.end(instance.name, self.clock.now())
        self._restart(instance)

    async def stop_and_restart(self, instance: Instance) -> None:
        """Stop the process of an instance gracefully and start it again.

        A process that exceeds the bound is killed, which counts as a fault of the instance.
        """
        if not instance.should_run:
            return
        self.fault_history.begin(planned_stop_component(instance.name))
        instance.should_run = False
        instance.child.signal(signal.SIGTERM)
        began_at = self.clock.now()
        while instance.child.exit_code is None and self.clock.now() - began_at < STOP_TIMEOUT:
            await self.sleep(WATCH_INTERVAL)
        if instance.child.exit_code is None:
            self.fault_history.record_momentary(instance.name, self.clock.now())
            instance.child.kill()
        self.fault_history.end(planned_stop_component(instance.name), self.clock.now())
        self._restart(instance)

    async def freeze(self, instance: Instance, duration: timedelta) -> None:
        """Freeze the process of an instance for a duration."""
        if not instance.should_run:
            return
        incarnation = instance.incarnation
        self.fault_history.begin(instance.name)
        instance.child.freeze()
        await self.sleep(duration)
        if instance.incarnation == incarnation:
            instance.child.thaw()
            self.checks.on_process_resumed()
        self.fault_history.end(instance.name, self.clock.now())

    def _restart(self, instance: Instance) -> None:
        instance.start_count += 1
        instance.settings["first_start"] = False
        number = list(self.instances).index(instance.name)
        directory = self._build_directory(number, instance.start_count)
        instance.child = self._launch(instance.name, instance.settings, directory)
        instance.launched_at = self.clock.now()
        instance.should_run = True

    def _add_instance(self, number: int) -> None:
        name, host = f"i{number}", self._address(FIRST_INSTANCE_OCTET + number)
        store_link = self._link((host, PROXIED_STORE_PORT), (self._address(1), STORE_PORT))
        caller_link = self._link((host, PROXIED_CALLER_PORT), (host, CALLER_PORT))
        settings = {
            "name": name,
            "data_centre": DATA_CENTRES[number % 2],
            "host": host,
            "callers": f"{host}:{CALLER_PORT}",
            "readiness": f"{host}:{READINESS_PORT}",
            "stream_port": STREAM_PORT,
            "relay_port": RELAY_PORT,
            "core_speed": 1.0,
            "core_share": 1.0,
            "metrics_port": METRICS_PORT,
            "store": f"{host}:{PROXIED_STORE_PORT}",
            "longest_hold": "10000ms",
            "retry_window": "10s",
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "stop_within": f"{STOP_TIMEOUT.total_seconds():g}s",
            "first_start": True,
        }
        child = self._launch(name, settings, self._build_directory(number, 0))
        self.instances[name] = Instance(
            name, host, child, settings, store_link, caller_link, self.clock.now()
        )

    def _build_directory(self, number: int, start_count: int) -> Path | None:
        if self._production is None:
            return None
        return self._production.directory_for(number, start_count)

    def _launch(
        self, name: str, settings: Mapping[str, Any], directory: Path | None
    ) -> ChildProcess:
        path = self._processes.directory / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return self._processes.launch(
            name, str(path), module="laburnumhatch.gateway", directory=directory
        )

    def _copy_store(self) -> None:
        self.store_copies.append(self.store.copy())
        self.clock.call_later(COPY_INTERVAL, self._copy_store)

    def _watch_processes(self) -> None:
        """Check periodically for processes that exited unexpectedly."""
        for instance in self.running_instances():
            code = instance.child.exit_code
            if code is not None:
                self.checks.on_process_exited(instance.incarnation, code)
                instance.should_run = False
        self.clock.call_later(WATCH_INTERVAL, self._watch_processes)

    def _endpoints(self) -> list[Endpoint]:
        return [
            Endpoint(instance.name, instance.incarnation, (instance.host, PROXIED_CALLER_PORT))
            for instance in self.running_instances()
        ]

    def _address(self, number: int) -> str:
        return f"{self._network}.{number}"

    def _link(
        self, listen_address: tuple[str, int], forward_address: tuple[str, int]
    ) -> FaultyProxy:
        link = FaultyProxy(self._reactor, self.clock, listen_address, forward_address)
        link.start()
        return link

    def _upstream_link(
        self, address_index: int, address: tuple[str, int], listen_address: tuple[str, int]
    ) -> FaultyProxy:
        for name, upstream in self.upstreams.items():
            if self.address_index_of(upstream) == address_index:
                return self.links[name]
        return self._link(address, listen_address)
