"""Command ``laburnumhatch soak``."""

import secrets
import tempfile
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

import click
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from ..clocks import Clock, ReactorClock, boot_seconds
from ..entry.numeric_resolver import NumericResolver
from .production import ProductionBuild, Replacement, extract_build, is_in_history
from .run import SoakResult, run_soak

__all__ = ["soak"]

EXIT_FAILED = 1
SEED_BITS = 40
DEFAULT_SECONDS = 20.0


@click.command()
@click.argument("seeds", nargs=-1, type=int)
@click.option("--seconds", default=DEFAULT_SECONDS, help="Duration in which faults begin.")
@click.option("--fresh", type=float, metavar="MINUTES", help="Run random seeds for this duration.")
@click.option(
    "--logs",
    type=click.Path(path_type=Path),
    help="Directory that keeps the output of the processes.",
)
@click.option(
    "--production", metavar="COMMIT", help="Run instances of a former build beside present ones."
)
@click.option(
    "--replacement",
    type=click.Choice([r.value for r in Replacement]),
    default=Replacement.FORWARD.value,
    help="All begin with the former build, go back to it, or every other one runs it.",
)
def soak(
    seeds: tuple[int, ...],
    seconds: float,
    fresh: float | None,
    logs: Path | None,
    production: str | None,
    replacement: str,
) -> None:
    """Run the daemons under injected faults and check the guarantees.

    SEEDS are the seeds of the runs; the same seed produces the same faults.
    """
    if not seeds and fresh is None:
        raise click.UsageError("give seeds, or --fresh MINUTES")
    duration = timedelta(seconds=seconds)
    with tempfile.TemporaryDirectory() as directory:
        build = None
        if production is not None:
            if not is_in_history(production):
                raise click.UsageError(f"the repository doesn't hold {production}")
            build = ProductionBuild(
                extract_build(production, Path(directory)), Replacement(replacement)
            )
        plan = _Plan(seeds, duration, fresh, logs, build)
        react(lambda r: Deferred.fromCoroutine(_run_seeds(r, plan)))


@dataclass(frozen=True, slots=True)
class _Plan:
    seeds: tuple[int, ...]
    duration: timedelta
    fresh_minutes: float | None
    logs: Path | None
    production: ProductionBuild | None


async def _run_seeds(reactor: Any, plan: _Plan) -> None:
    reactor.installNameResolver(NumericResolver())
    clock = ReactorClock(reactor, boot_seconds)
    end = clock.now() + timedelta(minutes=plan.fresh_minutes or 0)
    pending_seeds, failed_count, run_count = list(plan.seeds), 0, 0
    while pending_seeds or clock.now() < end:
        seed = pending_seeds.pop(0) if pending_seeds else secrets.randbits(SEED_BITS)
        result = await _run_seed(reactor, clock, seed, plan, run_count)
        run_count += 1
        failed_count += bool(result.findings)
    click.echo(f"{run_count} runs, {failed_count} with findings")
    if failed_count:
        raise SystemExit(EXIT_FAILED)


async def _run_seed(
    reactor: Any, clock: Clock, seed: int, plan: _Plan, run_number: int
) -> SoakResult:
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(temporary) if plan.logs is None else plan.logs / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        result = await run_soak(
            reactor, clock, seed, plan.duration, directory, run_number, plan.production
        )
    _print_result(result)
    return result


def _print_result(result: SoakResult) -> None:
    click.echo(
        f"seed {result.seed}: {result.answered_count} of {result.call_count} calls answered, "
        f"{result.grant_count} grants, "
        f"service restored {result.recovery_time.total_seconds():.1f} s after the last fault, "
        f"{len(result.findings)} findings"
    )
    if result.findings:
        click.echo("  faults: " + ", ".join(result.faults))
    for finding in result.findings:
        click.echo(f"  {finding.rule} at {finding.found_at.total_seconds():.3f}: {finding.text}")
