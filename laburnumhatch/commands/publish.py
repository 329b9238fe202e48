"""The command ``publish``."""

from pathlib import Path

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
from .outcome import ChangeOutcome
from .publishing import publisher_option, run_change, wait_option

__all__ = ["publish"]


@click.command()
@directories_argument
@settings_option(required=True)
@publisher_option
@click.option(
    "--expected-version",
    type=click.IntRange(0),
    help="Version that the files are based on; a different version in force is a conflict.",
)
@wait_option
@json_option
def publish(
    directories: tuple[Path, ...],
    settings_path: Path,
    publisher: str,
    expected_version: int | None,
    wait_s: float,
    as_json: bool,
) -> None:
    """Put all routing files under DIR... into force as one new version."""
    collected = read_routing_files(directories)
    settings = read_settings(settings_path)

    async def apply_change(clients: PlatformClients) -> ChangeOutcome:
        return await publish_files(
            [found.file for found in collected],
            clock=clients.clock,
            table=clients.table,
            object_store=clients.object_store,
            publisher=publisher,
            expected_version=expected_version,
        )

    run_change(apply_change, settings, wait_s, as_json)
