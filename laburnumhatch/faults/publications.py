"""Scenarios that publish a configuration under a fault."""

from twisted.internet.defer import Deferred, gatherResults

from ..commands.exit_codes import ExitCode
from .verdict import Verdict
from .watching import MAX_PUBLICATION_TIME, SETTLING_TIME, has_version, version_of
from .world import ENTRIES, World

__all__ = ["frozen_entry_and_publish", "publish_with_lost_reply", "racing_publishers"]

TABLE_DELAY_MS = 1000
EXTRA_ENTRY = "entry-4"


async def publish_with_lost_reply(world: World) -> list[Verdict]:
    """Drop the reply to the write that puts a configuration into force."""
    await world.set_platform_faults(table={"lost_replies": 1})
    start = world.clock.now()
    command = await world.publish_changed(2.0)
    took = world.clock.now() - start
    versions = [await version_of(world, name) for name in ENTRIES]
    everywhere = command.exit_code == 0 and len(set(versions)) == 1 and versions[0] >= 2
    return [
        Verdict(
            "in force everywhere within seconds",
            f"{MAX_PUBLICATION_TIME.total_seconds():g} s",
            f"{took.total_seconds():.2f} s, versions {versions}, exit {command.exit_code}",
            everywhere and took <= MAX_PUBLICATION_TIME,
        )
    ]


async def racing_publishers(world: World) -> list[Verdict]:
    """Publish two different changes concurrently."""
    base = ("--expected-version", str(await version_of(world, ENTRIES[0])))
    # The delay lets both publishers read the same version before either of them writes.
    await world.set_platform_faults(table={"slow_ms": TABLE_DELAY_MS})
    commands = [
        Deferred.fromCoroutine(world.publish_changed(weight, *base)) for weight in (2.0, 3.0)
    ]
    codes = sorted(child.exit_code or 0 for child in await gatherResults(commands))
    versions = [await version_of(world, name) for name in ENTRIES]
    held = codes == [0, int(ExitCode.CONFLICT)] and len(set(versions)) == 1
    return [
        Verdict(
            "one of two racing publishers wins",
            f"exits 0 and {int(ExitCode.CONFLICT)}",
            f"exits {codes}, versions {versions}",
            held,
        )
    ]


async def frozen_entry_and_publish(world: World) -> list[Verdict]:
    """Freeze an entry instance, publish a configuration, and thaw the instance."""
    entry = world.deployment.entries[EXTRA_ENTRY]
    before = await version_of(world, EXTRA_ENTRY)
    entry.freeze()
    await world.publish_changed(4.0)
    entry.thaw()
    start = world.clock.now()
    await world.wait_for(lambda: has_version(world, EXTRA_ENTRY, before + 1), "version")
    took = world.clock.now() - start
    await world.pause(SETTLING_TIME)
    await version_of(world, EXTRA_ENTRY)
    reverted_entries = [n for n, seen in world.reported_versions.items() if seen != sorted(seen)]
    return [
        Verdict(
            "a configuration never reverts",
            "none",
            f"{len(reverted_entries)} fell",
            not reverted_entries,
        ),
        Verdict(
            "in force everywhere within seconds",
            f"{MAX_PUBLICATION_TIME.total_seconds():g} s",
            f"{took.total_seconds():.2f} s after the return",
            took <= MAX_PUBLICATION_TIME,
        ),
    ]
