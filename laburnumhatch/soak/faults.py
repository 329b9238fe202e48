"""Faults of the soak test, as coroutines that inject a fault and later end it."""

import signal
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from ..clocks import milliseconds
from ..platform.standin import StandinUpstream, StoreFaults, UpstreamFaults
from .checks import STORE
from .proxy import FaultyProxy, LinkFaults
from .world import CRASH_DOWNTIME, DRAIN_TIMEOUT, KEYED_SERVICE, UNKEYED_SERVICE, Instance, World

__all__ = ["ANNOUNCEMENT_WEIGHTS", "FAULT_WEIGHTS", "REQUEST_WEIGHTS", "Fault"]

Fault = Callable[[World], Coroutine[Any, Any, None]]
# Minimum time between the end of an upstream and the reuse of its address, a bound that the users
# set.
ADDRESS_REUSE_DELAY = milliseconds(2000)
# Time in which the interpreter of an instance starts to run the daemon. A SIGHUP before that ends
# the process.
INTERPRETER_START_TIME = milliseconds(2000)
# Minimum number of upstreams of a service that a fault leaves running.
MIN_RUNNING_UPSTREAMS = 2


def _draw_duration(world: World, min_s: float, max_s: float) -> timedelta:
    return timedelta(seconds=world.random_source.uniform(min_s, max_s))


def _choose_instance(world: World) -> Instance | None:
    """Return a random running instance, preferring the leader with a probability of 0.5."""
    leader = world.leader()
    running = world.running_instances()
    if leader in running and world.random_source.random() < 0.5:
        return leader
    return world.random_source.choice(running) if running else None


def _choose_upstream(world: World, service: str | None = None) -> StandinUpstream | None:
    service = service or world.random_source.choice((KEYED_SERVICE, KEYED_SERVICE, UNKEYED_SERVICE))
    running = world.running_upstreams(service)
    return world.random_source.choice(running) if len(running) > MIN_RUNNING_UPSTREAMS else None


async def instance_lost(world: World) -> None:
    """Kill an instance and start it again."""
    instance = _choose_instance(world)
    if instance is not None:
        await world.kill_and_restart(instance, _draw_duration(world, 0.1, 2.0))


async def all_instances_lost(world: World) -> None:
    """Kill all instances at the same time and start them again."""
    downtime = _draw_duration(world, 0.1, 1.0)
    restarts = [
        world.kill_and_restart(instance, downtime) for instance in world.running_instances()
    ]
    await _run_concurrently(restarts)


async def instance_frozen(world: World) -> None:
    """Freeze the process of an instance."""
    instance = _choose_instance(world)
    if instance is not None:
        await world.freeze(instance, _draw_duration(world, 0.2, 4.0))


async def instance_stopped(world: World) -> None:
    """Stop an instance gracefully and start it again."""
    instance = _choose_instance(world)
    if instance is not None:
        await world.stop_and_restart(instance)


async def instances_stopped_in_turn(world: World) -> None:
    """Stop the instances gracefully and start them again, one after the other."""
    for instance in world.running_instances():
        await world.stop_and_restart(instance)


async def instance_cut_off_the_store(world: World) -> None:
    """Disturb the link between an instance and the store."""
    instance = _choose_instance(world)
    if instance is not None:
        await _inject_link_faults(
            world, instance.store_link, instance.name, _draw_duration(world, 0.5, 6.0)
        )


async def callers_link_disturbed(world: World) -> None:
    """Disturb the link between the callers and an instance."""
    instance = _choose_instance(world)
    if instance is not None:
        await _inject_link_faults(
            world, instance.caller_link, instance.name, _draw_duration(world, 0.5, 3.0)
        )


async def store_faulty(world: World) -> None:
    """Make the store unavailable, silent or slow, or let it lose answers or delay writes."""
    faults = world.random_source.choice(
        [
            StoreFaults(is_down=True),
            StoreFaults(is_silent=True),
            StoreFaults(slowdown=50.0),
            StoreFaults(lost_share=0.4),
            StoreFaults(late_share=0.4),
        ]
    )
    if not world.store.faults.is_fault_free:
        return
    world.fault_history.begin(STORE)
    world.store.faults = faults
    await world.sleep(_draw_duration(world, 0.5, 6.0))
    world.store.faults = StoreFaults()
    world.fault_history.end(STORE, world.clock.now())


