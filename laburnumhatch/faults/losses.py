"""Scenarios with killed and frozen servers and entry instances."""

from datetime import timedelta

from .verdict import Verdict
from .watching import MAX_RECOVERY_TIME, OBSERVATION_TIME, owner_of_key, recovery_verdict
from .world import OWNED_SERVICE, World

__all__ = [
    "freeze_coordinator",
    "freeze_owner",
    "kill_coordinator",
    "kill_owner",
    "kill_server_with_lost_replies",
]

FREEZE_TIME = timedelta(seconds=7)


async def kill_owner(world: World) -> list[Verdict]:
    """Kill the server that owns a key."""
    start = world.clock.now()
    world.kill_server(OWNED_SERVICE, await owner_of_key(world))
    await world.pause(OBSERVATION_TIME)
    return [recovery_verdict(world, start)]


async def freeze_owner(world: World) -> list[Verdict]:
    """Freeze the server that owns a key, and thaw it later."""
    start = world.clock.now()
    server = world.server_process(OWNED_SERVICE, await owner_of_key(world))
    server.freeze()
    await world.pause(FREEZE_TIME)
    server.thaw()
    await world.pause(OBSERVATION_TIME)
    return [recovery_verdict(world, start)]


async def kill_coordinator(world: World) -> list[Verdict]:
    """Kill the coordinator of the owned service."""
    start = world.clock.now()
    world.deployment.entries[await world.coordinator()].kill()
    await world.pause(OBSERVATION_TIME)
    return [recovery_verdict(world, start)]


async def freeze_coordinator(world: World) -> list[Verdict]:
    """Freeze the coordinator, kill a server meanwhile, and then thaw the coordinator."""
    start = world.clock.now()
    coordinator = world.deployment.entries[await world.coordinator()]
    owner = await owner_of_key(world)
    coordinator.freeze()
    await world.pause(MAX_RECOVERY_TIME)
    world.kill_server(OWNED_SERVICE, owner)
    await world.pause(FREEZE_TIME - MAX_RECOVERY_TIME)
    coordinator.thaw()
    await world.pause(OBSERVATION_TIME)
    return [recovery_verdict(world, start)]


async def kill_server_with_lost_replies(world: World) -> list[Verdict]:
    """Drop the replies to table writes while a server is killed."""
    start = world.clock.now()
    owner = await owner_of_key(world)
    await world.set_platform_faults(table={"lost_replies": 2})
    world.kill_server(OWNED_SERVICE, owner)
    await world.pause(OBSERVATION_TIME)
    return [recovery_verdict(world, start)]
