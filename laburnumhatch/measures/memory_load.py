"""Memory of a gateway, and what small requests get, beside callers with long bodies.

``python -m laburnumhatch.measures.memory_load --memory-mb 300 --seconds 600`` plays, one after the
other, the small requests alone and beside 200 callers that send up to 64 MiB each, stop in the
middle, read slowly, or ask an upstream whose answers don't end.
"""

import json
import secrets
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

import click
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from ..clocks import Clock, ReactorClock, boot_seconds, milliseconds
from ..fleet import CallerLimits, Upstream, UpstreamIncarnation
from ..platform.configuration import CONFIGURATION_KEY, CONFIGURATION_TABLE
from ..platform.headers import ATTEMPT_ID, DEADLINE
from ..platform.standin import (
    StandinRoute,
    StandinStore,
    StandinUpstream,
    encode_configuration,
    encode_registration,
)
from ..platform.upstreams import UPSTREAM_TABLE
from ..standins.processes import ChildProcess, ProcessGroup, wait_until
from ..transport import CallerFactory, ConnectionPool, HttpCaller, Response
from .memory_peers import HOST_NAME, MAX_BODY_BYTES
from .process_usage import resident_megabytes

__all__ = ["MemoryFigures", "measure_memory"]

SMALL_CALLER_COUNT, LARGE_CALLER_COUNT = 40, 200
SMALL_SERVICE, LONG_SERVICE = "small", "long"
SMALL_BODY = b"x" * 200
HEARTBEAT = milliseconds(800)
SAMPLE_INTERVAL = milliseconds(10)
READY_TIMEOUT = timedelta(seconds=30)
# Time after the load within which everything must be given back.
SETTLE_TIME = timedelta(seconds=20)
DEADLINE_MS = 2000
# Addresses in 127.0.0.0/8.
STORE, GATEWAY, PEERS, FIRST_UPSTREAM = "127.61.0.1", "127.61.0.2", "127.61.0.3", 10
PORTS = {"callers": 8641, "readiness": 8640, "stream": 7620, "relay": 7635, "metrics": 9464}
STORE_PORT, UPSTREAM_PORT = 8642, 8000
OK = 200


@dataclass(slots=True)
class MemoryFigures:
    """What one run shows.

    Attributes
    ----------
    peak_mb : float
        Largest resident memory of the gateway.
    times_s : list of float
        Time to the answer of each small request that was served.
    unserved : Counter of str
        Number of small requests that were not served, by status or reason.
    held_bytes : dict of str to float
        What the gateway still holds after the load, by kind.
    exit_code : int or None
        Exit code of the gateway if it ended by itself.
    """

    peak_mb: float = 0.0
    times_s: list[float] = field(default_factory=list)
    unserved: Counter[str] = field(default_factory=Counter)
    held_bytes: dict[str, float] = field(default_factory=dict)
    exit_code: int | None = None

    def __str__(self) -> str:
        times = sorted(self.times_s) or [0.0]
        served = len(self.times_s) / max(1, len(self.times_s) + self.unserved.total())
        return (
            f"peak {self.peak_mb:.0f} MB; {len(self.times_s)} small requests served "
            f"({served:.2%}; others {dict(self.unserved)}), p50 {times[len(times) // 2]:.3f} s, "
            f"p99 {times[int(len(times) * 0.99)]:.3f} s; held afterwards: {self.held_bytes}; "
            f"exit code {self.exit_code}"
        )


