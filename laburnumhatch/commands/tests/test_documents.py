"""Tests that the tables and commands in the documentation agree with the code."""

import json
import re
from pathlib import Path

import click
import pytest
from aioprometheus import Registry

from ...requests.metrics import RequestMetrics
from ...results import ResultCode
from ...routing import RoutingFile
from ...settings import InstanceSettings
from ..exit_codes import ExitCode
from ..main import main

DOCUMENTS = Path(__file__).parents[3] / "docs"
BOUNDS = (
    "minimum",
    "maximum",
    "exclusiveMinimum",
    "minLength",
    "minItems",
    "minProperties",
    "pattern",
    "enum",
)


def _table_rows(document, heading):
    """Return the cells of the first table after a heading, without the table's header."""
    text = (DOCUMENTS / document).read_text(encoding="utf-8")
    section = text.partition(f"\n## {heading}\n")[2].partition("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    assert lines, f"no table under {heading} in {document}"
    cells = [line.replace("\\|", "\0").strip("|").split("|") for line in lines[2:]]
    return [[cell.strip().replace("\0", "|") for cell in row] for row in cells]


def test_documented_result_codes_match_the_code():
    expected = [
        [str(code.number), f"`{code.name}`", str(code.status), code.run.value, code.title]
        for code in ResultCode
    ]
    assert [row[:5] for row in _table_rows("RESULT-CODES.md", "Result codes")] == expected


def test_documented_exit_codes_match_the_code():
    expected = [[str(code.value), f"`{code.name}`"] for code in ExitCode]
    assert [row[:2] for row in _table_rows("RESULT-CODES.md", "Exit codes")] == expected


@pytest.mark.parametrize(
    ("model", "heading"), [(InstanceSettings, "Settings"), (RoutingFile, "Routing files")]
)
def test_documented_fields_match_the_models(model, heading):
    schema = model.model_json_schema()
    expected = list(_documented_fields(schema, schema["$defs"], ""))
    assert [row[:4] for row in _table_rows("CONFIGURATION.md", heading)] == expected


@pytest.mark.parametrize("document", ["../README.md", "OPERATING.md", "CONFIGURATION.md"])
def test_documented_commands_and_options_exist(document):
    text = (DOCUMENTS / document).read_text(encoding="utf-8")
    lines = re.findall(r"(?<!/)\blaburnumhatch ((?:[a-z]+ ?)+[^#`&\n]*)", text)
    assert lines
    for line in lines:
        words = line.split()
        command = main
        while isinstance(command, click.Group) and words:
            name = words.pop(0)
            command = command.get_command(click.Context(command), name)
            assert command is not None, f"{document} names the command {name} in: {line}"
        known = {option for parameter in command.params for option in parameter.opts}
        assert {word for word in words if word.startswith("--")} <= {*known, "--help"}, line


def test_documented_metrics_match_the_code():
    registry = Registry()
    RequestMetrics(registry)
    names = {row[0].strip("`") for row in _table_rows("OPERATING.md", "Logs, metrics, traces")}
    assert names == {collector.name for collector in registry.collectors.values()}


def _documented_fields(schema, definitions, prefix):
    """Yield the name, type, default and bounds of each field of a JSON schema.

    The values are formatted as in the documentation's tables.
    """
    for name, field in schema["properties"].items():
        field, nullable = _without_null(field)
        resolved = _resolve(field, definitions)
        required = name in schema.get("required", ())
        yield [
            f"`{prefix}{name}`",
            _type(resolved),
            _default(field, required, nullable),
            _bounds(field, resolved),
        ]
        item_suffix, items = _item_schema(resolved)
        items = _resolve(items, definitions)
        if "properties" in items:
            yield from _documented_fields(items, definitions, f"{prefix}{name}{item_suffix}.")


def _item_schema(resolved):
    """Return the suffix that stands for a field's items in their names, and the items' schema."""
    if "items" in resolved:
        return "[]", resolved["items"]
    if "patternProperties" in resolved:
        (items,) = resolved["patternProperties"].values()
        return ".NAME", items
    return "", resolved


def _without_null(field):
    options = field.get("anyOf")
    if options is None:
        return field, False
    return {**field, **next(o for o in options if o.get("type") != "null")}, True


def _resolve(field, definitions):
    if "$ref" not in field:
        return field
    return definitions[field["$ref"].rpartition("/")[2]]


def _type(resolved):
    if resolved.get("format") == "duration":
        return "duration"
    return {"array": "list"}.get(resolved["type"], resolved["type"])


def _default(field, required, nullable):
    if required:
        return "required"
    if field.get("default") is None and nullable:
        return "none"
    return f"`{json.dumps(field['default'])}`"


def _bounds(field, resolved):
    found = {**{b: resolved[b] for b in BOUNDS if b in resolved}}
    found |= {b: field[b] for b in BOUNDS if b in field}
    if "patternProperties" in resolved:
        (found["names"],) = resolved["patternProperties"]
    return ", ".join(f"{name} `{_format_bound(value)}`" for name, value in found.items()) or "none"


def _format_bound(value):
    return value if isinstance(value, str) else json.dumps(value)
