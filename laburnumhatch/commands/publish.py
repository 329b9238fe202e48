"""The command ``publish``."""

import getpass
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from ..configuration import publish as publish_files
from .arguments import (
    PlatformClients,
    directories_argument,
    json_option,
    read_routing_files,
    read_settings,
    settings_option,
)
from .coroutines import run_on_reactor
from .outcome import PublishOutcome, exit_code_of, render_outcome

__all__ = ["publish", "publisher_option", "show_outcome"]


def publisher_option(command: Any) -> Any:
    """Add the option ``--publisher``."""
    return click.option(
        "--publisher",
        default=getpass.getuser,
        show_default="the user's name",
        help="Who publishes, for the other operators.",
    )(command)


@click.command()
@directories_argument
@settings_option(required=True)
@publisher_option
@click.option(
    "--expected-version",
    type=click.IntRange(0),
    help="Version that the files are based on; another one in force is a conflict.",
)
@json_option
def publish(
    directories: tuple[Path, ...],
    settings_path: Path,
    publisher: str,
    expected_version: int | None,
    as_json: bool,
) -> None:
    """Put the routing files under DIR... into force, all together."""
    collected = read_routing_files(directories)
    settings = read_settings(settings_path)

    async def run(reactor: Any) -> PublishOutcome:
        clients = PlatformClients(reactor, settings.platform)
        return await publish_files(
            [found.file for found in collected],
            clock=clients.clock,
            table=clients.table,
            object_store=clients.object_store,
            publisher=publisher,
            expected_version=expected_version,
        )

    show_outcome(run_on_reactor(run), as_json)


def show_outcome(outcome: PublishOutcome, as_json: bool) -> None:
    """Print an outcome and end the command with its exit code."""
    code = exit_code_of(outcome)
    if as_json:
        click.echo(json.dumps({"outcome": type(outcome).__name__, **asdict(outcome)}))
    else:
        click.echo(render_outcome(outcome), err=code != 0)
    sys.exit(code)
