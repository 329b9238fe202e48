"""The command ``check``."""

from collections.abc import Iterable
from pathlib import Path

import click

from ..configuration import CollectedFile
from ..routing import Service
from .arguments import directories_argument, read_routing_files

__all__ = ["check", "render_collected"]


@click.command()
@directories_argument
def check(directories: tuple[Path, ...]) -> None:
    """Check the routing files under DIR... together, without publishing them."""
    click.echo(render_collected(read_routing_files(directories)))


def render_collected(collected: Iterable[CollectedFile]) -> str:
    """Return the text output of the command, one line per service."""
    lines = [_render_service(found.service) for found in collected]
    return "\n".join([*lines, f"services: {len(lines)}, no problems"])


def _render_service(service: Service) -> str:
    ownership = service.ownership
    owned = f"owned slots {ownership.slot_count}" if ownership else "no owners"
    return f"{service.name}: targets {len(service.targets)}, kinds {len(service.kinds)}, {owned}"
