"""Failures, each brought about in a running deployment."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from ..clocks import milliseconds
from ..commands.exit_codes import ExitCode
from .verdict import Verdict, claims_verdict, gap_verdict
from .world import ENTRIES, FREE_SERVICE, OWNED_SERVICE, World

__all__ = ["SCENARIOS", "Scenario"]

SERVED_AGAIN_WITHIN = timedelta(seconds=3)
LEAVER_SPARED_WITHIN = timedelta(seconds=3)
IN_FORCE_WITHIN = timedelta(seconds=10)
STOPPED_WITHIN = timedelta(seconds=30)
CALM = timedelta(seconds=1)
FREEZE = timedelta(seconds=7)
OUTAGE = timedelta(seconds=12)
RACE_MS = 1000
SLOW_MS = 3000
AFTERMATH = timedelta(seconds=5)
KEY = "rosa-0"
WATCHED_SERVER = "booking-1"
EXTRA_ENTRY = "entry-4"


Run = Callable[[World], Awaitable[list[Verdict]]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A failure and its verdicts.

    Attributes
    ----------
    name : str
    failure : str
        What is brought about.
    checks_fencing : bool
        Whether the servers that own keys check fencing tokens.
    run : callable
        Brings the failure about in a `World` and returns the verdicts of its own.
    """

    name: str
    failure: str
    checks_fencing: bool
    run: Run


async def kill_owner(world: World) -> list[Verdict]:
    """Kill the server that owns a key."""
    start = world.clock.now()
    world.kill_server(OWNED_SERVICE, await _owner(world))
    await world.pause(AFTERMATH)
    return [_served(world, start)]


async def freeze_owner(world: World) -> list[Verdict]:
    """Freeze the server that owns a key, and let it return."""
    start = world.clock.now()
    server = world.server(OWNED_SERVICE, await _owner(world))
    server.freeze()
    await world.pause(FREEZE)
    server.thaw()
    await world.pause(AFTERMATH)
    return [_served(world, start)]


async def kill_coordinator(world: World) -> list[Verdict]:
    """Kill the coordinator of the owned service."""
    start = world.clock.now()
    world.deployment.entries[await world.coordinator()].kill()
    await world.pause(AFTERMATH)
    return [_served(world, start)]


async def freeze_coordinator(world: World) -> list[Verdict]:
    """Freeze the coordinator, lose a server meanwhile, and let the coordinator return."""
    start = world.clock.now()
    coordinator = world.deployment.entries[await world.coordinator()]
    owner = await _owner(world)
    coordinator.freeze()
    await world.pause(SERVED_AGAIN_WITHIN)
    world.kill_server(OWNED_SERVICE, owner)
    await world.pause(FREEZE - SERVED_AGAIN_WITHIN)
    coordinator.thaw()
    await world.pause(AFTERMATH)
    return [_served(world, start)]


def fail_platform(begin: Callable[[World], Awaitable[None]]) -> Run:
    """Return a run in which the platform fails for longer than any lease."""

    async def run(world: World) -> list[Verdict]:
        start = world.clock.now()
        await begin(world)
        await world.pause(OUTAGE)
        end = world.clock.now()
        await world.platform_down(False)
        await world.pause(AFTERMATH)
        return [_served_unclaimed(world, start), claims_verdict(world.traffic.calls, start, end)]

    return run


def lose_in_outage(find_loss: Callable[[World], Awaitable[Callable[[], None]]]) -> Run:
    """Return a run in which a process is lost while the platform is down."""

    async def run(world: World) -> list[Verdict]:
        lose = await find_loss(world)
        await world.platform_down(True)
        await world.pause(CALM)
        lose()
        await world.pause(OUTAGE)
        restored = world.clock.now()
        await world.platform_down(False)
        await world.pause(AFTERMATH)
        return [_served(world, restored, "served again after the outage")]

    return run


async def take_platform_down(world: World) -> None:
    """Let every call to the platform fail."""
    await world.platform_down(True)


async def slow_platform_down(world: World) -> None:
    """Let every call to the platform take longer than its timeout."""
    slow = {"slow_ms": SLOW_MS}
    await world.platform_faults(table=slow, objects=slow, instances=slow)


