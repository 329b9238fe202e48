"""Scenarios with outages of the platform."""

import signal
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

from .scenario import ScenarioRun
from .verdict import Verdict, idempotency_claim_verdict
from .watching import (
    MAX_PUBLICATION_TIME,
    MAX_SHUTDOWN_TIME,
    OBSERVATION_TIME,
    SETTLING_TIME,
    owner_of_key,
    ready_within,
    recovery_verdict,
    recovery_verdict_without_idempotency,
)
from .world import OWNED_SERVICE, World

__all__ = [
    "kill_in_outage_run",
    "platform_failure_run",
    "prepare_coordinator_kill",
    "prepare_owner_kill",
    "slow_platform",
    "start_in_outage",
    "take_platform_down",
]

OUTAGE_TIME = timedelta(seconds=12)
PLATFORM_DELAY_MS = 3000
EXTRA_ENTRY = "entry-4"


def platform_failure_run(inject_fault: Callable[[World], Awaitable[None]]) -> ScenarioRun:
    """Return a scenario run in which the platform fails for longer than any lease lasts."""

    async def run(world: World) -> list[Verdict]:
        start = world.clock.now()
        await inject_fault(world)
        await world.pause(OUTAGE_TIME)
        end = world.clock.now()
        await world.set_platform_down(False)
        await world.pause(OBSERVATION_TIME)
        return [
            recovery_verdict_without_idempotency(world, start),
            idempotency_claim_verdict(world.traffic.calls, start, end),
        ]

    return run


def kill_in_outage_run(
    prepare_kill: Callable[[World], Awaitable[Callable[[], None]]],
) -> ScenarioRun:
    """Return a scenario run in which a process is killed while the platform is down."""

    async def run(world: World) -> list[Verdict]:
        kill_process = await prepare_kill(world)
        await world.set_platform_down(True)
        await world.pause(SETTLING_TIME)
        kill_process()
        await world.pause(OUTAGE_TIME)
        restored = world.clock.now()
        await world.set_platform_down(False)
        await world.pause(OBSERVATION_TIME)
        return [recovery_verdict(world, restored, "served again after the outage")]

    return run


async def take_platform_down(world: World) -> None:
    """Make every call to the platform fail."""
    await world.set_platform_down(True)


async def slow_platform(world: World) -> None:
    """Delay every call to the platform beyond its timeout."""
    slow = {"slow_ms": PLATFORM_DELAY_MS}
    await world.set_platform_faults(table=slow, objects=slow, instances=slow)


async def prepare_coordinator_kill(world: World) -> Callable[[], None]:
    """Return a function that kills the coordinator."""
    return world.deployment.entries[await world.coordinator()].kill


async def prepare_owner_kill(world: World) -> Callable[[], None]:
    """Return a function that kills the server that owns a key."""
    return partial(world.kill_server, OWNED_SERVICE, await owner_of_key(world))


async def start_in_outage(world: World) -> list[Verdict]:
    """Replace an entry instance while the platform is down."""
    await world.set_platform_down(True)
    old = world.deployment.entries[EXTRA_ENTRY]
    old.signal(signal.SIGTERM)
    await world.wait_for(lambda: old.exit_code is not None, "exit", MAX_SHUTDOWN_TIME)
    start = world.clock.now()
    await world.restart_entry(EXTRA_ENTRY)
    ready = await ready_within(world, EXTRA_ENTRY, MAX_PUBLICATION_TIME)
    took = world.clock.now() - start
    await world.set_platform_down(False)
    return [
        Verdict(
            "an instance that starts in an outage gets the configuration from its peers",
            f"{MAX_PUBLICATION_TIME.total_seconds():g} s",
            f"{took.total_seconds():.2f} s" if ready else "not ready",
            ready,
        )
    ]
