"""Single run of the soak test: environment, planned faults and check of the recovery."""

import random
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from ..clocks import Clock, milliseconds
from ..standins.processes import ProcessGroup
from .callers import KINDS
from .faults import FAULTS, Fault
from .record import Finding
from .world import World, own_network

__all__ = ["SoakResult", "run_soak"]

# Average rate at which faults begin.
FAULTS_A_SECOND = 0.7
# Time after the last fault in which all instances have to serve all kinds again; the users' bound
# on recovery.
RECOVER = milliseconds(15_000)
START_WITHIN = milliseconds(20_000)
CALM_AT_THE_END = milliseconds(2000)
POLL_INTERVAL = milliseconds(100)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of a soak run.

    Attributes
    ----------
    seed : int
    faults : tuple of str
        Planned faults in order, each with its start in seconds.
    calls, answered, grants : int
        Number of requests sent, of requests answered with status 200 and of grants applied.
    restored_after : timedelta
        Time from the end of the last fault until all instances served all kinds.
    findings : tuple of Finding
    """

    seed: int
    faults: tuple[str, ...]
    calls: int
    answered: int
    grants: int
    restored_after: timedelta
    findings: tuple[Finding, ...]


async def run_soak(
    reactor: Any, clock: Clock, seed: int, duration: timedelta, directory: Path, run: int = 0
) -> SoakResult:
    """Run the daemons under the faults of a seed.

    Parameters
    ----------
    reactor
        A Twisted reactor.
    clock : Clock
    seed : int
    duration : timedelta
        Duration in which faults begin.
    directory : Path
        Directory for the output of the processes.
    run : int, optional
        Number of the run in this process, from which its addresses are derived.
    """
    plan = plan_faults(random.Random(seed), duration)
    with ProcessGroup(clock, directory) as processes:
        world = World(reactor, clock, processes, random.Random(seed + 1), own_network(run))
        world.start()
        world.start_callers()
        try:
            await _served_everywhere(world, clock.now(), START_WITHIN)
            await gatherResults(
                [Deferred.fromCoroutine(_fault(world, at, what)) for at, what in plan]
            )
            ended = clock.now()
            await _served_everywhere(world, ended, RECOVER)
            restored_after = clock.now() - ended
            await world.pause(CALM_AT_THE_END)
        finally:
            world.stop()
    return SoakResult(
        seed,
        tuple(f"{at.total_seconds():.1f} {what.__name__}" for at, what in plan),
        len(world.checks.calls),
        world.callers.answered,
        world.checks.grants,
        restored_after,
        tuple(world.checks.findings),
    )


def plan_faults(random_source: random.Random, duration: timedelta) -> list[tuple[timedelta, Fault]]:
    """Return faults, with the times at which they begin, in order."""
    count = max(1, round(duration.total_seconds() * FAULTS_A_SECOND))
    kinds = random_source.choices(list(FAULTS), list(FAULTS.values()), k=count)
    instants = sorted(duration * random_source.random() for _ in kinds)
    return list(zip(instants, kinds, strict=True))


async def _fault(world: World, at: timedelta, fault: Fault) -> None:
    await world.pause(at)
    await fault(world)


async def _served_everywhere(world: World, since: timedelta, within: timedelta) -> None:
    """Wait until each instance has served each kind, and record a finding after a timeout."""
    wanted = [(name, kind.name) for name in world.instances for kind in KINDS]
    missing = wanted
    while missing:
        missing = [w for w in wanted if world.callers.served.get(w, timedelta()) <= since]
        if missing and world.clock.now() - since > within:
            world.checks.not_restored(f"not served: {', '.join(' '.join(w) for w in missing)}")
            return
        await world.pause(POLL_INTERVAL)