class _Observer:
    """Observer of upstreams that records nothing."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


async def measure_memory(
    reactor: Any, memory_mb: float, duration: timedelta, seed: int, large_callers: int
) -> MemoryFigures:
    """Run a gateway beside small requests and callers with long bodies.

    Parameters
    ----------
    reactor
        Twisted reactor.
    memory_mb : float
        Memory of the machine in the gateway's settings.
    duration : timedelta
    seed : int
    large_callers : int
        Number of the callers with long bodies.
    """
    clock = ReactorClock(reactor, boot_seconds)
    with tempfile.TemporaryDirectory() as directory, ProcessGroup(clock, Path(directory)) as group:
        return await _Run(reactor, clock, group, Random(seed)).play(
            memory_mb, duration, seed, large_callers
        )


class _Run:
    def __init__(self, reactor: Any, clock: Clock, group: ProcessGroup, random: Random) -> None:
        self._reactor = reactor
        self._clock = clock
        self._group = group
        self._random = random
        self._store = StandinStore(clock, random)
        self._caller = HttpCaller(ConnectionPool(reactor, clock), clock)
        self._figures = MemoryFigures()
        self._is_over = False
        self._listening: list[Any] = []
        self._upstreams: list[StandinUpstream] = []

    async def play(
        self, memory_mb: float, duration: timedelta, seed: int, large_callers: int
    ) -> MemoryFigures:
        self._start_store()
        gateway = self._start_gateway(memory_mb)
        await wait_until(self._clock, self._is_ready, READY_TIMEOUT, "the gateway")
        address = (GATEWAY, str(PORTS["callers"]), PEERS, str(UPSTREAM_PORT))
        peers = self._group.launch(
            "peers",
            *address,
            str(seed),
            str(large_callers),
            module="laburnumhatch.measures.memory_peers",
        )
        await self._sleep(timedelta(seconds=2))
        for _ in range(SMALL_CALLER_COUNT):
            Deferred.fromCoroutine(self._send_small_requests())
        self._sample(gateway)
        await self._sleep(duration)
        self._is_over = True
        peers.kill()
        await self._sleep(SETTLE_TIME)
        self._figures.exit_code = gateway.exit_code
        if gateway.exit_code is None:
            self._figures.held_bytes = await self._read_held_bytes()
        for upstream in self._upstreams:
            upstream.crash()
        for port in self._listening:
            await port.stopListening()
        return self._figures

    async def _sleep(self, duration: timedelta) -> None:
        due: Deferred[None] = Deferred()
        self._clock.call_later(duration, due.callback, None)
        await due

    def _start_store(self) -> None:
        factory = CallerFactory(self._clock, self._store.handle, CallerLimits)
        self._listening.append(self._reactor.listenTCP(STORE_PORT, factory, interface=STORE))
        host = HOST_NAME.decode()
        routes = [
            StandinRoute("small", host, "/small/", SMALL_SERVICE),
            StandinRoute("uploads", host, "/uploads/", LONG_SERVICE, False, "9s"),
            StandinRoute("downloads", host, "/downloads/", LONG_SERVICE, True, "9s"),
        ]
        document = encode_configuration(
            1, routes, (), (SMALL_SERVICE, LONG_SERVICE), MAX_BODY_BYTES
        )
        self._store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, document)
        for number in range(4):
            address = (f"{STORE.rpartition('.')[0]}.{FIRST_UPSTREAM + number}", UPSTREAM_PORT)
            upstream = StandinUpstream(
                clock=self._clock,
                reactor=self._reactor,
                store=self._store,
                observer=_Observer(),
                random_source=self._random,
                incarnation=UpstreamIncarnation(f"u{number}", 1),
                service=SMALL_SERVICE,
                data_centre="d",
                address=address,
                listen_address=address,
                slots=LARGE_CALLER_COUNT,
            )
            upstream.start()
            self._upstreams.append(upstream)
        self._register_peers(1)

    def _register_peers(self, sequence: int) -> None:
        incarnation = UpstreamIncarnation("peers", 1)
        upstream = Upstream(
            incarnation,
            LONG_SERVICE,
            PEERS,
            UPSTREAM_PORT,
            "d",
            2 * LARGE_CALLER_COUNT,
            False,
            timedelta(),
        )
        self._store.put(UPSTREAM_TABLE, "peers", encode_registration(upstream, sequence))
        if not self._is_over:
            self._clock.call_later(HEARTBEAT, self._register_peers, sequence + 1)

    def _start_gateway(self, memory_mb: float) -> ChildProcess:
        settings = {
            "name": "g",
            "data_centre": "d",
            "host": GATEWAY,
            "callers": f"{GATEWAY}:{PORTS['callers']}",
            "readiness": f"{GATEWAY}:{PORTS['readiness']}",
            "stream_port": PORTS["stream"],
            "relay_port": PORTS["relay"],
            "core_speed": 1.0,
            "core_share": 1.0,
            "metrics_port": PORTS["metrics"],
            "store": f"{STORE}:{STORE_PORT}",
            "longest_hold": "10000ms",
            "retry_window": "10s",
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "stop_within": "6s",
            "first_start": True,
            "memory_mb": memory_mb,
        }
        path = self._group.directory / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return self._group.launch("gateway", str(path), module="laburnumhatch.gateway")

    async def _is_ready(self) -> bool:
        response = await self._get(PORTS["readiness"], b"/ready")
        return isinstance(response, Response) and response.status == OK

    async def _get(self, port: int, path: bytes) -> Any:
        return await self._caller.call(GATEWAY, port, b"GET", path, b"", milliseconds(1000))

    async def _send_small_requests(self) -> None:
        while not self._is_over:
            fields = [
                (b"host", HOST_NAME),
                (ATTEMPT_ID, secrets.token_hex(8).encode()),
                (DEADLINE, b"%d" % DEADLINE_MS),
            ]
            sent_at = self._clock.now()
            response = await self._caller.call(
                GATEWAY,
                PORTS["callers"],
                b"POST",
                b"/small/x",
                SMALL_BODY,
                milliseconds(DEADLINE_MS + 500),
                fields,
            )
            result = str(response.status) if isinstance(response, Response) else response.reason
            if result == str(OK):
                elapsed = self._clock.now() - sent_at
                self._figures.times_s.append(elapsed.total_seconds())
            elif not self._is_over:
                self._figures.unserved[result] += 1
            await self._sleep(timedelta(seconds=self._random.uniform(0.1, 0.4)))

    def _sample(self, gateway: ChildProcess) -> None:
        if gateway.exit_code is None and not self._is_over:
            memory_mb = resident_megabytes(gateway)
            self._figures.peak_mb = max(self._figures.peak_mb, memory_mb)
            self._clock.call_later(SAMPLE_INTERVAL, self._sample, gateway)

    async def _read_held_bytes(self) -> dict[str, float]:
        response = await self._get(PORTS["metrics"], b"/metrics")
        assert isinstance(response, Response)
        held = {}
        for line in response.body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            if name.startswith("laburnumhatch_held_bytes{"):
                held[name.split('"')[1]] = float(value)
        return held


@click.command()
@click.option("--memory-mb", type=float, default=300.0, show_default=True)
@click.option("--seconds", type=float, default=60.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def main(memory_mb: float, seconds: float, seed: int) -> None:
    """Measure the memory of a gateway beside callers with long bodies."""

    async def measure(reactor: Any) -> None:
        for large_callers in (0, LARGE_CALLER_COUNT):
            figures = await measure_memory(
                reactor, memory_mb, timedelta(seconds=seconds), seed, large_callers
            )
            click.echo(f"{memory_mb:.0f} MB, {large_callers} callers with long bodies: {figures}")

    react(lambda reactor: Deferred.fromCoroutine(measure(reactor)))


if __name__ == "__main__":
    main()
