"""Options that select the instances a command queries, and the queries."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from ..clocks import ReactorClock, boot_seconds
from ..settings import InstanceSettings
from ..storage import HttpClient, Unavailable
from .admin_client import AdminAddress, AdminFailure, AdminPage, fetch_admin_page
from .arguments import PlatformClients, exit_with_error, read_settings, settings_option
from .coroutines import run_on_reactor
from .exit_codes import ExitCode

__all__ = ["address_options", "query_instances"]

Command = Callable[..., Any]
AdminResults = list[AdminPage | AdminFailure]


class _AddressType(click.ParamType[AdminAddress]):
    name = "HOST:PORT"

    def convert(self, value: Any, param: Any, ctx: Any) -> AdminAddress:
        """Return the address that `value` gives as ``HOST:PORT``."""
        if isinstance(value, AdminAddress):
            return value
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            self.fail(f"{value!r}: expected an IP number, a colon and a port", param, ctx)
        return AdminAddress(host, int(port))


def address_options(command: Command) -> Command:
    """Add the options ``--admin HOST:PORT`` and ``--settings FILE``."""
    admin = click.option(
        "--admin",
        "admin_addresses",
        multiple=True,
        type=_AddressType(),
        help="Admin address of an instance; may be repeated.",
    )
    return admin(settings_option(required=False)(command))


def query_instances(
    addresses: tuple[AdminAddress, ...],
    settings_path: Path | None,
    page: str,
    arguments: dict[str, str],
) -> AdminResults:
    """Return an admin page from the given instances, or from all in the platform's list.

    Notes
    -----
    The instances are queried one after another, so that a large fleet doesn't receive all
    requests at once.
    """
    if not addresses and settings_path is None:
        raise click.UsageError("expected --admin HOST:PORT or --settings FILE")

    settings = read_settings(settings_path) if settings_path is not None else None

    async def query(reactor: Any) -> AdminResults | Unavailable:
        selected = addresses or await _listed_addresses(reactor, settings)
        if isinstance(selected, Unavailable):
            return selected
        client = HttpClient(reactor, ReactorClock(reactor, boot_seconds))
        return [await fetch_admin_page(client, address, page, arguments) for address in selected]

    results = run_on_reactor(query)
    if isinstance(results, Unavailable):
        exit_with_error(
            ExitCode.PLATFORM_UNAVAILABLE, f"the instance list can't be read: {results.reason}"
        )
    return results


async def _listed_addresses(
    reactor: Any, settings: InstanceSettings | None
) -> tuple[AdminAddress, ...] | Unavailable:
    assert settings is not None
    listed = await PlatformClients(reactor, settings.platform).instance_list.fetch()
    if isinstance(listed, Unavailable):
        return listed
    return tuple(AdminAddress(instance.host, instance.admin_port) for instance in listed)
