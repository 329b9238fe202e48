"""Arguments, options and input files that several commands share."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click

from ..clocks import Clock, ReactorClock, boot_seconds
from ..configuration import CollectedFile, CollectionError, collect
from ..settings import DocumentError, InstanceSettings, PlatformAddresses, read_document
from ..storage import HttpClient, HttpInstanceList, HttpObjectStore, HttpTable
from .exit_codes import ExitCode

__all__ = [
    "PlatformClients",
    "directories_argument",
    "exit_with_error",
    "json_option",
    "read_routing_files",
    "read_settings",
    "settings_option",
]

Command = Callable[..., Any]


class PlatformClients:
    """Clients of the platform's services that one command uses."""

    def __init__(self, reactor: Any, addresses: PlatformAddresses) -> None:
        self.clock: Clock = ReactorClock(reactor, boot_seconds)
        self.http = HttpClient(reactor, self.clock)
        self.table = HttpTable(self.http, addresses.table)
        self.object_store = HttpObjectStore(self.http, addresses.object_store)
        self.instance_list = HttpInstanceList(self.http, addresses.instance_list)


def settings_option(required: bool) -> Callable[[Command], Command]:
    """Return a decorator that adds the option ``--settings``, an instance's settings file."""
    return click.option(
        "--settings",
        "settings_path",
        required=required,
        type=click.Path(path_type=Path),
        envvar="LABURNUMHATCH_SETTINGS",
        show_envvar=True,
        help="Settings file of any entry instance, which gives the platform's addresses.",
    )


def directories_argument(command: Command) -> Command:
    """Add the argument ``DIR...``, the directories searched for routing files."""
    dir_type = click.Path(exists=True, path_type=Path)
    return click.argument("directories", metavar="DIR...", nargs=-1, required=True, type=dir_type)(
        command
    )


def json_option(command: Command) -> Command:
    """Add the option ``--json``."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON for tools.")(command)


def read_settings(path: Path) -> InstanceSettings:
    """Return the settings of an instance; exit with an error message if they are invalid."""
    try:
        return read_document(path, InstanceSettings)
    except DocumentError as e:
        exit_with_error(ExitCode.BAD_INPUT, str(e))


def read_routing_files(directories: tuple[Path, ...]) -> tuple[CollectedFile, ...]:
    """Return the routing files under `directories`; exit with all problems if any is invalid."""
    try:
        return collect(directories)
    except CollectionError as e:
        exit_with_error(ExitCode.BAD_INPUT, str(e))


def exit_with_error(code: ExitCode, message: str) -> NoReturn:
    """Print a message to standard error and exit with `code`."""
    click.echo(message, err=True)
    sys.exit(code)
