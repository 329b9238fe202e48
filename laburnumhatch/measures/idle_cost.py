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
    entries, targets : int
        Numbers of entry instances and targets in the deployment.
    lowest_share, highest_share : float
        Smallest and largest share of a core that one of the instances used.
    megabytes : float
        Resident memory, mean over the instances.
    """

    entries: int
    targets: int
    lowest_share: float
    highest_share: float
    megabytes: float


async def measure_idle_costs(reactor: Any, example: Path, seconds: float) -> list[IdleCost]:
    """Return the cost without requests, by the number of entry instances."""
    clock = ReactorClock(reactor, boot_seconds)
    caller = Caller(reactor, clock)
    costs = [
        await _measure(reactor, clock, caller, example, entries, seconds)
        for entries in ENTRY_COUNTS
    ]
    await caller.close()
    return costs


async def _measure(
    reactor: Any, clock: Clock, caller: Caller, example: Path, entries: int, seconds: float
) -> IdleCost:
    names = [f"entry-{n}" for n in range(1, entries + 1)]
    with (
        tempfile.TemporaryDirectory() as directory,
        ProcessGroup(clock, Path(directory)) as processes,
    ):
        deployment = await start_deployment(processes, caller, example, names)
        await deployment.publish()
        await deployment.entries_ready()
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
            entries=entries,
            targets=len(deployment.targets),
            lowest_share=min(shares),
            highest_share=max(shares),
            megabytes=sum(memory) / len(memory),
        )


def _sleep(reactor: Any, seconds: float) -> Deferred[None]:
    due: Deferred[None] = Deferred()
    reactor.callLater(seconds, due.callback, None)
    return due
