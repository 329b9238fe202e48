"""The command ``laburnumhatch``."""

from importlib import import_module

import click

__all__ = ["main"]

# Module of each command; the command is the function of the same name in it.
COMMANDS = {
    "bench": "..measures.bench_command",
    "check": ".check",
    "diff": ".diff",
    "entry": ".entry",
    "explain": ".explain",
    "faults": "..faults.command",
    "fuzz": "..fuzzing.command",
    "measure": "..measures.command",
    "publish": ".publish",
    "rollback": ".rollback",
    "soak": "..soak.command",
    "standin": ".standin",
    "status": ".status",
    "trace": ".trace",
}


class _LazyGroup(click.Group):
    """Group that imports a command's module only when the command is used.

    Commands that don't run the daemon thus start without importing its packages.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module = import_module(COMMANDS[cmd_name], __package__)
        command: click.Command = getattr(module, cmd_name)
        return command


@click.group(cls=_LazyGroup)
def main() -> None:
    """Route keyed requests to the servers that own their keys."""
