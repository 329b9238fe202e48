"""The command ``diff``."""

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from ..configuration import Change, ChangeKind, Comparison, PublishFailed, compare
from .arguments import (
    PlatformClients,
    directories_argument,
    exit_with_error,
    json_option,
    read_routing_files,
    read_settings,
    settings_option,
)
from .coroutines import run_on_reactor
from .exit_codes import ExitCode

__all__ = ["diff", "render_comparison"]


@click.command()
@directories_argument
@settings_option(required=True)
@json_option
def diff(directories: tuple[Path, ...], settings_path: Path, as_json: bool) -> None:
    """Show what publishing DIR... would change, without publishing."""
    collected = read_routing_files(directories)
    settings = read_settings(settings_path)

    async def run(reactor: Any) -> Comparison | PublishFailed:
        clients = PlatformClients(reactor, settings.platform)
        return await compare(
            [found.file for found in collected],
            clock=clients.clock,
            table=clients.table,
            object_store=clients.object_store,
        )

    comparison = run_on_reactor(run)
    if isinstance(comparison, PublishFailed):
        exit_with_error(ExitCode.PLATFORM_UNAVAILABLE, comparison.reason)
    click.echo(json.dumps(asdict(comparison)) if as_json else render_comparison(comparison))
    sys.exit(ExitCode.DIFFERENT if comparison.changes else ExitCode.DONE)


def render_comparison(comparison: Comparison) -> str:
    """Return the text output for a comparison, one line per difference."""
    version = f"version {comparison.version}" if comparison.version else "no version in force"
    if not comparison.changes:
        return f"no difference from {version}"
    lines = [_render_change(change) for change in comparison.changes]
    return "\n".join([f"{len(lines)} differences from {version}", *lines])


def _render_change(change: Change) -> str:
    match change.kind:
        case ChangeKind.ADDED:
            return f"+ {change.place}{_render_value(change.after)}"
        case ChangeKind.REMOVED:
            return f"- {change.place}{_render_value(change.before)}"
        case ChangeKind.CHANGED:
            return f"~ {change.place}: {change.before} -> {change.after}"


def _render_value(value: str) -> str:
    return f": {value}" if value else ""
