"""Options and flow that ``publish`` and ``rollback`` share."""

import getpass
import json
import sys
from collections.abc import Callable, Coroutine
from dataclasses import asdict
from datetime import timedelta
from typing import Any

import click

from ..configuration import (
    InForce,
    NotInForce,
    Published,
    await_in_force,
    http_reported_version,
)
from ..settings import InstanceSettings
from .arguments import PlatformClients
from .coroutines import run_on_reactor
from .outcome import ChangeOutcome, exit_code_of, render_outcome, render_report

__all__ = ["publisher_option", "run_change", "wait_option"]

ChangeFunction = Callable[[PlatformClients], Coroutine[Any, Any, ChangeOutcome]]
Command = Callable[..., Any]
DEFAULT_WAIT_S = 10.0


def publisher_option(command: Command) -> Command:
    """Add the option ``--publisher``."""
    return click.option(
        "--publisher",
        default=getpass.getuser,
        show_default="the user's name",
        help="Name of the publisher, shown to other operators.",
    )(command)


def wait_option(command: Command) -> Command:
    """Add the option ``--wait-s``."""
    return click.option(
        "--wait-s",
        default=DEFAULT_WAIT_S,
        show_default=True,
        type=click.FloatRange(0.0),
        help="Maximum wait, in seconds, until all listed instances report the version.",
    )(command)


def run_change(
    apply_change: ChangeFunction, settings: InstanceSettings, wait_s: float, as_json: bool
) -> None:
    """Apply a change, wait until the instances report it, print the outcome and exit.

    Parameters
    ----------
    apply_change : callable
        Takes the platform's clients, applies the change and returns its outcome.
    settings : InstanceSettings
    wait_s : float
        Maximum wait in seconds.
    as_json : bool
    """

    async def run(reactor: Any) -> tuple[ChangeOutcome, InForce | NotInForce | None]:
        clients = PlatformClients(reactor, settings.platform)
        outcome = await apply_change(clients)
        if not isinstance(outcome, Published):
            return outcome, None
        return outcome, await _await_report(clients, outcome.version, timedelta(seconds=wait_s))

    outcome, report = run_on_reactor(run)
    code = exit_code_of(outcome, report)
    if as_json:
        click.echo(json.dumps(_json_document(outcome, report)))
    else:
        lines = [render_outcome(outcome)] + ([render_report(report)] if report else [])
        click.echo("\n".join(lines), err=code != 0)
    sys.exit(code)


async def _await_report(
    clients: PlatformClients, version: int, timeout: timedelta
) -> InForce | NotInForce:
    return await await_in_force(
        version,
        clock=clients.clock,
        instance_list=clients.instance_list,
        reported_version=http_reported_version(clients.http),
        timeout=timeout,
    )


def _json_document(outcome: ChangeOutcome, report: InForce | NotInForce | None) -> dict[str, Any]:
    document = {"outcome": type(outcome).__name__, **asdict(outcome)}
    if report is not None:
        document["reach"] = {"outcome": type(report).__name__, **asdict(report)}
    return document
