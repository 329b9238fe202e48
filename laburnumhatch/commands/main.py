"""The command ``laburnumhatch``."""

import click

from ..faults.command import faults
from ..measures.command import measure
from .check import check
from .diff import diff
from .entry import entry
from .explain import explain
from .publish import publish
from .rollback import rollback
from .standin import standin
from .status import status

__all__ = ["main"]


@click.group()
def main() -> None:
    """Route keyed requests to the servers that own their keys."""


for command in (check, diff, entry, explain, faults, measure, publish, rollback, standin, status):
    main.add_command(command)
