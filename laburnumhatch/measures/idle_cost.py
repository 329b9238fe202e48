"""Processor time and memory that entry instances use while they serve no requests."""

import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from ..clocks import Clock, ReactorClock, boot_seconds
from ..standins.caller import Caller
from ..standins.deployment import start_deployment
from ..standins.processes import ProcessGroup
from .process_usage import processor_seconds, resident_megabytes

__all__ = ["IdleCost", "measure_idle_costs"]

ENTRY_COUNTS = (2, 4, 8)
SETTLE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Cost of an entry instance without requests.

    Attributes
    ----------
    entry_count, target_count : int
        Numbers of entry instances and targets in the deployment.
    min_processor_share, max_processor_share : float
        Smallest and largest share of a core that one of the instances used.
    mean_resident_megabytes : float
        Resident memory, mean over the instances.
    """

    entry_count: int
    target_count: int
    min_processor_share: float
    max_processor_share: float
    mean_resident_megabytes: float


async def measure_idle_costs(reactor: Any, example: Path, seconds: float) -> list[IdleCost]:
    """Return the cost without requests, by the number of entry instances."""
    clock = ReactorClock(reactor, boot_seconds)
    caller = Caller(reactor, clock)
    costs = [
        await _measure(reactor, clock, caller, example, entry_count, seconds)
        for entry_count in ENTRY_COUNTS
    ]
    await caller.close()
    return costs


async def _measure(
    reactor: Any, clock: Clock, caller: Caller, example: Path, entry_count: int, seconds: float
) -> IdleCost:
    names = [f"entry-{n}" for n in range(1, entry_count + 1)]
    with (
        tempfile.TemporaryDirectory() as directory,
        ProcessGroup(clock, Path(directory)) as processes,
    ):
        deployment = await start_deployment(processes, caller, example, names)
        await deployment.publish()
        await deployment.wait_until_entries_ready()
        await _sleep(reactor, SETTLE_SECONDS)
        children = list(deployment.entries.values())
        before = [processor_seconds(child) for child in children]
        started = clock.now()
        await _sleep(reactor, seconds)
        elapsed = (clock.now() - started).total_seconds()
        shares = [
            (processor_seconds(child) - used) / elapsed
            for child, used in zip(children, before, strict=True)
        ]
        memory = [resident_megabytes(child) for child in children]
        return IdleCost(
            entry_count=entry_count,
            target_count=len(deployment.targets),
            min_processor_share=min(shares),
            max_processor_share=max(shares),
            mean_resident_megabytes=sum(memory) / len(memory),
        )


def _sleep(reactor: Any, seconds: float) -> Deferred[None]:
    delay: Deferred[None] = Deferred()
    reactor.callLater(seconds, delay.callback, None)
    return delay
