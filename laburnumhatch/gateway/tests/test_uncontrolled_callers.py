"""A gateway process outlives callers that keep to no limit, in its memory and its descriptors.

The crowds and the bounds are fixed: the bounds follow from the gateway's settings, and each crowd
would need more than they allow if all that it sends were held.
"""

import json
import os
import resource
import secrets
from datetime import timedelta
from pathlib import Path
from random import Random

import pytest
import pytest_twisted
from twisted.internet import reactor

from ...clocks import ReactorClock, boot_seconds
from ...fleet import CallerLimits, UpstreamIncarnation
from ...measures.caller_crowd import BEHAVIOURS, Crowd
from ...platform.configuration import CONFIGURATION_KEY, CONFIGURATION_TABLE
from ...platform.headers import ATTEMPT_ID, DEADLINE
from ...platform.standin import StandinRoute, StandinStore, StandinUpstream, encode_configuration
from ...standins.processes import ProcessGroup, wait_until
from ...transport import CallerFactory, ConnectionPool, HttpCaller, Response

MEMORY_MB = 160
DESCRIPTOR_LIMIT = 512
# Descriptors that stay free for upstreams, the store and other instances.
FREE_DESCRIPTORS = 32
MAX_BODY_BYTES = 8 * 1_048_576
MAX_HEADER_BYTES = 16_384
# Longer than a case takes, so that no crowd is gone before an ordinary request is sent.
CALLER_TIMEOUT = "60s"
ANSWER_TIMEOUT = timedelta(seconds=5)
SERVE_TIMEOUT = timedelta(seconds=20)
START_TIMEOUT = timedelta(seconds=30)
HOST_NAME = "shop.example"
STORE, GATEWAY, UPSTREAM = "127.62.0.1", "127.62.0.2", "127.62.0.3"
STORE_PORT, UPSTREAM_PORT, SILENT_PORT = 8642, 8000, 8001
CALLERS, READINESS, METRICS, RELAY, STREAM = 8641, 8640, 9464, 7635, 7620

DOORS = {
    "route": (CALLERS, "/small/x"),
    "no route": (CALLERS, "/none/x"),
    "readiness": (READINESS, "/ready"),
    "metrics": (METRICS, "/metrics"),
    "relay": (RELAY, "/small/x"),
}
COUNTS = {
    "silent": 600,
    "stops in header": 600,
    "stops in body": 24,
    "stops in body of pieces": 24,
    "stops before last chunk": 24,
    "exceeds body limit": 8,
    "many fields": 200,
    "sends ahead": 300,
}


class _Observer:
    def __getattr__(self, name):
        return lambda *_: None


class World:
    """A gateway process with its store and its upstreams, which run in this process."""

    def __init__(self, group):
        self.clock = ReactorClock(reactor, boot_seconds)
        self.group = group
        self._gateway = None
        random = Random(1)
        self._store = StandinStore(self.clock, random)
        factory = CallerFactory(self.clock, self._store.handle, CallerLimits)
        self._port = reactor.listenTCP(STORE_PORT, factory, interface=STORE)
        self._store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, _configuration())
        self._upstreams = []
        for service, port in (("small", UPSTREAM_PORT), ("silent", SILENT_PORT)):
            address = (UPSTREAM, port)
            upstream = StandinUpstream(
                clock=self.clock,
                reactor=reactor,
                store=self._store,
                observer=_Observer(),
                random_source=random,
                incarnation=UpstreamIncarnation(service, 1),
                service=service,
                data_centre="d",
                address=address,
                listen_address=address,
                slots=100,
            )
            upstream.faults.is_silent = service == "silent"
            upstream.start()
            self._upstreams.append(upstream)

    def stop(self):
        """Close what this process holds."""
        for upstream in self._upstreams:
            upstream.crash()
        self._port.stopListening()

    def stop_gateway(self):
        """End the gateway; the next case starts another one."""
        self._gateway.kill()
        self._gateway = None

    async def gateway(self):
        """Return the process of the gateway, which is ready."""
        if self._gateway is None:
            path = self.group.directory / "settings.json"
            path.write_text(json.dumps(_settings()), encoding="utf-8")
            _, hard_limit = limits = resource.getrlimit(resource.RLIMIT_NOFILE)
            resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, hard_limit))
            try:
                self._gateway = self.group.launch(
                    "gateway", str(path), module="laburnumhatch.gateway"
                )
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            await wait_until(self.clock, self.serves, START_TIMEOUT, "the gateway")
        return self._gateway

    async def serves(self):
        """Return whether the gateway is ready and answers an ordinary request."""
        is_ready = await self._is_answered(READINESS, b"GET", b"/ready", b"")
        return is_ready and await self._is_answered(CALLERS, b"POST", b"/small/x", b"x" * 200)

    async def _is_answered(self, port, method, target, body):
        fields = [
            (b"host", HOST_NAME.encode()),
            (ATTEMPT_ID, secrets.token_hex(8).encode()),
            (DEADLINE, b"4000"),
        ]
        # Each request has a new connection, as one of a further caller has.
        caller = HttpCaller(ConnectionPool(reactor, self.clock), self.clock)
        answer = await caller.call(GATEWAY, port, method, target, body, ANSWER_TIMEOUT, fields)
        return isinstance(answer, Response) and answer.status == 200


