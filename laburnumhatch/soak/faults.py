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
from .world import DRAIN, KEYED, UNKEYED, Instance, World

__all__ = ["FAULTS", "Fault"]

Fault = Callable[[World], Coroutine[Any, Any, None]]
# Minimum time between the end of an upstream and the reuse of its address, a bound that the users
# set.
REUSE_AFTER = milliseconds(2000)
# Time in which the interpreter of an instance starts to run the daemon. A SIGHUP before that ends
# the process.
INTERPRETER_START = milliseconds(2000)
# An upstream is chosen for a fault only if more than this number of its service are running.
FEWEST_UPSTREAMS = 2


def _seconds(world: World, least: float, most: float) -> timedelta:
    return timedelta(seconds=world.random_source.uniform(least, most))


def _some_instance(world: World) -> Instance | None:
    """Return a random running instance, preferring the leader with a probability of 0.5."""
    leader = world.leader()
    running = world.running_instances()
    if leader in running and world.random_source.random() < 0.5:
        return leader
    return world.random_source.choice(running) if running else None


def _some_upstream(world: World, service: str | None = None) -> StandinUpstream | None:
    service = service or world.random_source.choice((KEYED, KEYED, UNKEYED))
    running = world.running(service)
    return world.random_source.choice(running) if len(running) > FEWEST_UPSTREAMS else None


async def instance_lost(world: World) -> None:
    """Kill an instance and start it again."""
    instance = _some_instance(world)
    if instance is not None:
        await world.lose(instance, _seconds(world, 0.1, 2.0))


async def all_instances_lost(world: World) -> None:
    """Kill all instances at the same time and start them again."""
    away = _seconds(world, 0.1, 1.0)
    losing = [world.lose(instance, away) for instance in world.running_instances()]
    await _together(losing)


async def instance_frozen(world: World) -> None:
    """Freeze the process of an instance."""
    instance = _some_instance(world)
    if instance is not None:
        await world.freeze(instance, _seconds(world, 0.2, 4.0))


async def instance_stopped(world: World) -> None:
    """Stop an instance gracefully and start it again."""
    instance = _some_instance(world)
    if instance is not None:
        await world.terminate(instance)


async def instances_stopped_in_turn(world: World) -> None:
    """Stop the instances gracefully and start them again, one after the other."""
    for instance in world.running_instances():
        await world.terminate(instance)


async def instance_cut_off_the_store(world: World) -> None:
    """Disturb the link between an instance and the store."""
    instance = _some_instance(world)
    if instance is not None:
        await _disturb_link(world, instance.store_link, instance.name, _seconds(world, 0.5, 6.0))


async def callers_link_disturbed(world: World) -> None:
    """Disturb the link between the callers and an instance."""
    instance = _some_instance(world)
    if instance is not None:
        await _disturb_link(world, instance.front_link, instance.name, _seconds(world, 0.5, 3.0))


async def store_faulty(world: World) -> None:
    """Make the store unavailable, silent or slow, or let it lose or delay writes, for all."""
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
    world.disturbances.begin(STORE)
    world.store.faults = faults
    await world.pause(_seconds(world, 0.5, 6.0))
    world.store.faults = StoreFaults()
    world.disturbances.end(STORE, world.clock.now())


async def upstream_crashed(world: World) -> None:
    """Crash an upstream; it restarts under its name or a new one, or its address is reused."""
    upstream = _some_upstream(world)
    if upstream is None:
        return
    upstream.crash()
    service, slot = upstream.service, world.slot_of(upstream)
    match world.random_source.choice(("same name", "other name", "address reused")):
        case "same name":
            await world.pause(_seconds(world, 0.1, 3.0))
            world.add_upstream(service, upstream.name, slot)
        case "other name":
            await world.pause(_seconds(world, 0.1, 3.0))
            world.add_upstream(service)
        case _:
            await world.pause(REUSE_AFTER)
            other = UNKEYED if service == KEYED else KEYED
            world.add_upstream(other, slot=slot)
            world.add_upstream(service)