async def coordinator_loss(world: World) -> Callable[[], None]:
    """Return what kills the coordinator."""
    return world.deployment.entries[await world.coordinator()].kill


async def owner_loss(world: World) -> Callable[[], None]:
    """Return what kills the server that owns a key."""
    return partial(world.kill_server, OWNED_SERVICE, await _owner(world))


async def lost_replies_and_server(world: World) -> list[Verdict]:
    """Lose the replies to the table's writes while a server is lost."""
    start = world.clock.now()
    owner = await _owner(world)
    await world.platform_faults(table={"lost_replies": 2})
    world.kill_server(OWNED_SERVICE, owner)
    await world.pause(AFTERMATH)
    return [_served(world, start)]


async def stop_entry(world: World) -> list[Verdict]:
    """Stop each entry instance in turn by SIGTERM, twice signalled, the coordinator included."""
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
        _served(world, start),
    ]


async def drain_server(world: World) -> list[Verdict]:
    """Let a server drain while its health endpoint still says ready."""
    await world.server_faults(FREE_SERVICE, WATCHED_SERVER, draining=True, health="ready")
    return [await _spared(world, FREE_SERVICE, WATCHED_SERVER)]


async def drain_owner(world: World) -> list[Verdict]:
    """Let a server that owns keys drain."""
    start = world.clock.now()
    owner = await _owner(world)
    await world.server_faults(OWNED_SERVICE, owner, draining=True)
    spared = await _spared(world, OWNED_SERVICE, owner)
    return [spared, _served(world, start)]


async def publish_with_lost_reply(world: World) -> list[Verdict]:
    """Lose the reply to the write that puts a configuration into force."""
    await world.platform_faults(table={"lost_replies": 1})
    start = world.clock.now()
    command = await world.publish_changed(2.0)
    took = world.clock.now() - start
    versions = [await _version(world, name) for name in ENTRIES]
    everywhere = command.exit_code == 0 and len(set(versions)) == 1 and versions[0] >= 2
    return [
        Verdict(
            "in force everywhere within seconds",
            f"{IN_FORCE_WITHIN.total_seconds():g} s",
            f"{took.total_seconds():.2f} s, versions {versions}, exit {command.exit_code}",
            everywhere and took <= IN_FORCE_WITHIN,
        )
    ]


async def racing_publishers(world: World) -> list[Verdict]:
    """Publish two different changes at the same time."""
    base = ("--expected-version", str(await _version(world, ENTRIES[0])))
    # Slow enough that both may read the same version before either writes.
    await world.platform_faults(table={"slow_ms": RACE_MS})
    commands = [
        Deferred.fromCoroutine(world.publish_changed(weight, *base)) for weight in (2.0, 3.0)
    ]
    codes = sorted(child.exit_code or 0 for child in await gatherResults(commands))
    versions = [await _version(world, name) for name in ENTRIES]
    held = codes == [0, int(ExitCode.CONFLICT)] and len(set(versions)) == 1
    return [
        Verdict(
            "one of two racing publishers wins",
            f"exits 0 and {int(ExitCode.CONFLICT)}",
            f"exits {codes}, versions {versions}",
            held,
        )
    ]


async def start_in_outage(world: World) -> list[Verdict]:
    """Replace an entry instance while the platform is down."""
    await world.platform_down(True)
    old = world.deployment.entries[EXTRA_ENTRY]
    old.signal(signal.SIGTERM)
    await world.wait(lambda: old.exit_code is not None, "exit", STOPPED_WITHIN)
    start = world.clock.now()
    await world.restart_entry(EXTRA_ENTRY)
    ready = await _ready_within(world, EXTRA_ENTRY, IN_FORCE_WITHIN)
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


