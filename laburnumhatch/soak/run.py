"""Single run of the soak test: environment, planned faults and check of the recovery."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from ..clocks import Clock, milliseconds
from ..standins.processes import ProcessGroup
from .callers import KINDS
from .faults import ANNOUNCEMENT_WEIGHTS, FAULT_WEIGHTS, REQUEST_WEIGHTS, Fault
from .network import reserve_network
from .production import ProductionBuild
from .record import Finding
from .world import World

__all__ = ["SoakResult", "run_soak"]

# Average rates at which faults begin.
FAULTS_PER_SECOND = 0.7
ANNOUNCEMENTS_PER_SECOND = 0.15
HARMFUL_REQUESTS_PER_SECOND = 0.1
# Time after the last fault in which all instances have to serve all kinds again; the users' bound
# on recovery.
RECOVERY_TIMEOUT = milliseconds(15_000)
START_TIMEOUT = milliseconds(20_000)
FINAL_PAUSE = milliseconds(2000)
POLL_INTERVAL = milliseconds(100)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of a soak run.

    Attributes
    ----------
    seed : int
    faults : tuple of str
        Planned faults in order, each with its start in seconds.
    call_count, answered_count, grant_count : int
        Number of requests sent, of requests answered with status 200 and of grants applied.
    recovery_time : timedelta
        Time from the end of the last fault until all instances served all kinds.
    findings : tuple of Finding
    """

    seed: int
    faults: tuple[str, ...]
    call_count: int
    answered_count: int
    grant_count: int
    recovery_time: timedelta
    findings: tuple[Finding, ...]


async def run_soak(
    reactor: Any,
    clock: Clock,
    seed: int,
    duration: timedelta,
    directory: Path,
    run_number: int = 0,
    production: ProductionBuild | None = None,
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
    run_number : int, optional
        Number of the run in this process, from which its addresses are derived.
    production : ProductionBuild, optional
        Former build that some instances run.
    """
    plan = plan_faults(random.Random(seed), duration) + plan_faults(
        random.Random(f"{seed}/announcements"),
        duration,
        ANNOUNCEMENT_WEIGHTS,
        ANNOUNCEMENTS_PER_SECOND,
    )
    plan += plan_faults(
        random.Random(f"{seed}/requests"), duration, REQUEST_WEIGHTS, HARMFUL_REQUESTS_PER_SECOND
    )
    with reserve_network(run_number) as network, ProcessGroup(clock, directory) as processes:
        world = World(reactor, clock, processes, random.Random(seed + 1), network, production)
        world.start()
        world.start_callers()
        try:
            await _wait_until_served(world, clock.now(), START_TIMEOUT)
            activities = [_run_fault(world, starts_at, fault) for starts_at, fault in plan]
            if production is not None and production.is_rolled:
                activities.append(_replace_instances(world, duration))
            await gatherResults([Deferred.fromCoroutine(a) for a in activities])
            ended_at = clock.now()
            await _wait_until_served(world, ended_at, RECOVERY_TIMEOUT)
            recovery_time = clock.now() - ended_at
            await world.sleep(FINAL_PAUSE)
        finally:
            world.stop()
    return SoakResult(
        seed,
        tuple(f"{starts_at.total_seconds():.1f} {fault.__name__}" for starts_at, fault in plan),
        len(world.checks.calls),
        world.callers.answered_count,
        world.checks.grant_count,
        recovery_time,
        tuple(world.checks.findings),
    )


def plan_faults(
    random_source: random.Random,
    duration: timedelta,
    weights: Mapping[Fault, int] = FAULT_WEIGHTS,
    per_second: float = FAULTS_PER_SECOND,
) -> list[tuple[timedelta, Fault]]:
    """Return faults, with the times at which they begin, in order."""
    count = max(1, round(duration.total_seconds() * per_second))
    faults = random_source.choices(list(weights), list(weights.values()), k=count)
    start_times = sorted(duration * random_source.random() for _ in faults)
    return list(zip(start_times, faults, strict=True))


async def _run_fault(world: World, starts_at: timedelta, fault: Fault) -> None:
    await world.sleep(starts_at)
    await fault(world)


async def _replace_instances(world: World, duration: timedelta) -> None:
    """Restart the instances one after the other."""
    for instance in list(world.instances.values()):
        await world.sleep(duration / (len(world.instances) + 1))
        if not instance.start_count:
            await world.stop_and_restart(instance)


async def _wait_until_served(world: World, since: timedelta, timeout: timedelta) -> None:
    """Wait until each instance has served each kind, and record a finding after a timeout."""
    expected = [(name, kind.name) for name in world.instances for kind in KINDS]
    missing = expected
    while missing:
        missing = [w for w in expected if world.callers.last_served_at.get(w, timedelta()) <= since]
        if missing and world.clock.now() - since > timeout:
            world.checks.on_recovery_timeout(
                f"not served: {', '.join(' '.join(w) for w in missing)}"
            )
            return
        await world.sleep(POLL_INTERVAL)