async def upstream_crashed(world: World) -> None:
    """Crash an upstream; it restarts under its name or a new one, or its address is reused."""
    upstream = _choose_upstream(world)
    if upstream is None:
        return
    upstream.crash()
    service, address_index = upstream.service, world.address_index_of(upstream)
    match world.random_source.choice(("same name", "other name", "address reused")):
        case "same name":
            await world.sleep(_draw_duration(world, 0.1, 3.0))
            world.add_upstream(service, upstream.name, address_index)
        case "other name":
            await world.sleep(_draw_duration(world, 0.1, 3.0))
            world.add_upstream(service)
        case _:
            await world.sleep(ADDRESS_REUSE_DELAY)
            other = UNKEYED_SERVICE if service == KEYED_SERVICE else KEYED_SERVICE
            world.add_upstream(other, address_index=address_index)
            world.add_upstream(service)


async def upstream_silent(world: World) -> None:
    """Let an upstream answer no requests while it keeps its keys and its running requests."""
    await _inject_upstream_faults(world, UpstreamFaults(is_silent=True), 0.5, 5.0)


async def upstream_slow(world: World) -> None:
    """Slow down the runs of an upstream."""
    await _inject_upstream_faults(world, UpstreamFaults(slowdown=8.0), 1.0, 5.0)


async def upstream_faulty(world: World) -> None:
    """Let an upstream fail some requests and lose some answers."""
    faults = UpstreamFaults(failed_share=0.2, lost_share=0.1)
    await _inject_upstream_faults(world, faults, 1.0, 5.0)


async def grants_late(world: World) -> None:
    """Let all keyed upstreams apply some grants seconds later, without an answer."""
    upstreams = world.running_upstreams(KEYED_SERVICE)
    for upstream in upstreams:
        upstream.faults = UpstreamFaults(late_share=0.4)
    await world.sleep(_draw_duration(world, 1.0, 5.0))
    for upstream in upstreams:
        upstream.faults = UpstreamFaults()


async def upstream_link_cut(world: World) -> None:
    """Disturb the link to an upstream, which keeps its keys."""
    upstream = _choose_upstream(world)
    if upstream is not None:
        link, component = world.links[upstream.name], upstream.name
        await _inject_link_faults(world, link, component, _draw_duration(world, 0.3, 5.0))


async def upstream_off_the_store(world: World) -> None:
    """Cut an upstream off from the store, so that its registration can expire while it serves."""
    upstream = _choose_upstream(world)
    if upstream is None:
        return
    upstream.is_store_reachable = False
    await world.sleep(_draw_duration(world, 1.0, 6.0))
    upstream.is_store_reachable = True


async def upstream_leaves(world: World) -> None:
    """Start a replacement for an upstream, then drain and stop that upstream."""
    upstream = _choose_upstream(world)
    if upstream is None:
        return
    world.add_upstream(upstream.service)
    if upstream.drain():
        world.checks.on_drain_announced(upstream.name)
    await world.sleep(DRAIN_TIMEOUT + _draw_duration(world, 0.5, 3.0))
    upstream.complete_drain()


async def store_restored(world: World) -> None:
    """Let the store be away for a moment and come back from a copy some seconds old."""
    if not world.store.faults.is_fault_free or not world.store_copies:
        return
    world.fault_history.begin(STORE)
    copied = world.random_source.choice(world.store_copies)
    world.store.faults = StoreFaults(is_down=True)
    await world.sleep(_draw_duration(world, 0.1, 1.5))
    world.store.restore(copied)
    world.store_copies.clear()
    world.store.faults = StoreFaults()
    world.fault_history.end(STORE, world.clock.now())


async def upstreams_limited(world: World) -> None:
    """Let one to three upstreams announce how many requests they take."""
    for _ in range(world.random_source.randint(1, 3)):
        upstream = _choose_upstream(world)
        if upstream is not None and upstream.faults == UpstreamFaults():
            limit_per_s = round(world.random_source.uniform(2.0, 10.0), 2)
            upstream.faults = UpstreamFaults(request_limit_per_s=limit_per_s)
            world.checks.on_limit_announced(upstream.name, limit_per_s)
            world.clock.call_later(_draw_duration(world, 3.0, 8.0), _end_limit, world, upstream)
    await world.sleep(_draw_duration(world, 0.5, 2.0))