async def frozen_entry_and_publish(world: World) -> list[Verdict]:
    """Freeze an entry instance, publish, and let it return."""
    entry = world.deployment.entries[EXTRA_ENTRY]
    before = await _version(world, EXTRA_ENTRY)
    entry.freeze()
    await world.publish_changed(4.0)
    entry.thaw()
    start = world.clock.now()
    await world.wait(lambda: _has_version(world, EXTRA_ENTRY, before + 1), "version")
    took = world.clock.now() - start
    await world.pause(CALM)
    await _version(world, EXTRA_ENTRY)
    falling = [n for n, seen in world.samples.items() if seen != sorted(seen)]
    return [
        Verdict("a configuration never reverts", "none", f"{len(falling)} fell", not falling),
        Verdict(
            "in force everywhere within seconds",
            f"{IN_FORCE_WITHIN.total_seconds():g} s",
            f"{took.total_seconds():.2f} s after the return",
            took <= IN_FORCE_WITHIN,
        ),
    ]


async def slow_servers(world: World) -> list[Verdict]:
    """Let answers come late, some after their deadline, and cut others short."""
    for server in ("booking-1", "booking-2"):
        await world.server_faults(FREE_SERVICE, server, slow_ms=900, cut_answers=5)
    await world.pause(AFTERMATH)
    return []


def _served(world: World, start: timedelta, promise: str = "a key is served again") -> Verdict:
    end = world.clock.now()
    return gap_verdict(promise, world.traffic.calls, start, end, SERVED_AGAIN_WITHIN)


def _served_unclaimed(world: World, start: timedelta) -> Verdict:
    calls = [call for call in world.traffic.calls if not call.plan.claimed]
    promise = "a key is served again, calls with an idempotency key left out"
    return gap_verdict(promise, calls, start, world.clock.now(), SERVED_AGAIN_WITHIN)


async def _spared(world: World, service: str, server: str) -> Verdict:
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


async def _owner(world: World) -> str:
    owner: str = (await world.explain(KEY))["owner"]
    return owner


async def _version(world: World, entry: str) -> int:
    status = await world.status(entry)
    version: int = status["configuration"]["version"]
    return version


async def _has_version(world: World, entry: str, version: int) -> bool:
    status = await world.status(entry)
    return bool(status) and status["configuration"]["version"] >= version


async def _ready_within(world: World, entry: str, within: timedelta) -> bool:
    url = f"{world.deployment.admin_url(entry)}/readyz"

    async def ready() -> Any:
        return await world.deployment.fetch(url)

    try:
        await world.wait(ready, "ready", within)
    except TimeoutError:
        return False
    return True


SCENARIOS = (
    Scenario("kill-owner", "kill a server that owns keys", False, kill_owner),
    Scenario("freeze-owner", "freeze a server that owns keys, then thaw it", True, freeze_owner),
    Scenario("kill-coordinator", "kill the coordinator", False, kill_coordinator),
    Scenario(
        "freeze-coordinator",
        "freeze the coordinator, kill a server, thaw the coordinator",
        False,
        freeze_coordinator,
    ),
    Scenario("platform-outage", "platform down for 12 s", False, fail_platform(take_platform_down)),
    Scenario(
        "platform-slow",
        "platform slower than its timeout",
        False,
        fail_platform(slow_platform_down),
    ),
    Scenario(
        "outage-and-coordinator",
        "platform down, then kill the coordinator",
        False,
        lose_in_outage(coordinator_loss),
    ),
    Scenario(
        "outage-and-server", "platform down, then kill a server", False, lose_in_outage(owner_loss)
    ),
    Scenario(
        "lost-replies-and-server",
        "kill a server while replies to table writes are lost",
        True,
        lost_replies_and_server,
    ),
    Scenario("stop-entry", "SIGTERM, twice, to two entry instances", False, stop_entry),
    Scenario("drain-server", "drain a server whose health says ready", False, drain_server),
    Scenario("drain-owner", "drain a server that owns keys", False, drain_owner),
    Scenario(
        "publish-lost-reply", "lose the reply to the publication", False, publish_with_lost_reply
    ),
    Scenario("racing-publishers", "two operators publish at once", False, racing_publishers),
    Scenario("start-in-outage", "replace an instance in an outage", False, start_in_outage),
    Scenario(
        "frozen-entry-and-publish",
        "freeze an instance, publish, thaw it",
        False,
        frozen_entry_and_publish,
    ),
    Scenario("slow-servers", "late and cut answers", False, slow_servers),
)
