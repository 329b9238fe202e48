"""The command ``laburnumhatch measure``."""

import json
from dataclasses import asdict
from pathlib import Path

import click

from .comparison import compare_decisions, default_cases
from .report import format_comparisons
from .scenarios import SCENARIOS

__all__ = ["measure"]

DEFAULT_WORKERS = 3


@click.command()
@click.argument("scenario", type=click.Choice([*SCENARIOS, "all"]))
@click.option("--seed", "seeds", type=int, multiple=True, default=(1, 2), show_default=True)
@click.option("--utilization", type=float, help="Offered work divided by the capacity.")
@click.option("--settle", type=float, help="Settle time of the planner, in seconds.")
@click.option("--workers", type=click.IntRange(1, 16), default=DEFAULT_WORKERS, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--figures", type=click.Path(path_type=Path), help="Directory that plots are written to."
)
def measure(
    scenario: str,
    seeds: tuple[int, ...],
    utilization: float | None,
    settle: float | None,
    workers: int,
    as_json: bool,
    figures: Path | None,
) -> None:
    """Compare the planner and the chooser of targets with baselines in SCENARIO.

    The scenario "all" stands for all scenarios. Repeat --seed to average over several seeds.
    """
    names = list(SCENARIOS) if scenario == "all" else [scenario]
    cases = default_cases(names, seeds, utilization, settle, common_only=scenario == "all")
    comparisons = compare_decisions(cases, workers)
    if as_json:
        click.echo(json.dumps([asdict(comparison) for comparison in comparisons], indent=1))
    else:
        click.echo(format_comparisons(comparisons))
    if figures is not None:
        # A module-level import would load the plotting library into every daemon.
        from .plots import plot_comparisons

        plot_comparisons(comparisons, figures)
