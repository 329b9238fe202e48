"""The command ``status``."""

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click

from .admin_client import AdminAddress, AdminFailure, AdminPage
from .admin_option import address_options, query_instances
from .arguments import json_option
from .exit_codes import ExitCode
from .facts import render_facts

__all__ = ["print_results", "render_status", "status"]

READY_STATE = "ready"


@click.command()
@address_options
@json_option
def status(
    admin_addresses: tuple[AdminAddress, ...], settings_path: Path | None, as_json: bool
) -> None:
    """Show the state of entry instances."""
    results = query_instances(admin_addresses, settings_path, "status", {})
    print_results(results, as_json, render_status)


def print_results(results: Iterable[AdminPage | AdminFailure], as_json: bool, render: Any) -> None:
    """Print the results and exit with INSTANCE_UNREACHABLE if any of them is a failure."""
    results = list(results)
    for result in results:
        if as_json:
            click.echo(json.dumps(_json_document(result)))
        elif isinstance(result, AdminFailure):
            click.echo(f"{result.address}: no answer: {result.reason}", err=True)
        else:
            click.echo(render(result.document))
    if any(isinstance(result, AdminFailure) for result in results):
        sys.exit(ExitCode.INSTANCE_UNREACHABLE)


def render_status(document: dict[str, Any]) -> str:
    """Return the text output for the state of one instance."""
    configuration = document["configuration"]
    lines = [
        f"{document['instance']} in {document['data_centre']}: {document['state']},"
        f" {_readiness(document)}",
        f"  configuration version {configuration['version']} ({configuration['digest'][:12]})",
        f"  instances: {', '.join(document['instances']) or 'none'}",
        f"  links to: {', '.join(document['links']) or 'none'}",
        f"  requests in flight: {document['in_flight']}",
        f"  {_targets(document['targets'])}",
    ]
    if configuration["problem"]:
        lines.insert(2, f"  configuration problem: {configuration['problem']}")
    for group, facts in sorted(document["ownership"].items()):
        lines += [f"  {group}", *render_facts(facts, "    ")]
    return "\n".join(lines)


def _targets(states: dict[str, dict[str, str]]) -> str:
    not_ready = [
        f"{target} of {service} {state}"
        for service, targets in sorted(states.items())
        for target, state in targets.items()
        if state != READY_STATE
    ]
    count = sum(len(targets) for targets in states.values())
    return f"targets: {count - len(not_ready)} of {count} ready" + "".join(
        f"; {target_state}" for target_state in not_ready
    )


def _readiness(document: dict[str, Any]) -> str:
    if document["ready"]:
        return "ready"
    return "not ready: " + "; ".join(document["reasons"])


def _json_document(result: AdminPage | AdminFailure) -> dict[str, Any]:
    if isinstance(result, AdminFailure):
        return {"address": str(result.address), "problem": result.reason}
    return {"address": str(result.address), **result.document}
