"""Rendering of JSON objects as lines of text."""

from collections.abc import Mapping
from typing import Any

__all__ = ["render_facts"]

MILLISECONDS_SUFFIX = "_ms"


def render_facts(facts: Mapping[str, Any], indent: str) -> list[str]:
    """Return one line per item, with the unit that the name's suffix gives.

    Examples
    --------
    >>> render_facts({"row_version": 2, "expires_in_ms": 90, "why_not": None}, "  ")
    ['  row version: 2', '  expires in: 90 ms', '  why not: none']
    """
    return [_render_fact(name, value, indent) for name, value in facts.items()]


def _render_fact(name: str, value: Any, indent: str) -> str:
    unit = ""
    if name.endswith(MILLISECONDS_SUFFIX):
        name = name.removesuffix(MILLISECONDS_SUFFIX)
        unit = " ms"
    return f"{indent}{name.replace('_', ' ')}: {_render_value(value)}{unit}"


def _render_value(value: Any) -> str:
    if value is None or value == [] or value == {}:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Mapping):
        return ", ".join(f"{name} {_render_value(item)}" for name, item in value.items())
    if isinstance(value, list):
        return ", ".join(_render_value(item) for item in value)
    return str(value)
