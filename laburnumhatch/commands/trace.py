"""The command ``trace``, which follows one request through the logs of several instances."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import click

__all__ = ["read_lines", "request_history", "state_changes", "trace"]

NOT_FOUND_EXIT_CODE = 1
# Loggers that report changes of an instance's state: leader, configuration, owners, connections.
STATE_LOGGERS = ("laburnumhatch.member", "laburnumhatch.leader", "laburnumhatch.gateway")
# Fields of a request's log line that are printed besides its message, in this order.
SHOWN_FIELDS = (
    "service",
    "route",
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
    log_lines = []
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
                log_lines.append(line)
    return sorted(log_lines, key=lambda line: str(line["time"]))


def request_history(request: str, lines: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a request's log lines, each with the last change of the instance's state before it."""
    last_change: dict[str, str] = {}
    for line in lines:
        if line.get("logger") in STATE_LOGGERS:
            last_change[str(line.get("instance"))] = f"{line['time']} {line['message']}"
        if line.get("request") != request:
            continue
        instance = str(line.get("instance"))
        yield f"{line['time']} {instance}: {line['message']}"
        fields = [
            f"{name}={line[name]}" for name in SHOWN_FIELDS if line.get(name) not in (None, "")
        ]
        yield "    " + " ".join(fields)
        if instance in last_change:
            yield f"    last change at {instance}: {last_change[instance]}"


def state_changes(lines: list[dict[str, Any]]) -> Iterator[str]:
    """Yield each change of the instances' state."""
    for line in lines:
        if line.get("logger") in STATE_LOGGERS:
            yield f"{line['time']} {line.get('instance')}: {line['message']}"


def _is_selected(request: str, line: dict[str, Any]) -> bool:
    if request == "-":
        return line.get("logger") in STATE_LOGGERS
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
        output_lines = [json.dumps(line) for line in lines if _is_selected(request, line)]
    else:
        output_lines = list(
            state_changes(lines) if request == "-" else request_history(request, lines)
        )
    for text in output_lines:
        click.echo(text)
    if not output_lines:
        click.echo(
            f"no log line names {request}: it was answered, or its line was left out", err=True
        )
        raise SystemExit(NOT_FOUND_EXIT_CODE)