async def upstream_silent(world: World) -> None:
    """Let an upstream answer no requests while it keeps its keys and its running requests."""
    await _with_faults(world, UpstreamFaults(is_silent=True), 0.5, 5.0)


async def upstream_slow(world: World) -> None:
    """Slow down the runs of an upstream."""
    await _with_faults(world, UpstreamFaults(slowdown=8.0), 1.0, 5.0)


async def upstream_faulty(world: World) -> None:
    """Let an upstream fail some requests and lose some answers."""
    faults = UpstreamFaults(failed_share=0.2, lost_share=0.1)
    await _with_faults(world, faults, 1.0, 5.0)


async def grants_late(world: World) -> None:
    """Let all keyed upstreams apply some grants seconds later, without an answer."""
    upstreams = world.running(KEYED)
    for upstream in upstreams:
        upstream.faults = UpstreamFaults(late_share=0.4)
    await world.pause(_seconds(world, 1.0, 5.0))
    for upstream in upstreams:
        upstream.faults = UpstreamFaults()


async def upstream_link_cut(world: World) -> None:
    """Disturb the link to an upstream, which keeps its keys."""
    upstream = _some_upstream(world)
    if upstream is not None:
        link, part = world.links[upstream.name], upstream.name
        await _disturb_link(world, link, part, _seconds(world, 0.3, 5.0))


async def upstream_off_the_store(world: World) -> None:
    """Cut an upstream off from the store, so that its registration can expire while it serves."""
    upstream = _some_upstream(world)
    if upstream is None:
        return
    upstream.is_store_reachable = False
    await world.pause(_seconds(world, 1.0, 6.0))
    upstream.is_store_reachable = True


async def upstream_leaves(world: World) -> None:
    """Start a replacement for an upstream, then drain and stop that upstream."""
    upstream = _some_upstream(world)
    if upstream is None:
        return
    world.add_upstream(upstream.service)
    if upstream.drain():
        world.checks.left(upstream.name)
    await world.pause(DRAIN + _seconds(world, 0.5, 3.0))
    upstream.complete_drain()


async def configuration_changes(world: World) -> None:
    """Publish one to three versions of the configuration."""
    for _ in range(world.random_source.randint(1, 3)):
        world.configure()
        await world.pause(_seconds(world, 0.2, 3.0))


async def settings_changed(world: World) -> None:
    """Send SIGHUP, which announces changed settings, to all instances that have started."""
    for instance in world.running_instances():
        if world.clock.now() - instance.launched_at > INTERPRETER_START:
            instance.child.signal(signal.SIGHUP)
        await world.pause(milliseconds(100))


async def _with_faults(world: World, faults: UpstreamFaults, least_s: float, most_s: float) -> None:
    upstream = _some_upstream(world)
    if upstream is None:
        return
    upstream.faults = faults
    world.disturbances.begin(upstream.name)
    await world.pause(_seconds(world, least_s, most_s))
    upstream.faults = UpstreamFaults()
    world.disturbances.end(upstream.name, world.clock.now())


async def _disturb_link(world: World, link: FaultyProxy, part: str, duration: timedelta) -> None:
    kind = world.random_source.choice(("slow", "reset", "refuse", "silent", "forth", "back"))
    faults = LinkFaults(
        delay=_seconds(world, 0.01, 0.3) if kind == "slow" else timedelta(),
        drops_forth=kind in ("silent", "forth"),
        drops_back=kind in ("silent", "back"),
        refuses=kind in ("reset", "refuse"),
    )
    world.disturbances.begin(part)
    link.apply(faults, reset=kind == "reset")
    await world.pause(duration)
    link.heal()
    world.disturbances.end(part, world.clock.now())


async def _together(doing: list[Coroutine[Any, Any, None]]) -> None:
    await gatherResults([Deferred.fromCoroutine(one) for one in doing])


# Relative frequency of each fault. The plan of a seed depends on the order of the entries.
FAULTS: dict[Fault, int] = {
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