def _configuration():
    routes = [
        StandinRoute("small", HOST_NAME, "/small/", "small", False, "4s"),
        StandinRoute("silent", HOST_NAME, "/silent/", "silent", False, CALLER_TIMEOUT),
    ]
    document = json.loads(encode_configuration(1, routes, (), ("small", "silent"), MAX_BODY_BYTES))
    document["limits"] |= {
        "max_header_bytes": MAX_HEADER_BYTES,
        "header_timeout": CALLER_TIMEOUT,
        "idle_timeout": CALLER_TIMEOUT,
    }
    return json.dumps(document).encode()


def _settings():
    return {
        "name": "g",
        "data_centre": "d",
        "host": GATEWAY,
        "callers": f"{GATEWAY}:{CALLERS}",
        "readiness": f"{GATEWAY}:{READINESS}",
        "stream_port": STREAM,
        "relay_port": RELAY,
        "core_speed": 1.0,
        "core_share": 1.0,
        "metrics_port": METRICS,
        "store": f"{STORE}:{STORE_PORT}",
        "longest_hold": "10000ms",
        "retry_window": "10s",
        "retry_ratio": 0.2,
        "retry_slack": 56,
        "stop_within": "6s",
        "first_start": True,
        "memory_mb": MEMORY_MB,
    }


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    """Yield a deployment whose gateway is started once, and again after a case that fails."""
    clock = ReactorClock(reactor, boot_seconds)
    with ProcessGroup(clock, tmp_path_factory.mktemp("callers")) as group:
        world = World(group)
        yield world
        world.stop()


def _peak_mb(gateway):
    """Return the largest resident memory since the last reset."""
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("behaviour", BEHAVIOURS)
@pytest_twisted.ensureDeferred
async def test_gateway_outlives_callers_that_are_not_controlled(world, door, behaviour):
    """Guards against a process that ends, grows beyond its machine or serves nobody else."""
    gateway = await world.gateway()
    Path(f"/proc/{gateway.process.pid}/clear_refs").write_text("5")
    port, target = DOORS[door]
    if behaviour == "sends ahead" and door == "route":
        # Answers that come at once are written to the kernel, so these don't come.
        target = "/silent/x"
    fields = f"host: {HOST_NAME}\r\n{ATTEMPT_ID.decode()}: crowd\r\n{DEADLINE.decode()}: 60000\r\n"
    crowd = Crowd(
        behaviour,
        GATEWAY,
        port,
        target,
        fields,
        COUNTS[behaviour],
        MAX_HEADER_BYTES,
        MAX_BODY_BYTES,
    )
    process = world.group.launch(
        "crowd", crowd.to_argument(), module="laburnumhatch.measures.caller_crowd"
    )
    try:
        await wait_until(
            world.clock, lambda: "sent" in process.stdout.read_text(), START_TIMEOUT, "the crowd"
        )
        # A caller that comes among the crowd may be closed at once, and comes again.
        await wait_until(
            world.clock,
            lambda: gateway.exit_code is not None or world.serves(),
            SERVE_TIMEOUT,
            "an ordinary request",
        )
        assert gateway.exit_code is None, gateway.output
        descriptors = len(os.listdir(f"/proc/{gateway.process.pid}/fd"))
        peak_mb = _peak_mb(gateway)
        print(f"{behaviour} at {door}: {peak_mb:.0f} MB, {descriptors} descriptors")
        assert peak_mb <= MEMORY_MB
        assert descriptors <= DESCRIPTOR_LIMIT - FREE_DESCRIPTORS
    except BaseException:
        world.stop_gateway()
        raise
    finally:
        process.kill()
