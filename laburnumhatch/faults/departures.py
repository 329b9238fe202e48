"""Scenarios with graceful shutdowns, drains and slow servers."""

import signal

from ..clocks import milliseconds
from .verdict import Verdict
from .watching import AFTERMATH, CALM, STOPPED_WITHIN, owner_of_key, served_verdict, spared_verdict
from .world import ENTRIES, FREE_SERVICE, OWNED_SERVICE, World

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
        await world.wait(lambda e=entry: e.exit_code is not None, "exit", STOPPED_WITHIN)
        codes.append(entry.exit_code)
    await world.pause(CALM)
    cut = [call for call in world.traffic.calls if call.status == 0 and call.done >= start]
    return [
        Verdict(
            "a graceful shutdown cuts nothing off",
            "none",
            f"{len(cut)} cut {sorted({call.detail for call in cut})}",
            not cut,
        ),
        Verdict("a graceful shutdown exits with 0", "0", f"{codes}", set(codes) == {0}),
        served_verdict(world, start),
    ]


async def drain_server(world: World) -> list[Verdict]:
    """Drain a server while its health endpoint still reports that it is ready."""
    await world.server_faults(FREE_SERVICE, WATCHED_SERVER, draining=True, health="ready")
    return [await spared_verdict(world, FREE_SERVICE, WATCHED_SERVER)]


async def drain_owner(world: World) -> list[Verdict]:
    """Drain a server that owns keys."""
    start = world.clock.now()
    owner = await owner_of_key(world)
    await world.server_faults(OWNED_SERVICE, owner, draining=True)
    spared = await spared_verdict(world, OWNED_SERVICE, owner)
    return [spared, served_verdict(world, start)]


async def slow_servers(world: World) -> list[Verdict]:
    """Delay responses, some beyond their deadline, and truncate others."""
    for server in ("booking-1", "booking-2"):
        await world.server_faults(FREE_SERVICE, server, slow_ms=900, cut_answers=5)
    await world.pause(AFTERMATH)
    return []
