"""Scenarios with graceful shutdowns, drains and slow servers."""

import signal

from ..clocks import milliseconds
from .verdict import Verdict
from .watching import (
    MAX_SHUTDOWN_TIME,
    OBSERVATION_TIME,
    SETTLING_TIME,
    drain_verdict,
    owner_of_key,
    recovery_verdict,
)
from .world import ENTRIES, OWNED_SERVICE, UNOWNED_SERVICE, World

__all__ = ["drain_owner", "drain_server", "slow_servers", "stop_entry"]

WATCHED_SERVER = "booking-1"


async def stop_entry(world: World) -> list[Verdict]:
    """Stop two entry instances, one after the other, with two SIGTERM signals each.

    Either of them may be the coordinator.
    """
    start = world.clock.now()
    codes = []
    for name in ENTRIES[:2]:
        entry = world.deployment.entries[name]
        entry.signal(signal.SIGTERM)
        await world.pause(milliseconds(50))
        entry.signal(signal.SIGTERM)
        await world.wait_for(lambda e=entry: e.exit_code is not None, "exit", MAX_SHUTDOWN_TIME)
        codes.append(entry.exit_code)
    await world.pause(SETTLING_TIME)
    cut = [call for call in world.traffic.calls if call.status == 0 and call.done_at >= start]
    return [
        Verdict(
            "a graceful shutdown cuts nothing off",
            "none",
            f"{len(cut)} cut {sorted({call.detail for call in cut})}",
            not cut,
        ),
        Verdict("a graceful shutdown exits with 0", "0", f"{codes}", set(codes) == {0}),
        recovery_verdict(world, start),
    ]


async def drain_server(world: World) -> list[Verdict]:
    """Drain a server while its health endpoint still reports that it is ready."""
    await world.set_server_faults(UNOWNED_SERVICE, WATCHED_SERVER, draining=True, health="ready")
    return [await drain_verdict(world, UNOWNED_SERVICE, WATCHED_SERVER)]


async def drain_owner(world: World) -> list[Verdict]:
    """Drain a server that owns keys."""
    start = world.clock.now()
    owner = await owner_of_key(world)
    await world.set_server_faults(OWNED_SERVICE, owner, draining=True)
    spared = await drain_verdict(world, OWNED_SERVICE, owner)
    return [spared, recovery_verdict(world, start)]


async def slow_servers(world: World) -> list[Verdict]:
    """Delay responses, some beyond their deadline, and truncate others."""
    for server in ("booking-1", "booking-2"):
        await world.set_server_faults(UNOWNED_SERVICE, server, slow_ms=900, cut_answers=5)
    await world.pause(OBSERVATION_TIME)
    return []
