"""Tests of ``trace`` on recorded logs.

The first three follow the examples in docs/OPERATIONS.md from a failed request to its cause.
"""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from ..trace import read_lines, request_history, state_changes, trace

LOGS = sorted((Path(__file__).parent / "logs").glob("*.log"))
REFUSED_UNDER_LOAD = "a9a7dbba813cdfa4"
LOST_WITH_ITS_UPSTREAM = "be8677ea4c4a3240"
KEY_WITHOUT_AN_OWNER = "d7c5bc20a2177901"


@pytest.fixture(scope="module")
def lines():
    """Return all lines of the recorded logs."""
    return read_lines(LOGS)


def history_text(request, lines):
    return "\n".join(request_history(request, lines))


def test_a_request_refused_under_load_names_the_upstream_and_the_prediction(lines):
    history = history_text(REFUSED_UNDER_LOAD, lines)
    assert "i-a576768896: 0.835 s predicted, 0.300 s allowed" in history
    assert "code=203 run=no" in history
    moves = [text for text in state_changes(lines) if "i-a576768896" in text]
    assert any("go to i-a576768896 for balance" in text for text in moves)


def test_a_request_lost_with_its_upstream_names_it_and_its_keys_move(lines):
    history = history_text(LOST_WITH_ITS_UPSTREAM, lines)
    assert "upstream=i-71a3def8a7" in history and "run=unknown" in history
    after = [text for text in state_changes(lines) if text > history[:26]]
    assert any("leave their owner" in text for text in after)


def test_a_key_without_an_owner_shows_the_leader_and_a_fresh_registry(lines):
    history = history_text(KEY_WITHOUT_AN_OWNER, lines)
    assert "code=301 run=no" in history
    assert "leader=edge-ranheim-1/3636efd1" in history
    assert "registry_age_s=0.38" in history


def test_command_fails_if_no_line_names_the_request():
    result = CliRunner().invoke(trace, ["nobody", *map(str, LOGS)])
    assert result.exit_code == 1 and "nobody" in result.output


def test_dash_shows_all_state_changes():
    result = CliRunner().invoke(trace, ["-", *map(str, LOGS)])
    assert result.exit_code == 0
    assert "leads from now on, term 1" in result.output
    assert "configuration 12 is in force" in result.output


def test_lines_without_a_json_object_are_skipped(tmp_path):
    path = tmp_path / "mixed.log"
    path.write_text(
        'plain text\n  12.5 edge {"time": "1", "message": "m"}\n{"cut": \n[1]\n', encoding="utf-8"
    )
    assert [line["message"] for line in read_lines([path])] == ["m"]


def test_json_option_prints_the_lines_of_the_request():
    options = [REFUSED_UNDER_LOAD, *map(str, LOGS), "--json"]
    result = CliRunner().invoke(trace, options)
    printed_lines = [json.loads(line) for line in result.output.splitlines()]
    assert printed_lines and {line["request"] for line in printed_lines} == {REFUSED_UNDER_LOAD}
