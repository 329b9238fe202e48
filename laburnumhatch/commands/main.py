"""The command ``laburnumhatch``."""

import click

from .standin import standin

__all__ = ["main"]


@click.group()
def main() -> None:
    """Route keyed requests to the servers that own their keys."""


main.add_command(standin)
