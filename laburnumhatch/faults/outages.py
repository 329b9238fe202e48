"""Scenarios with outages of the platform."""

import signal
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

from .scenario import ScenarioRun
from .verdict import Verdict, claims_verdict
from .watching import (
    AFTERMATH,
    CALM,
    IN_FORCE_WITHIN,
    STOPPED_WITHIN,
    owner_of_key,
    ready_within,
    served_unclaimed_verdict,
    served_verdict,
)
from .world import OWNED_SERVICE, World

__all__ = [
    "coordinator_loss",
    "fail_platform",
    "lose_in_outage",
    "owner_loss",
    "slow_platform_down",
    "start_in_outage",
    "take_platform_down",
]

OUTAGE = timedelta(seconds=12)
SLOW_MS = 3000
EXTRA_ENTRY = "entry-4"


def fail_platform(begin: Callable[[World], Awaitable[None]]) -> ScenarioRun:
    """Return a scenario run in which the platform fails for longer than any lease lasts."""

    async def run(world: World) -> list[Verdict]:
        start = world.clock.now()
        await begin(world)
        await world.pause(OUTAGE)
        end = world.clock.now()
        await world.platform_down(False)
        await world.pause(AFTERMATH)
        return [
            served_unclaimed_verdict(world, start),
            claims_verdict(world.traffic.calls, start, end),
        ]

    return run


def lose_in_outage(find_loss: Callable[[World], Awaitable[Callable[[], None]]]) -> ScenarioRun:
    """Return a scenario run in which a process is killed while the platform is down."""

    async def run(world: World) -> list[Verdict]:
        lose = await find_loss(world)
        await world.platform_down(True)
        await world.pause(CALM)
        lose()
        await world.pause(OUTAGE)
        restored = world.clock.now()
        await world.platform_down(False)
        await world.pause(AFTERMATH)
        return [served_verdict(world, restored, "served again after the outage")]

    return run


async def take_platform_down(world: World) -> None:
    """Make every call to the platform fail."""
    await world.platform_down(True)


async def slow_platform_down(world: World) -> None:
    """Delay every call to the platform beyond its timeout."""
    slow = {"slow_ms": SLOW_MS}
    await world.platform_faults(table=slow, objects=slow, instances=slow)


async def coordinator_loss(world: World) -> Callable[[], None]:
    """Return a function that kills the coordinator."""
    return world.deployment.entries[await world.coordinator()].kill


async def owner_loss(world: World) -> Callable[[], None]:
    """Return a function that kills the server that owns a key."""
    return partial(world.kill_server, OWNED_SERVICE, await owner_of_key(world))


async def start_in_outage(world: World) -> list[Verdict]:
    """Replace an entry instance while the platform is down."""
    await world.platform_down(True)
    old = world.deployment.entries[EXTRA_ENTRY]
    old.signal(signal.SIGTERM)
    await world.wait(lambda: old.exit_code is not None, "exit", STOPPED_WITHIN)
    start = world.clock.now()
    await world.restart_entry(EXTRA_ENTRY)
    ready = await ready_within(world, EXTRA_ENTRY, IN_FORCE_WITHIN)
    took = world.clock.now() - start
    await world.platform_down(False)
    return [
        Verdict(
            "an instance that starts in an outage gets the configuration from its peers",
            f"{IN_FORCE_WITHIN.total_seconds():g} s",
            f"{took.total_seconds():.2f} s" if ready else "not ready",
            ready,
        )
    ]
