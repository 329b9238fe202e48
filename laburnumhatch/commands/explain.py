"""The command ``explain``."""

from pathlib import Path
from typing import Any

import click

from .admin_client import AdminAddress
from .admin_option import address_options, query_instances
from .arguments import json_option
from .facts import render_facts
from .status import print_results

__all__ = ["explain", "render_explanation"]

HEADER_FIELDS = ("instance", "configuration_version", "service", "key", "owner")


@click.command()
@click.argument("key")
@click.option("--service", required=True, help="Service that the key belongs to.")
@address_options
@json_option
def explain(
    key: str,
    service: str,
    admin_addresses: tuple[AdminAddress, ...],
    settings_path: Path | None,
    as_json: bool,
) -> None:
    """Show who owns KEY, under which epoch and configuration, and why."""
    arguments = {"service": service, "key": key}
    results = query_instances(admin_addresses, settings_path, "explain", arguments)
    print_results(results, as_json, render_explanation)


def render_explanation(document: dict[str, Any]) -> str:
    """Return the text output for one instance's explanation of a key's owner."""
    owner = f"owned by {document['owner']}" if document["owner"] else "without an owner"
    facts = {name: value for name, value in document.items() if name not in HEADER_FIELDS}
    lines = [
        f"{document['instance']}: {document['service']} key {document['key']!r} is {owner}",
        f"  configuration version: {document['configuration_version']}",
        *render_facts(facts, "  "),
    ]
    return "\n".join(lines)
