"""The commands ``standin platform``, ``standin upstream`` and ``standin service``."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from pydantic import TypeAdapter, ValidationError
from twisted.internet import reactor

from ..clocks import ReactorClock, boot_seconds, milliseconds
from ..routing import RoutingFile, Service, service_from_file
from ..settings import DocumentError, read_document
from ..standins import (
    PlatformStandin,
    ServedApp,
    UpstreamOptions,
    UpstreamStandin,
    build_platform_app,
    build_upstream_app,
    drain_all,
    key_from_second_segment,
    make_key_finder,
    run_apps,
)
from ..storage import ListedInstance
from .arguments import exit_with_error
from .exit_codes import ExitCode

__all__ = ["standin"]

ANY_PORT = 0
_INSTANCE_LIST_ADAPTER = TypeAdapter(tuple[ListedInstance, ...])
Command = Callable[..., Any]


def _host_option(command: Command) -> Command:
    option = click.option("--host", default="127.0.0.1", show_default=True, help="IPv4 address.")
    return option(command)


def _port_option(command: Command) -> Command:
    port_type = click.IntRange(0, 65535)
    option = click.option("--port", default=ANY_PORT, type=port_type, help="0 selects a free port.")
    return option(command)


def _behaviour_options(command: Command) -> Command:
    options = (
        click.option(
            "--queue", "queue_limit", default=16, show_default=True, type=click.IntRange(0)
        ),
        click.option(
            "--cold-start-ms", "cold_start", default=0, show_default=True, callback=_duration
        ),
        click.option("--work-ms", "work", default=1.0, show_default=True, callback=_duration),
        click.option(
            "--journal", type=click.File("a", lazy=False), help="File to append the runs to."
        ),
        click.option("--honours-expiry/--ignores-expiry", default=True, show_default=True),
    )
    for option in reversed(options):
        command = option(command)
    return command


def _duration(ctx: click.Context, parameter: click.Parameter, value: float) -> Any:
    if value < 0:
        raise click.BadParameter("expected a number of milliseconds, 0 or more")
    return milliseconds(value)


@click.group()
def standin() -> None:
    """Run a stand-in for the platform or for upstream servers."""


@standin.command()
@_host_option
@_port_option
@click.option(
    "--instances",
    "instances_file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="JSON file with the list of entry instances.",
)
def platform(host: str, port: int, instances_file: Path | None) -> None:
    """Serve the table, the object store and the instance list."""
    state = PlatformStandin(_clock())
    if instances_file is not None:
        state.instances = _read_instances(instances_file)
    served = ServedApp("http", build_platform_app(state), host, port)
    run_apps([served], "platform", lambda stop: stop())


@standin.command()
@click.option("--service", required=True, help="Name of the service.")
@click.option("--name", required=True, help="Name of the target.")
@_host_option
@_port_option
@click.option("--slots", default=2, show_default=True, type=click.IntRange(1))
@click.option("--connections", default=100, show_default=True, type=click.IntRange(1))
@click.option("--checks-fencing/--no-checks-fencing", default=False, show_default=True)
@_behaviour_options
def upstream(
    service: str,
    name: str,
    host: str,
    port: int,
    slots: int,
    connections: int,
    checks_fencing: bool,
    **behaviour: Any,
) -> None:
    """Serve as one target of a service; the key is the path's second segment."""
    options = UpstreamOptions(service, name, slots, connections, checks_fencing, **behaviour)
    state = UpstreamStandin(options, _clock(), key_from_second_segment)
    served = ServedApp("http", build_upstream_app(state), host, port, state.connections)
    run_apps([served], name, state.drain)


@standin.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--target", "names", multiple=True, help="Only this target; may be repeated.")
@click.option("--any-port", is_flag=True, help="Use free ports instead of those in the file.")
@_behaviour_options
def service(file: Path, names: tuple[str, ...], any_port: bool, **behaviour: Any) -> None:
    """Serve as all targets of the routing file FILE, in one process."""
    description = _read_service(file)
    targets = [t for t in description.targets if not names or t.name in names]
    if not targets:
        raise click.UsageError(f"{file}: no target is called {' or '.join(names)}")
    checks_fencing = description.ownership is not None and description.ownership.checks_fencing
    states: list[UpstreamStandin] = []
    served: list[ServedApp] = []
    for target in targets:
        options = UpstreamOptions(
            description.name,
            target.name,
            description.max_requests_per_target,
            description.max_connections_per_target,
            checks_fencing,
            **behaviour,
        )
        state = UpstreamStandin(options, _clock(), make_key_finder(description))
        port = ANY_PORT if any_port else target.port
        states.append(state)
        app = build_upstream_app(state)
        served.append(ServedApp(target.name, app, target.host, port, state.connections))
    run_apps(served, description.name, lambda stop: drain_all(states, stop))


def _clock() -> ReactorClock:
    # Twisted declares the reactor with a type that lacks its methods.
    return ReactorClock(reactor, boot_seconds)  # type: ignore[arg-type]


def _read_service(path: Path) -> Service:
    try:
        return service_from_file(read_document(path, RoutingFile))
    except DocumentError as e:
        exit_with_error(ExitCode.BAD_INPUT, str(e))


def _read_instances(path: Path) -> tuple[ListedInstance, ...]:
    try:
        return _INSTANCE_LIST_ADAPTER.validate_json(path.read_bytes())
    except ValidationError as e:
        field = ".".join(str(part) for part in e.errors()[0]["loc"])
        exit_with_error(ExitCode.BAD_INPUT, f"{path}: field {field}: {e.errors()[0]['msg']}")
