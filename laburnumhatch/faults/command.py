"""The command ``laburnumhatch faults``."""

import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from ..clocks import Clock, ReactorClock, boot_seconds
from ..standins.caller import Caller
from ..standins.processes import ProcessGroup
from .scenario import Scenario
from .scenarios import SCENARIOS
from .verdict import Verdict, common_verdicts
from .world import OWNED_SERVICE, start_world

__all__ = ["faults"]

FAILED = 1


@dataclass
class _VerdictCounts:
    held_count: int = 0
    broken_count: int = 0


@click.command()
@click.argument("names", nargs=-1)
def faults(names: tuple[str, ...]) -> None:
    """Inject faults into real processes, and print a verdict for each guarantee.

    NAMES are the scenarios to run; all by default.
    """
    known = {scenario.name: scenario for scenario in SCENARIOS}
    unknown = [name for name in names if name not in known]
    if unknown:
        raise click.UsageError(
            f"unknown scenario {unknown[0]}; known scenarios: {', '.join(known)}"
        )
    chosen = [known[name] for name in names] or list(SCENARIOS)
    verdict_counts = _VerdictCounts()
    # `react` runs the event loop and exits the process with the exit code of the coroutine.
    react(lambda reactor: Deferred.fromCoroutine(_run_all(reactor, chosen, verdict_counts)))


async def _run_all(
    reactor: Any, scenarios: Sequence[Scenario], verdict_counts: _VerdictCounts
) -> None:
    clock = ReactorClock(reactor, boot_seconds)
    for scenario in scenarios:
        for verdict in await _run_or_fail(reactor, clock, scenario):
            _print_verdict(scenario, verdict)
            if verdict.holds:
                verdict_counts.held_count += 1
            else:
                verdict_counts.broken_count += 1
    click.echo(f"{verdict_counts.held_count} held, {verdict_counts.broken_count} broken")
    if verdict_counts.broken_count:
        raise SystemExit(FAILED)


async def _run_or_fail(reactor: Any, clock: Clock, scenario: Scenario) -> list[Verdict]:
    try:
        return await _run(reactor, clock, scenario)
    except Exception as e:
        return [Verdict("the run comes to its end", "no error", f"{type(e).__name__}: {e}", False)]


async def _run(reactor: Any, clock: Clock, scenario: Scenario) -> list[Verdict]:
    caller = Caller(reactor, clock)
    with (
        tempfile.TemporaryDirectory() as directory,
        ProcessGroup(clock, Path(directory)) as processes,
    ):
        world = await start_world(clock, caller, processes, checks_fencing=scenario.checks_fencing)
        scenario_verdicts = await scenario.run(world)
        await world.traffic.stop()
        world.balancer.stop()
        shared_verdicts = common_verdicts(world.traffic.calls, world.server_runs(), OWNED_SERVICE)
        await caller.close()
    return [*scenario_verdicts, *shared_verdicts]


def _print_verdict(scenario: Scenario, verdict: Verdict) -> None:
    word = "held" if verdict.holds else "BROKEN"
    click.echo(
        f"{scenario.name}: {verdict.guarantee}; bound {verdict.bound};"
        f" seen {verdict.observed}; {word}"
    )
    sys.stdout.flush()
