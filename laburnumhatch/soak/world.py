"""Environment of a soak run: processes, stand-ins and links."""

import json
import os
import random
import signal
import time
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..coordination.leadership import decode_leader
from ..coordination.reader import LEADER_KEY, LEADER_TABLE
from ..fleet import CallerLimits, UpstreamLife
from ..platform.configuration import CONFIGURATION_KEY, CONFIGURATION_TABLE
from ..platform.standin import (
    StandinRoute,
    StandinStore,
    StandinUpstream,
    encode_configuration,
)
from ..standins.processes import Child, ProcessGroup
from ..transport import CallerFactory, ConnectionPool, HttpCaller
from .callers import HOST, KINDS, Callers, Target
from .checks import PromiseChecks, planned_stop
from .proxy import FaultyProxy, LinkFaults
from .record import Disturbances

__all__ = ["KEYED", "UNKEYED", "Instance", "World", "own_network"]

KEYED, UNKEYED = "lofts", "bookings"
KEYED_UPSTREAMS, UNKEYED_UPSTREAMS = 5, 3
INSTANCES = 4
CALLERS = 24
DATA_CENTRES = ("lade", "byasen")
# Ports; each process and stand-in has its own address in 127.0.0.0/8.
FRONT, PROXIED_FRONT, READINESS, STREAMS, METRICS = 8641, 7641, 8640, 7620, 9464
STORE_PORT, PROXIED_STORE, UPSTREAM_PORT, PROXIED_UPSTREAM = 8642, 7642, 8000, 7000
# Last octet of the first address of the instances and of the upstreams.
FIRST_INSTANCE, FIRST_UPSTREAM = 10, 50
# Bounds that the users set: the duration of a graceful stop, and of the drain of an upstream.
GRACE = milliseconds(6000)
DRAIN = milliseconds(2000)
WATCH_INTERVAL = milliseconds(100)


