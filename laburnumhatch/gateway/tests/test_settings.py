"""Invalid settings are reported with their file and field."""

import json
import re
from pathlib import Path

import pytest

import laburnumhatch

from ..settings import SettingsError, read_settings

TEMPLATE = Path(laburnumhatch.__file__).parents[1] / "deploy" / "settings.json"
VALID_SETTINGS = {
    "name": "a",
    "data_centre": "d",
    "host": "127.0.0.1",
    "callers": "127.0.0.1:1",
    "readiness": "127.0.0.1:2",
    "stream_port": 3,
    "relay_port": 5,
    "core_speed": 1,
    "core_share": 0.5,
    "metrics_port": 4,
    "store": "127.0.0.1:5",
    "longest_hold": "10s",
    "retry_window": "10s",
    "retry_ratio": 0.2,
    "retry_slack": 56,
    "stop_within": "6s",
    "first_start": False,
    "memory_mb": 300,
    "link_mbps": None,
    "warmup_overage": None,
    "warmup_slack": None,
    "waiting_room": "off",
    "adaptive_concurrency": "off",
}
OPTIONAL = [
    "memory_mb",
    "link_mbps",
    "warmup_overage",
    "warmup_slack",
    "waiting_room",
    "adaptive_concurrency",
]


@pytest.fixture
def write(tmp_path):
    """Return a function that writes settings to a file and returns its path."""

    def write_settings(text):
        path = tmp_path / "settings.json"
        path.write_text(text, encoding="utf-8")
        return path

    return write_settings


def test_comments_and_unknown_fields_are_accepted(write):
    text = "// one\n" + json.dumps({**VALID_SETTINGS, "new": 1}) + "/* two */"
    assert read_settings(write(text)).retry_slack == 56


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("name", None),
        ("store", "nowhere"),
        ("longest_hold", "long"),
        ("stream_port", "3"),
        ("memory_mb", 0),
        ("memory_mb", -1),
        ("memory_mb", "much"),
        ("warmup_overage", -1),
        ("warmup_slack", "some"),
        ("waiting_room", "sometimes"),
    ],
)
def test_error_names_the_invalid_field(write, field, value):
    with pytest.raises(SettingsError, match=field):
        read_settings(write(json.dumps({**VALID_SETTINGS, field: value})))


def test_error_names_the_missing_field_or_file(write, tmp_path):
    text = json.dumps({name: value for name, value in VALID_SETTINGS.items() if name != "store"})
    with pytest.raises(SettingsError, match="store"):
        read_settings(write(text))
    with pytest.raises(SettingsError, match="absent"):
        read_settings(tmp_path / "absent.json")


@pytest.mark.parametrize("field", OPTIONAL)
def test_settings_of_earlier_builds_are_accepted(write, field):
    settings = {name: value for name, value in VALID_SETTINGS.items() if name != field}
    assert read_settings(write(json.dumps(settings))) == read_settings(
        write(json.dumps(VALID_SETTINGS))
    )


def test_template_contains_every_field():
    names = re.findall(r'^  "(\w+)":', TEMPLATE.read_text(encoding="utf-8"), re.MULTILINE)
    assert sorted(names) == sorted(VALID_SETTINGS)
