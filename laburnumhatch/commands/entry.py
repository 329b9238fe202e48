"""The command ``entry``."""

import sys
from pathlib import Path

import click

from ..entry.daemon import run
from .arguments import read_settings

__all__ = ["entry"]


@click.command()
@click.option("--settings", "path", required=True, type=click.Path(path_type=Path))
def entry(path: Path) -> None:
    """Run an entry instance until SIGTERM."""
    sys.exit(run(read_settings(path)))