@dataclass(slots=True)
class Instance:
    """Instance and its current process.

    Attributes
    ----------
    name, host : str
    child : Child
    store_link, front_link : FaultyProxy
    launched_at : timedelta
    starts : int
        Number of times that the process was started.
    should_run : bool
        Whether the process is expected to run, because it was not told to end.
    """

    name: str
    host: str
    child: Child
    store_link: FaultyProxy
    front_link: FaultyProxy
    launched_at: timedelta
    starts: int = 1
    should_run: bool = True

    @property
    def boot(self) -> str:
        """Identifier of the current start of the process."""
        return f"{self.name}/{self.starts}"


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
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        processes: ProcessGroup,
        random_source: random.Random,
        network: str,
    ) -> None:
        self._reactor = reactor
        self._processes = processes
        self._network = network
        self._ports: list[Any] = []
        self._started = 0
        self.clock = clock
        self.random_source = random_source
        self.disturbances = Disturbances()
        self.store = StandinStore(clock, random_source)
        self.upstreams: dict[str, StandinUpstream] = {}
        self.links: dict[str, FaultyProxy] = {}
        self.instances: dict[str, Instance] = {}
        self.checks = PromiseChecks(clock.now, self.disturbances, lambda: self.upstreams.values())
        self.version = 0
        self._pool = ConnectionPool(reactor, clock)
        self.callers = Callers(
            clock,
            HttpCaller(self._pool, clock),
            self.checks,
            random_source,
            self._targets,
            lambda: self.version,
        )

    async def pause(self, delay: timedelta) -> None:
        """Wait for a duration."""
        due: Deferred[None] = Deferred()
        self.clock.call_later(delay, due.callback, None)
        await due

    # Start and end.

    def start(self) -> None:
        """Start everything except the callers."""
        factory = CallerFactory(self.clock, self.store.handle, CallerLimits)
        listening = self._reactor.listenTCP(STORE_PORT, factory, interface=self._at(1))
        self._ports.append(listening)
        self.configure()
        for number in range(KEYED_UPSTREAMS + UNKEYED_UPSTREAMS):
            self.add_upstream(KEYED if number < KEYED_UPSTREAMS else UNKEYED)
        for number in range(INSTANCES):
            self._add_instance(number)
        self._watch()

    def start_callers(self) -> None:
        """Start the callers."""
        self.callers.start(CALLERS)

    def stop(self) -> None:
        """Stop the callers, stand-ins and links, which run in this process."""
        self.callers.stop()
        self._pool.close()
        for upstream in self.upstreams.values():
            upstream.crash()
        links = [*self.links.values()]
        for instance in self.instances.values():
            links += [instance.store_link, instance.front_link]
        for link in links:
            link.stop()
        for port in self._ports:
            port.stopListening()

    def configure(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        routes = [
            StandinRoute(
                kind.name,
                HOST.decode(),
                f"/{kind.name}/",
                KEYED if kind.is_keyed else UNKEYED,
                kind.is_repeatable,
            )
            for kind in KINDS
        ]
        probe = f"probe-{self.version}"
        routes.append(StandinRoute(probe, HOST.decode(), f"/{probe}/", UNKEYED))
        document = encode_configuration(self.version, routes, [KEYED], [UNKEYED])
        self.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, document)
        self.checks.configured()

    # Upstreams.

    def add_upstream(
        self, service: str, name: str | None = None, slot: int | None = None
    ) -> StandinUpstream:
        """Start an upstream, with a former name or a former address if one is given."""
        self._started += 1
        slot = self._started if slot is None else slot
        name = name or f"u{self._started}"
        front = (self._at(FIRST_UPSTREAM + slot), PROXIED_UPSTREAM)
        behind = (self._at(FIRST_UPSTREAM + slot), UPSTREAM_PORT)
        link = self._upstream_link(slot, front, behind)
        upstream = StandinUpstream(
            clock=self.clock,
            reactor=self._reactor,
            store=self.store,
            observer=self.checks,
            random_source=self.random_source,
            life=UpstreamLife(name, round(time.time() * 1000)),
            service=service,
            data_centre=DATA_CENTRES[slot % 2],
            address=front,
            listen_address=behind,
            is_keyed=service == KEYED,
            clock_factor=self.random_source.uniform(1.0, 1.02),
        )
        self.checks.returned(name)
        self.upstreams[name] = upstream
        self.links[name] = link
        upstream.start()
        return upstream

    def slot_of(self, upstream: StandinUpstream) -> int:
        """Return the index of an upstream's address."""
        return int(upstream.address[0].rpartition(".")[2]) - FIRST_UPSTREAM

    def running(self, service: str) -> list[StandinUpstream]:
        """Return the upstreams of a service that run and don't drain."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service and upstream.is_up and not upstream.is_draining
        ]

    def cut_link(self, name: str, faults: LinkFaults, *, reset: bool) -> None:
        """Inject faults into the link to an upstream."""
        self.links[name].apply(faults, reset=reset)

    # Instances.

    def leader(self) -> Instance | None:
        """Return the instance that is the leader according to the store."""
        row = self.store.get(LEADER_TABLE, LEADER_KEY)
        record = decode_leader(row.value) if row is not None else None
        return self.instances.get(record.member.partition("/")[0]) if record else None

    def running_instances(self) -> list[Instance]:
        """Return the instances whose process is expected to run."""
        return [instance for instance in self.instances.values() if instance.should_run]

    async def lose(self, instance: Instance, away: timedelta) -> None:
        """Kill the process of an instance and start it again after a duration."""
        if not instance.should_run:
            return
        self.disturbances.begin(instance.name)
        instance.should_run = False
        instance.child.kill()
        await self.pause(away)
        self.disturbances.end(instance.name, self.clock.now())
        self._restart(instance)

    async def terminate(self, instance: Instance) -> None:
        """Stop the process of an instance gracefully and start it again.

        A process that exceeds the bound is killed, which counts as a fault of the instance.
        """
        if not instance.should_run:
            return
        self.disturbances.begin(planned_stop(instance.name))
        instance.should_run = False
        instance.child.signal(signal.SIGTERM)
        began = self.clock.now()
        while instance.child.exit_code is None and self.clock.now() - began < GRACE:
            await self.pause(WATCH_INTERVAL)
        if instance.child.exit_code is None:
            self.disturbances.touch(instance.name, self.clock.now())
            instance.child.kill()
        self.disturbances.end(planned_stop(instance.name), self.clock.now())
        self._restart(instance)

    async def freeze(self, instance: Instance, duration: timedelta) -> None:
        """Freeze the process of an instance for a duration."""
        if not instance.should_run:
            return
        boot = instance.boot
        self.disturbances.begin(instance.name)
        instance.child.freeze()
        await self.pause(duration)
        if instance.boot == boot:
            instance.child.thaw()
            self.checks.thawed()
        self.disturbances.end(instance.name, self.clock.now())

    def _restart(self, instance: Instance) -> None:
        instance.starts += 1
        instance.child = self._launch(instance.name)
        instance.launched_at = self.clock.now()
        instance.should_run = True

    def _add_instance(self, number: int) -> None:
        name, host = f"i{number}", self._at(FIRST_INSTANCE + number)
        store_link = self._link((host, PROXIED_STORE), (self._at(1), STORE_PORT))
        front_link = self._link((host, PROXIED_FRONT), (host, FRONT))
        settings = {
            "name": name,
            "data_centre": DATA_CENTRES[number % 2],
            "host": host,
            "callers": f"{host}:{FRONT}",
            "readiness": f"{host}:{READINESS}",
            "stream_port": STREAMS,
            "core_speed": 1.0,
            "core_share": 1.0,
            "metrics_port": METRICS,
            "store": f"{host}:{PROXIED_STORE}",
            "longest_hold": "10000ms",
            "retry_window": "10s",
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "stop_within": f"{GRACE.total_seconds():g}s",
        }
        self._settings_path(name).write_text(json.dumps(settings), encoding="utf-8")
        child = self._launch(name)
        self.instances[name] = Instance(name, host, child, store_link, front_link, self.clock.now())

    def _launch(self, name: str) -> Child:
        return self._processes.launch(
            name, str(self._settings_path(name)), module="laburnumhatch.gateway"
        )

    def _settings_path(self, name: str) -> Path:
        return self._processes.directory / f"{name}.json"

    def _watch(self) -> None:
        """Check periodically for processes that exited unexpectedly."""
        for instance in self.running_instances():
            code = instance.child.exit_code
            if code is not None:
                self.checks.process_ended(instance.boot, code)
                instance.should_run = False
        self.clock.call_later(WATCH_INTERVAL, self._watch)

    def _targets(self) -> list[Target]:
        return [
            Target(instance.name, instance.boot, (instance.host, PROXIED_FRONT))
            for instance in self.running_instances()
        ]

    def _at(self, number: int) -> str:
        return f"{self._network}.{number}"

    def _link(self, listen_address: tuple[str, int], leads_to: tuple[str, int]) -> FaultyProxy:
        link = FaultyProxy(self._reactor, self.clock, listen_address, leads_to)
        link.start()
        return link

    def _upstream_link(
        self, slot: int, front: tuple[str, int], behind: tuple[str, int]
    ) -> FaultyProxy:
        for name, upstream in self.upstreams.items():
            if self.slot_of(upstream) == slot:
                return self.links[name]
        return self._link(front, behind)


def own_network(run: int) -> str:
    """Return the first three octets of the loopback addresses of a run in this process."""
    process = os.getpid()
    return f"127.{1 + process % 250}.{1 + (process // 250 + run) % 250}"
