"""The command ``rollback``."""

from pathlib import Path
from typing import Any

import click

from ..configuration import rollback as rollback_to
from .arguments import PlatformClients, json_option, read_settings, settings_option
from .coroutines import run_on_reactor
from .outcome import PublishOutcome
from .publish import publisher_option, show_outcome

__all__ = ["rollback"]


@click.command()
@click.argument("version", type=click.IntRange(1))
@settings_option(required=True)
@publisher_option
@json_option
def rollback(version: int, settings_path: Path, publisher: str, as_json: bool) -> None:
    """Put the files of VERSION into force again, as a new and higher version."""
    settings = read_settings(settings_path)

    async def run(reactor: Any) -> PublishOutcome:
        clients = PlatformClients(reactor, settings.platform)
        return await rollback_to(
            version,
            clock=clients.clock,
            table=clients.table,
            object_store=clients.object_store,
            publisher=publisher,
        )

    show_outcome(run_on_reactor(run), as_json)
