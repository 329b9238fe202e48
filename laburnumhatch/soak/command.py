"""Command ``laburnumhatch soak``."""

import secrets
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import Any

import click
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from ..clocks import Clock, ReactorClock, boot_seconds
from ..entry.numeric_resolver import NumericResolver
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
def soak(seeds: tuple[int, ...], seconds: float, fresh: float | None, logs: Path | None) -> None:
    """Run the daemons under injected faults and check the guarantees.

    SEEDS are the seeds of the runs; the same seed produces the same faults.
    """
    if not seeds and fresh is None:
        raise click.UsageError("give seeds, or --fresh MINUTES")
    duration = timedelta(seconds=seconds)
    react(lambda r: Deferred.fromCoroutine(_run_seeds(r, seeds, duration, fresh, logs)))


async def _run_seeds(
    reactor: Any,
    seeds: tuple[int, ...],
    duration: timedelta,
    fresh: float | None,
    logs: Path | None,
) -> None:
    reactor.installNameResolver(NumericResolver())
    clock = ReactorClock(reactor, boot_seconds)
    end = clock.now() + timedelta(minutes=fresh or 0)
    pending_seeds, failed_count, run_count = list(seeds), 0, 0
    while pending_seeds or clock.now() < end:
        seed = pending_seeds.pop(0) if pending_seeds else secrets.randbits(SEED_BITS)
        result = await _run_seed(reactor, clock, seed, duration, logs, run_count)
        run_count += 1
        failed_count += bool(result.findings)
    click.echo(f"{run_count} runs, {failed_count} with findings")
    if failed_count:
        raise SystemExit(EXIT_FAILED)


async def _run_seed(
    reactor: Any, clock: Clock, seed: int, duration: timedelta, logs: Path | None, run_number: int
) -> SoakResult:
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(temporary) if logs is None else logs / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        result = await run_soak(reactor, clock, seed, duration, directory, run_number)
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