def _end_limit(world: World, upstream: StandinUpstream) -> None:
    upstream.faults = UpstreamFaults()
    world.checks.on_limit_ended(upstream.name)


async def upstream_pauses(world: World) -> None:
    """Let an upstream decline all requests and ask for a pause each time."""
    await _inject_upstream_faults(world, UpstreamFaults(pause=milliseconds(1500)), 0.5, 3.0)


async def requests_crash_upstreams(world: World) -> None:
    """Send one request again and again that crashes the upstreams which run it."""
    path = f"/look/crash-{len(world.crashing_paths)}"
    world.crashing_paths.add(path)
    ends_at = world.clock.now() + _draw_duration(world, 3.0, 8.0)
    while world.clock.now() < ends_at:
        world.callers.send_crashing(path)
        await world.sleep(_draw_duration(world, 0.05, 0.3))
    await world.sleep(CRASH_DOWNTIME)


async def configuration_changes(world: World) -> None:
    """Publish one to three versions of the configuration."""
    for _ in range(world.random_source.randint(1, 3)):
        world.publish_configuration()
        await world.sleep(_draw_duration(world, 0.2, 3.0))


async def settings_changed(world: World) -> None:
    """Send SIGHUP, which announces changed settings, to all instances that have started."""
    for instance in world.running_instances():
        if world.clock.now() - instance.launched_at > INTERPRETER_START_TIME:
            instance.child.signal(signal.SIGHUP)
        await world.sleep(milliseconds(100))


async def _inject_upstream_faults(
    world: World, faults: UpstreamFaults, min_s: float, max_s: float
) -> None:
    upstream = _choose_upstream(world)
    if upstream is None:
        return
    upstream.faults = faults
    world.fault_history.begin(upstream.name)
    await world.sleep(_draw_duration(world, min_s, max_s))
    upstream.faults = UpstreamFaults()
    world.fault_history.end(upstream.name, world.clock.now())


async def _inject_link_faults(
    world: World, link: FaultyProxy, component: str, duration: timedelta
) -> None:
    kind = world.random_source.choice(("slow", "reset", "refuse", "silent", "forth", "back"))
    faults = LinkFaults(
        delay=_draw_duration(world, 0.01, 0.3) if kind == "slow" else timedelta(),
        drops_from_client=kind in ("silent", "forth"),
        drops_from_server=kind in ("silent", "back"),
        refuses_connections=kind in ("reset", "refuse"),
    )
    world.fault_history.begin(component)
    link.apply_faults(faults, reset=kind == "reset")
    await world.sleep(duration)
    link.clear_faults()
    world.fault_history.end(component, world.clock.now())


async def _run_concurrently(coroutines: list[Coroutine[Any, Any, None]]) -> None:
    await gatherResults([Deferred.fromCoroutine(coroutine) for coroutine in coroutines])


# Relative frequency of each fault. The plan of a seed depends on the order of the entries.
FAULT_WEIGHTS: dict[Fault, int] = {
    instance_lost: 3,
    all_instances_lost: 1,
    instance_frozen: 3,
    instance_stopped: 2,
    instances_stopped_in_turn: 1,
    instance_cut_off_the_store: 4,
    callers_link_disturbed: 2,
    store_faulty: 4,
    upstream_crashed: 3,
    upstream_silent: 2,
    upstream_slow: 1,
    upstream_faulty: 2,
    grants_late: 3,
    upstream_link_cut: 4,
    upstream_off_the_store: 2,
    upstream_leaves: 3,
    configuration_changes: 3,
    settings_changed: 1,
}

# The same for what the store and upstreams announce of themselves. These faults are drawn apart, so
# that the others of a seed stay the same.
ANNOUNCEMENT_WEIGHTS: dict[Fault, int] = {
    store_restored: 3,
    upstreams_limited: 2,
    upstream_pauses: 1,
}

# The same for requests that harm, which are drawn apart as well.
REQUEST_WEIGHTS: dict[Fault, int] = {requests_crash_upstreams: 1}
