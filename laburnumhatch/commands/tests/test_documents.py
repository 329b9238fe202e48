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


def _rows(document, heading):
    """Return the cells of the first table after a heading, without the table's header."""
    text = (DOCUMENTS / document).read_text(encoding="utf-8")
    section = text.partition(f"\n## {heading}\n")[2].partition("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    assert lines, f"no table under {heading} in {document}"
    cells = [line.replace("\\|", "\0").strip("|").split("|") for line in lines[2:]]
    return [[cell.strip().replace("\0", "|") for cell in row] for row in cells]


def test_result_codes_are_those_of_the_code():
    expected = [
        [str(code.number), f"`{code.name}`", str(code.status), code.run.value, code.title]
        for code in ResultCode
    ]
    assert [row[:5] for row in _rows("RESULT-CODES.md", "Result codes")] == expected


def test_exit_codes_are_those_of_the_code():
    expected = [[str(code.value), f"`{code.name}`"] for code in ExitCode]
    assert [row[:2] for row in _rows("RESULT-CODES.md", "Exit codes")] == expected


@pytest.mark.parametrize(
    ("model", "heading"), [(InstanceSettings, "Settings"), (RoutingFile, "Routing files")]
)
def test_fields_are_those_of_the_models(model, heading):
    schema = model.model_json_schema()
    expected = list(_fields(schema, schema["$defs"], ""))
    assert [row[:4] for row in _rows("CONFIGURATION.md", heading)] == expected


@pytest.mark.parametrize("document", ["../README.md", "OPERATING.md", "CONFIGURATION.md"])
def test_commands_in_the_documents_exist_with_their_options(document):
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


def test_metrics_are_those_of_the_code():
    registry = Registry()
    RequestMetrics(registry)
    names = {row[0].strip("`") for row in _rows("OPERATING.md", "Logs, metrics, traces")}
    assert names == {collector.name for collector in registry.collectors.values()}


def _fields(schema, definitions, prefix):
    """Yield the name, type, default and bounds of each field of a JSON schema.

    The values are formatted as in the documentation's tables.
    """
    for name, field in schema["properties"].items():
        field, nullable = _without_null(field)
        inner = _resolve(field, definitions)
        required = name in schema.get("required", ())
        yield [
            f"`{prefix}{name}`",
            _type(inner),
            _default(field, required, nullable),
            _bounds(field, inner),
        ]
        place, items = _items(inner)
        items = _resolve(items, definitions)
        if "properties" in items:
            yield from _fields(items, definitions, f"{prefix}{name}{place}.")


def _items(inner):
    """Return the suffix that stands for a field's items in their names, and the items' schema."""
    if "items" in inner:
        return "[]", inner["items"]
    if "patternProperties" in inner:
        (items,) = inner["patternProperties"].values()
        return ".NAME", items
    return "", inner


def _without_null(field):
    options = field.get("anyOf")
    if options is None:
        return field, False
    return {**field, **next(o for o in options if o.get("type") != "null")}, True


def _resolve(field, definitions):
    if "$ref" not in field:
        return field
    return definitions[field["$ref"].rpartition("/")[2]]


def _type(inner):
    if inner.get("format") == "duration":
        return "duration"
    return {"array": "list"}.get(inner["type"], inner["type"])


def _default(field, required, nullable):
    if required:
        return "required"
    if field.get("default") is None and nullable:
        return "none"
    return f"`{json.dumps(field['default'])}`"


def _bounds(field, inner):
    found = {**{b: inner[b] for b in BOUNDS if b in inner}}
    found |= {b: field[b] for b in BOUNDS if b in field}
    if "patternProperties" in inner:
        (found["names"],) = inner["patternProperties"]
    return ", ".join(f"{name} `{_value(value)}`" for name, value in found.items()) or "none"


def _value(value):
    return value if isinstance(value, str) else json.dumps(value)
