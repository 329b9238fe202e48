"""Command ``laburnumhatch fuzz``."""

import time

import click

__all__ = ["fuzz"]

EXIT_FAILED = 1
EXAMPLES_PER_ROUND = 200


@click.command()
@click.option("--seconds", default=60.0, help="Duration of the whole run.")
@click.option("--seed", default=1, help="Seed of the first round; each round takes the next one.")
def fuzz(seconds: float, seed: int) -> None:
    """Feed generated inputs to all that decodes bytes from outside the process.

    Needs the library hypothesis, which is installed for development only.
    """
    from .runner import fuzz_target
    from .targets import TARGETS

    end, failed, rounds = time.monotonic() + seconds, set[str](), 0
    while time.monotonic() < end and len(failed) < len(TARGETS):
        for name in TARGETS.keys() - failed:
            try:
                fuzz_target(name, seed + rounds, EXAMPLES_PER_ROUND)
            except Exception as e:
                failed.add(name)
                notes = "\n  ".join(getattr(e, "__notes__", ()))
                click.echo(f"{name}, seed {seed + rounds}: {type(e).__name__}: {e}\n  {notes}")
        rounds += 1
    click.echo(f"{rounds} rounds of {len(TARGETS)} targets, {len(failed)} with findings")
    if failed:
        raise SystemExit(EXIT_FAILED)
