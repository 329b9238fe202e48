"""The command ``laburnumhatch``."""

import click

__all__ = ["main"]


@click.group()
def main() -> None:
    """Route keyed requests to the servers that own their keys."""
