"""The command ``laburnumhatch bench``."""

from pathlib import Path

import click

from ..commands.coroutines import run_on_reactor
from .bare_proxy import run_bare_proxy
from .decision_cost import measure_choices, measure_meter, measure_plans
from .idle_cost import measure_idle_costs
from .request_cost import RequestCost, measure_request_cost

__all__ = ["bench"]

TARGET_COUNTS = (15, 1_000, 100_000)
SLOT_COUNTS = (1_024, 32_768, 1_000_000)
PROCESSOR_TIME_RATIO_TARGET = 1.25
DEFAULT_EXAMPLE = Path("examples/duefjaer")


@click.group(invoke_without_command=True)
@click.option("--requests", default=2_000, show_default=True, help="Requests in each turn.")
@click.option("--turns", default=5, show_default=True, help="Turns of each measured process.")
@click.option(
    "--example",
    default=DEFAULT_EXAMPLE,
    type=click.Path(exists=True, path_type=Path),
    show_default=True,
)
@click.pass_context
def bench(context: click.Context, requests: int, turns: int, example: Path) -> None:
    """Compare the cost of a request with that of a bare proxy, and time the decisions."""
    if context.invoked_subcommand is not None:
        return
    costs = run_on_reactor(lambda reactor: measure_request_cost(reactor, example, requests, turns))
    _print_request_costs(costs)
    _print_decision_costs()


@bench.command()
@click.argument("upstream")
@click.option("--host", default="127.0.0.1", show_default=True)
def proxy(upstream: str, host: str) -> None:
    """Run the bare proxy in front of the URL UPSTREAM."""
    run_bare_proxy(upstream, host)


@bench.command()
@click.option(
    "--seconds",
    default=5.0,
    show_default=True,
    help="Duration of the measurement, without requests.",
)
@click.option(
    "--example",
    default=DEFAULT_EXAMPLE,
    type=click.Path(exists=True, path_type=Path),
    show_default=True,
)
def idle(seconds: float, example: Path) -> None:
    """Measure the processor time and memory that entry instances use without requests."""
    costs = run_on_reactor(lambda reactor: measure_idle_costs(reactor, example, seconds))
    for cost in costs:
        click.echo(
            f"{cost.entry_count} entries, {cost.target_count} targets: processor share of an entry "
            f"{cost.min_processor_share:.2%} to {cost.max_processor_share:.2%}, "
            f"resident {cost.mean_resident_megabytes:.0f} MB"
        )


def _print_request_costs(costs: list[RequestCost]) -> None:
    bare = costs[0].median_microseconds
    for cost in costs:
        turns = " ".join(f"{microseconds:.0f}" for microseconds in cost.microseconds)
        click.echo(
            f"{cost.name:18}{cost.median_microseconds:8.0f} us of processor time a request, "
            f"ratio {cost.median_microseconds / bare:.2f} (target {PROCESSOR_TIME_RATIO_TARGET}), "
            f"without control {cost.microseconds_without_control:.0f} us and "
            f"{cost.microseconds_without_control / costs[0].microseconds_without_control:.2f}, "
            f"control {cost.idle_share:.1%} of a core, "
            f"{cost.requests_per_second:.0f} requests/s, "
            f"{cost.failures} of {cost.requests} failed; "
            f"turns: {turns}"
        )


def _print_decision_costs() -> None:
    for cost in measure_choices(TARGET_COUNTS):
        click.echo(
            f"choice among {cost.size:>9} targets {cost.microseconds:10.1f} us"
            f" (first of a configuration {cost.first_microseconds:.0f} us)"
        )
    for cost in measure_plans(SLOT_COUNTS):
        click.echo(f"plan of {cost.size:>9} slots {cost.microseconds / 1000.0:10.1f} ms")
    for slots in SLOT_COUNTS:
        record, report = measure_meter(slots)
        click.echo(
            f"load meter of {slots:>9} slots: record {record:.2f} us, report {report:.0f} us"
        )
