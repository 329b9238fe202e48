"""The command ``status``."""

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click

from .admin_client import AdminAddress, AdminAnswer, Unanswered
from .admin_option import address_options, ask_instances
from .arguments import json_option
from .exit_codes import ExitCode
from .facts import render_facts

__all__ = ["render_status", "show_answers", "status"]

READY = "ready"


@click.command()
@address_options
@json_option
def status(
    admin_addresses: tuple[AdminAddress, ...], settings_path: Path | None, as_json: bool
) -> None:
    """Show the state of entry instances."""
    answers = ask_instances(admin_addresses, settings_path, "status", {})
    show_answers(answers, as_json, render_status)


def show_answers(answers: Iterable[AdminAnswer | Unanswered], as_json: bool, render: Any) -> None:
    """Print the answers; exit with INSTANCE_UNREACHABLE if an instance gave none."""
    answers = list(answers)
    for answer in answers:
        if as_json:
            click.echo(json.dumps(_document(answer)))
        elif isinstance(answer, Unanswered):
            click.echo(f"{answer.address}: no answer: {answer.reason}", err=True)
        else:
            click.echo(render(answer.document))
    if any(isinstance(answer, Unanswered) for answer in answers):
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
    others = [
        f"{target} of {service} {state}"
        for service, targets in sorted(states.items())
        for target, state in targets.items()
        if state != READY
    ]
    count = sum(len(targets) for targets in states.values())
    return f"targets: {count - len(others)} of {count} ready" + "".join(f"; {o}" for o in others)


def _readiness(document: dict[str, Any]) -> str:
    if document["ready"]:
        return "ready"
    return "not ready: " + "; ".join(document["reasons"])


def _document(answer: AdminAnswer | Unanswered) -> dict[str, Any]:
    if isinstance(answer, Unanswered):
        return {"address": str(answer.address), "problem": answer.reason}
    return {"address": str(answer.address), **answer.document}
