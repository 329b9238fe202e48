"""Cost of links, membership and configuration in bytes, processor time and memory.

Run with ``python -m laburnumhatch.measures.control_costs``.
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

import click
import numpy as np
from twisted.internet import reactor, task
from twisted.internet.defer import Deferred, ensureDeferred

from ..clocks import ReactorClock, milliseconds
from ..configuration.messages import ConfigurationAnnouncement
from ..configuration.snapshot import decode_snapshot, encode_snapshot, snapshot_digest
from ..entry.messages import build_codec
from ..links import PeerAddress, PeerLinks
from ..links.frames import FrameAuthenticator, pack_frame
from ..membership import Instance, TargetState, choose_peers, probers_of
from ..membership.messages import Heartbeat, Introduction, TargetReport
from ..membership.view import HeardInstance, live_instances, silent_instances
from ..routing import RoutingFile
from ..storage import InstanceState, ListedInstance

__all__ = ["fit_slope", "main", "measure_frame_sizes", "measure_membership"]

HOST = "127.0.0.1"
SHARED_KEY = "key of the measurement"
DATA_CENTRE_COUNT = 16
FLEET_SIZES = (8, 400, 1700)
ROUND_TRIP_COUNTS = (1000, 2000, 4000)
STREAM_COUNTS = (10, 20, 40)
SERVICE_COUNTS = (8, 32, 128)

Figures = dict[str, Any]


def fit_slope(sizes: tuple[int, ...], costs: list[float]) -> float:
    """Return the cost of one more unit, the slope of a least squares line.

    Examples
    --------
    >>> round(fit_slope((1, 2, 3), [5.0, 7.0, 9.0]), 6)
    2.0
    """
    return float(np.polyfit(sizes, costs, 1)[0])


def make_instance(n: int) -> Instance:
    """Return the `n`-th instance of a fleet."""
    return Instance(f"entry-{n}", HOST, 7001, 7002, f"data-centre-{n % DATA_CENTRE_COUNT}")


def measure_frame_sizes() -> Figures:
    """Return the size in bytes of a frame, by the type of its message."""
    codec = build_codec()
    age = timedelta(seconds=1)
    messages = [
        Heartbeat(False),
        Introduction(make_instance(1000), False),
        TargetReport("loft-availability", "loft-12", TargetState.LEAVING, age),
        ConfigurationAnnouncement(1000, "0" * 64),
    ]
    authenticator = FrameAuthenticator(bytes(32))
    return {
        type(m).__name__: len(pack_frame(authenticator.add_tag(codec.encode(m)))) for m in messages
    }


def measure_membership() -> Figures:
    """Return the microseconds of each membership function, by the size of the fleet."""
    return {f"{n} instances": _measure_membership(n) for n in FLEET_SIZES}


def _measure_membership(n: int) -> Figures:
    instances = [make_instance(i) for i in range(n)]
    listed = [_make_listed_instance(i) for i in instances]
    own = instances[0]
    peers = choose_peers(instances, own)
    names = {peer.name for peer in peers}
    heard = {p.name: HeardInstance(p, False, timedelta()) for p in peers}
    return {
        "peers": len(peers),
        "choose_peers": _microseconds(lambda: choose_peers(instances, own)),
        "live_instances": _microseconds(
            lambda: live_instances(listed, heard, names, own, timedelta())
        ),
        "silent_instances": _microseconds(lambda: silent_instances(heard, timedelta())),
        "probers_of": _microseconds(
            lambda: probers_of(instances, "service", "target", own.data_centre)
        ),
    }


def _make_listed_instance(i: Instance) -> ListedInstance:
    state = InstanceState.LIVE
    return ListedInstance(i.name, i.host, i.peer_port, i.admin_port, i.data_centre, state)


def measure_snapshots() -> Figures:
    """Return the bytes and the decoding time of a snapshot for each service with 15 targets."""
    contents = [encode_snapshot(_make_routing_file(i) for i in range(n)) for n in SERVICE_COUNTS]
    return {
        "bytes for each service": fit_slope(SERVICE_COUNTS, [float(len(c)) for c in contents]),
        "microseconds for each service": fit_slope(
            SERVICE_COUNTS, [_time_decoding(c) for c in contents]
        ),
    }


def _time_decoding(content: bytes) -> float:
    digest = snapshot_digest(content)
    return _microseconds(lambda: decode_snapshot(content, 1, digest))


async def measure_message_cost(clock: ReactorClock) -> Figures:
    """Return the processor time of sending one message over TCP and receiving it."""
    trips = RoundTrips(clock)
    await trips.connect()
    costs = []
    for count in ROUND_TRIP_COUNTS:
        started = time.process_time()
        await trips.run(count)
        costs.append(1e6 * (time.process_time() - started))
    trips.stop()
    # A round trip is two messages.
    return {"microseconds for each message, both ends": fit_slope(ROUND_TRIP_COUNTS, costs) / 2}


async def measure_stream_memory(clock: ReactorClock) -> Figures:
    """Return the bytes of the Python objects of one open stream, both ends together."""
    hub = _make_links(clock, "hub")
    port = hub.listen(HOST, 0)
    costs: list[float] = []
    others: list[PeerLinks] = []
    tracemalloc.start()
    for count in STREAM_COUNTS:
        while len(others) < count:
            other = _make_links(clock, f"other-{len(others)}")
            other.set_peers([PeerAddress("hub", HOST, port)])
            others.append(other)
        await _wait_until(partial(_has_connections, hub, count))
        gc.collect()
        costs.append(float(tracemalloc.get_traced_memory()[0]))
    tracemalloc.stop()
    for links in (hub, *others):
        links.stop()
    # Both ends of each stream are in this process, together with a codec and a dialer.
    return {"bytes for each stream, both ends": fit_slope(STREAM_COUNTS, costs)}


def _make_links(clock: ReactorClock, name: str) -> PeerLinks:
    return PeerLinks(
        reactor=reactor, clock=clock, codec=build_codec(), own_name=name, shared_key=SHARED_KEY
    )


class RoundTrips:
    """Sequential round trips of heartbeats between two instances."""

    def __init__(self, clock: ReactorClock) -> None:
        self._u = _make_links(clock, "u")
        self._v = _make_links(clock, "v")
        self._remaining_count = 0
        self._completed: Deferred[None] = Deferred()
        self._v.add_handler(Heartbeat, self._echo)
        self._u.add_handler(Heartbeat, self._on_echo)

    async def connect(self) -> None:
        """Open the stream and wait until both ends report it as connected."""
        self._u.set_peers([PeerAddress("v", HOST, self._v.listen(HOST, 0))])
        await _wait_until(lambda: bool(self._u.connected_peers() and self._v.connected_peers()))

    async def run(self, count: int) -> None:
        """Make `count` round trips, one after the other."""
        self._remaining_count = count
        self._completed = Deferred()
        self._u.send("v", Heartbeat(False))
        await self._completed

    def stop(self) -> None:
        """Close the stream."""
        self._u.stop()
        self._v.stop()

    def _echo(self, name: str, message: Heartbeat) -> None:
        self._v.send(name, message)

    def _on_echo(self, name: str, message: Heartbeat) -> None:
        self._remaining_count -= 1
        if self._remaining_count:
            self._u.send("v", message)
        else:
            self._completed.callback(None)


def _has_connections(links: PeerLinks, count: int) -> bool:
    return len(links.connected_peers()) == count


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await task.deferLater(reactor, milliseconds(5).total_seconds(), lambda: None)


def _make_routing_file(n: int) -> RoutingFile:
    servers = [
        {"name": f"t-{i}", "host": HOST, "port": 1000 + i, "data_centre": "lade"} for i in range(15)
    ]
    kind = {"method": "GET", "path": f"/service-{n}/{{key}}", "deadline_ms": 500}
    document = {
        "service": f"service-{n}",
        "targets": {"slots": 2, "servers": servers},
        "kinds": {"view": kind},
    }
    return RoutingFile.model_validate(document)


def _microseconds(call: Callable[[], Any]) -> float:
    """Return the duration of the fastest of five runs, in microseconds."""
    best = float("inf")
    for _ in range(5):
        started = time.perf_counter()
        call()
        best = min(best, time.perf_counter() - started)
    return round(1e6 * best, 1)


async def _measure(clock: ReactorClock) -> Figures:
    return {
        "bytes of a frame": measure_frame_sizes(),
        "choices, microseconds": measure_membership(),
        "snapshots": measure_snapshots(),
        "messages": await measure_message_cost(clock),
        "streams": await measure_stream_memory(clock),
    }


@click.command()
def main() -> None:
    """Measure the cost of links, membership and configuration, and print it as JSON."""

    def run(_: Any) -> Deferred[None]:
        measured = ensureDeferred(_measure(ReactorClock(reactor)))
        return measured.addCallback(lambda figures: click.echo(json.dumps(figures, indent=2)))

    task.react(run)


if __name__ == "__main__":
    main()
