"""The commands ``standin platform`` and ``standin upstream``."""

from datetime import timedelta
from pathlib import Path
from urllib.parse import unquote

import click
from pydantic import TypeAdapter, ValidationError
from twisted.internet import reactor
from twisted.web.http import Request

from ..clocks import ReactorClock, boot_seconds, milliseconds
from ..platform import ListedInstance
from ..standins import (
    PlatformStandin,
    UpstreamOptions,
    UpstreamStandin,
    build_platform_app,
    build_upstream_app,
    run_site,
)

__all__ = ["standin"]

ANY_PORT = 0
_LIST = TypeAdapter(tuple[ListedInstance, ...])


@click.group()
def standin() -> None:
    """Run a stand-in of the platform or of an upstream server."""


@standin.command()
@click.option("--host", default="127.0.0.1", show_default=True, help="IP number to listen on.")
@click.option("--port", default=ANY_PORT, type=click.IntRange(0, 65535), help="0 takes any port.")
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
    run_site(build_platform_app(state), host, port, lambda stop: stop())


@standin.command()
@click.option("--service", required=True, help="Name of the service.")
@click.option("--name", required=True, help="Name of the target.")
@click.option("--host", default="127.0.0.1", show_default=True, help="IP number to listen on.")
@click.option("--port", default=ANY_PORT, type=click.IntRange(0, 65535), help="0 takes any port.")
@click.option("--slots", default=2, show_default=True, type=click.IntRange(1))
@click.option("--queue", "queue_limit", default=16, show_default=True, type=click.IntRange(0))
@click.option("--cold-start-ms", default=0, show_default=True, type=click.IntRange(0))
@click.option("--work-ms", default=1.0, show_default=True, type=click.FloatRange(0))
@click.option("--checks-fencing/--no-checks-fencing", default=False, show_default=True)
@click.option("--honours-expiry/--ignores-expiry", default=True, show_default=True)
def upstream(
    service: str,
    name: str,
    host: str,
    port: int,
    slots: int,
    queue_limit: int,
    cold_start_ms: int,
    work_ms: float,
    checks_fencing: bool,
    honours_expiry: bool,
) -> None:
    """Serve as one target of a service."""
    options = UpstreamOptions(
        service=service,
        name=name,
        slots=slots,
        queue_limit=queue_limit,
        cold_start=timedelta(milliseconds=cold_start_ms),
        work=milliseconds(work_ms),
        checks_fencing=checks_fencing,
        honours_expiry=honours_expiry,
    )
    state = UpstreamStandin(options, _clock(), _second_segment)
    run_site(build_upstream_app(state), host, port, state.leave)


def _clock() -> ReactorClock:
    # Twisted's type for the reactor lacks its methods.
    return ReactorClock(reactor, boot_seconds)  # type: ignore[arg-type]


def _second_segment(request: Request) -> str:
    """Return the key of a request, which the example routing files put there."""
    segments = request.path.decode().split("/")
    return unquote(segments[2]) if len(segments) > 2 else ""


def _read_instances(path: Path) -> tuple[ListedInstance, ...]:
    try:
        return _LIST.validate_json(path.read_bytes())
    except ValidationError as e:
        field = ".".join(str(part) for part in e.errors()[0]["loc"])
        raise click.UsageError(f"{path}: field {field}: {e.errors()[0]['msg']}") from e
