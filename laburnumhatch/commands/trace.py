"""The command ``trace``, which follows one request through the logs of several instances."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import click

__all__ = ["account_of", "read_lines", "timeline_of", "trace"]

NOT_FOUND = 1
# Loggers that report changes of an instance's view: leader, configuration, owners, connections.
BELIEFS = ("laburnumhatch.member", "laburnumhatch.leader", "laburnumhatch.gateway")
# Fields of a request's log line that are printed besides its message, in this order.
SHOWN = (
    "service",
    "key",
    "upstream",
    "after_ms",
    "sends",
    "code",
    "run",
    "configuration",
    "leader",
    "instances",
    "registry_age_s",
    "configuration_age_s",
    "lines_left_out",
)


def read_lines(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the log lines of several files, sorted by time.

    Any text before the first brace of a line is dropped. Lines that don't hold a JSON object with
    a time and a message, such as lines that a supervisor adds, are skipped.
    """
    found = []
    for path in paths:
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = json.loads(text[start:])
            except json.JSONDecodeError:
                continue
            if isinstance(line, dict) and "time" in line and "message" in line:
                found.append(line)
    return sorted(found, key=lambda line: str(line["time"]))


def account_of(request: str, lines: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a request's log lines, each with the last change of the instance's view before it."""
    belief: dict[str, str] = {}
    for line in lines:
        if line.get("logger") in BELIEFS:
            belief[str(line.get("instance"))] = f"{line['time']} {line['message']}"
        if line.get("request") != request:
            continue
        instance = str(line.get("instance"))
        yield f"{line['time']} {instance}: {line['message']}"
        known = [f"{name}={line[name]}" for name in SHOWN if line.get(name) not in (None, "")]
        yield "    " + " ".join(known)
        if instance in belief:
            yield f"    last change at {instance}: {belief[instance]}"


def timeline_of(lines: list[dict[str, Any]]) -> Iterator[str]:
    """Yield each change of the instances' views."""
    for line in lines:
        if line.get("logger") in BELIEFS:
            yield f"{line['time']} {line.get('instance')}: {line['message']}"


def _concerns(request: str, line: dict[str, Any]) -> bool:
    if request == "-":
        return line.get("logger") in BELIEFS
    return line.get("request") == request


@click.command()
@click.argument("request")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
@click.option("--json", "as_json", is_flag=True, help="Print the log lines as JSON objects.")
def trace(request: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Show the history of the request with the id REQUEST from the logs in FILES.

    If REQUEST is ``-``, show each change of leader, configuration, owners and connections.
    """
    lines = read_lines(files)
    if as_json:
        found = [json.dumps(line) for line in lines if _concerns(request, line)]
    else:
        found = list(timeline_of(lines) if request == "-" else account_of(request, lines))
    for text in found:
        click.echo(text)
    if not found:
        click.echo(
            f"no log line names {request}: it was answered, or its line was left out", err=True
        )
        raise SystemExit(NOT_FOUND)
