"""Verdicts and queries that the scenarios share, with their time bounds."""

from datetime import timedelta
from typing import Any

from .verdict import Verdict, gap_verdict
from .world import World

__all__ = [
    "AFTERMATH",
    "CALM",
    "IN_FORCE_WITHIN",
    "KEY",
    "LEAVER_SPARED_WITHIN",
    "SERVED_AGAIN_WITHIN",
    "STOPPED_WITHIN",
    "has_version",
    "owner_of_key",
    "ready_within",
    "served_unclaimed_verdict",
    "served_verdict",
    "spared_verdict",
    "version_of",
]

SERVED_AGAIN_WITHIN = timedelta(seconds=3)
LEAVER_SPARED_WITHIN = timedelta(seconds=3)
IN_FORCE_WITHIN = timedelta(seconds=10)
STOPPED_WITHIN = timedelta(seconds=30)
CALM = timedelta(seconds=1)
AFTERMATH = timedelta(seconds=5)
KEY = "rosa-0"


def served_verdict(
    world: World, start: timedelta, promise: str = "a key is served again"
) -> Verdict:
    """Return the verdict on whether every kind of call for every key recovered in time."""
    end = world.clock.now()
    return gap_verdict(promise, world.traffic.calls, start, end, SERVED_AGAIN_WITHIN)


def served_unclaimed_verdict(world: World, start: timedelta) -> Verdict:
    """Return the recovery verdict for the calls without an idempotency key."""
    calls = [call for call in world.traffic.calls if not call.plan.claimed]
    promise = "a key is served again, calls with an idempotency key left out"
    return gap_verdict(promise, calls, start, world.clock.now(), SERVED_AGAIN_WITHIN)


async def spared_verdict(world: World, service: str, server: str) -> Verdict:
    """Return the verdict on whether a draining server stops receiving requests in time."""
    start = world.clock.now()
    await world.pause(LEAVER_SPARED_WITHIN + AFTERMATH)
    late = [
        call
        for call in world.traffic.calls
        if call.sent > start + LEAVER_SPARED_WITHIN and call.plan.service == service
    ]
    spared_from = start + LEAVER_SPARED_WITHIN
    sent = [instant for instant in world.refusal_instants(server) if instant > spared_from]
    return Verdict(
        "a leaving server receives no new work",
        f"none after {LEAVER_SPARED_WITHIN.total_seconds():g} s",
        f"{len(sent)} sent of {len(late)} calls",
        not sent and bool(late),
    )


async def owner_of_key(world: World) -> str:
    """Return the name of the server that owns the watched key."""
    owner: str = (await world.explain(KEY))["owner"]
    return owner


async def version_of(world: World, entry: str) -> int:
    """Return the configuration version that an instance has in force."""
    status = await world.status(entry)
    version: int = status["configuration"]["version"]
    return version


async def has_version(world: World, entry: str, version: int) -> bool:
    """Return whether an instance has a configuration version, or a later one, in force."""
    status = await world.status(entry)
    return bool(status) and status["configuration"]["version"] >= version


async def ready_within(world: World, entry: str, within: timedelta) -> bool:
    """Wait for an instance to become ready, and return whether it did so in time."""
    url = f"{world.deployment.admin_url(entry)}/readyz"

    async def ready() -> Any:
        return await world.deployment.fetch(url)

    try:
        await world.wait(ready, "ready", within)
    except TimeoutError:
        return False
    return True
