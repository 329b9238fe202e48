"""Verdicts and queries that the scenarios share, with their time bounds."""

from datetime import timedelta
from typing import Any

from .verdict import Verdict, gap_verdict
from .world import World

__all__ = [
    "MAX_DRAIN_DETECTION_TIME",
    "MAX_PUBLICATION_TIME",
    "MAX_RECOVERY_TIME",
    "MAX_SHUTDOWN_TIME",
    "OBSERVATION_TIME",
    "SETTLING_TIME",
    "WATCHED_KEY",
    "drain_verdict",
    "has_version",
    "owner_of_key",
    "ready_within",
    "recovery_verdict",
    "recovery_verdict_without_idempotency",
    "version_of",
]

MAX_RECOVERY_TIME = timedelta(seconds=3)
MAX_DRAIN_DETECTION_TIME = timedelta(seconds=3)
MAX_PUBLICATION_TIME = timedelta(seconds=10)
MAX_SHUTDOWN_TIME = timedelta(seconds=30)
SETTLING_TIME = timedelta(seconds=1)
OBSERVATION_TIME = timedelta(seconds=5)
WATCHED_KEY = "rosa-0"


def recovery_verdict(
    world: World, start: timedelta, guarantee: str = "a key is served again"
) -> Verdict:
    """Return the verdict on whether every kind of call for every key recovered in time."""
    end = world.clock.now()
    return gap_verdict(guarantee, world.traffic.calls, start, end, MAX_RECOVERY_TIME)


def recovery_verdict_without_idempotency(world: World, start: timedelta) -> Verdict:
    """Return the recovery verdict for the calls without an idempotency key."""
    calls = [call for call in world.traffic.calls if not call.plan.has_idempotency_key]
    guarantee = "a key is served again, calls with an idempotency key left out"
    return gap_verdict(guarantee, calls, start, world.clock.now(), MAX_RECOVERY_TIME)


async def drain_verdict(world: World, service: str, server: str) -> Verdict:
    """Return the verdict on whether a draining server stops receiving requests in time."""
    start = world.clock.now()
    await world.pause(MAX_DRAIN_DETECTION_TIME + OBSERVATION_TIME)
    calls_after = [
        call
        for call in world.traffic.calls
        if call.sent_at > start + MAX_DRAIN_DETECTION_TIME and call.plan.service == service
    ]
    detection_deadline = start + MAX_DRAIN_DETECTION_TIME
    sent = [instant for instant in world.refusal_times(server) if instant > detection_deadline]
    return Verdict(
        "a leaving server receives no new work",
        f"none after {MAX_DRAIN_DETECTION_TIME.total_seconds():g} s",
        f"{len(sent)} sent of {len(calls_after)} calls",
        not sent and bool(calls_after),
    )


async def owner_of_key(world: World) -> str:
    """Return the name of the server that owns the watched key."""
    owner: str = (await world.explain(WATCHED_KEY))["owner"]
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


async def ready_within(world: World, entry: str, timeout: timedelta) -> bool:
    """Wait for an instance to become ready, and return whether it did so in time."""
    url = f"{world.deployment.admin_url(entry)}/readyz"

    async def ready() -> Any:
        return await world.deployment.fetch_json(url)

    try:
        await world.wait_for(ready, "ready", timeout)
    except TimeoutError:
        return False
    return True
