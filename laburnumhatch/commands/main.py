"""The command ``laburnumhatch``."""

from importlib import import_module

import click

__all__ = ["main"]

# Each command is the function of the same name in the module of the same name.
COMMANDS = ("check", "diff", "entry", "explain", "publish", "rollback", "standin", "status")


class _LazyGroup(click.Group):
    """Group that imports a command's module when the command is used.

    A stand-in or a short command then starts without the daemon's packages.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = getattr(import_module(f".{cmd_name}", __package__), cmd_name)
        return command


@click.group(cls=_LazyGroup)
def main() -> None:
    """Route keyed requests to the servers that own their keys."""
