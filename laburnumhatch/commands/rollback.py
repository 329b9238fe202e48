"""The command ``rollback``."""

from pathlib import Path

import click

from ..configuration import rollback as rollback_to
from .arguments import PlatformClients, json_option, read_settings, settings_option
from .outcome import ChangeOutcome
from .publishing import publisher_option, run_change, wait_option

__all__ = ["rollback"]


@click.command()
@click.argument("version", type=click.IntRange(1))
@settings_option(required=True)
@publisher_option
@wait_option
@json_option
def rollback(
    version: int, settings_path: Path, publisher: str, wait_s: float, as_json: bool
) -> None:
    """Put the files of the earlier VERSION into force as a new version."""
    settings = read_settings(settings_path)

    async def apply_change(clients: PlatformClients) -> ChangeOutcome:
        return await rollback_to(
            version,
            clock=clients.clock,
            table=clients.table,
            object_store=clients.object_store,
            publisher=publisher,
        )

    run_change(apply_change, settings, wait_s, as_json)
