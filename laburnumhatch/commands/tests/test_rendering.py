"""Tests of the commands' text output and of their error messages for invalid input."""

import pytest
from click.testing import CliRunner

from ...configuration import (
    Change,
    ChangeKind,
    Comparison,
    InForce,
    LaggingInstance,
    NotInForce,
    PublishConflict,
    Published,
    PublishFailed,
    PublishUnknown,
    VersionUnknown,
)
from ..diff import render_comparison
from ..exit_codes import ExitCode
from ..explain import render_explanation
from ..main import main
from ..outcome import exit_code_of, render_outcome, render_report
from ..status import render_status

DIGEST = "0123456789abcdef" * 4
STATUS = {
    "instance": "entry-1",
    "data_centre": "lade",
    "state": "serving",
    "ready": True,
    "reasons": [],
    "configuration": {"version": 7, "digest": DIGEST, "problem": None},
    "instances": ["entry-1", "entry-2"],
    "links": ["entry-2"],
    "targets": {"loft-availability": {"loft-1": "ready", "loft-2": "suspect"}},
    "ownership": {
        "ownership/loft-availability/0": {
            "role": "standby",
            "coordinator": "entry-2/3d011279",
            "standbys": ["entry-1/17442069", "entry-3/55a1c003"],
            "lease_expires_in_ms": 933,
            "write_unresolved": False,
            "slots_by_server": {"loft-1": 512, "loft-2": 512},
        }
    },
    "in_flight": 3,
}
UNREADY = {
    **STATUS,
    "state": "unready",
    "ready": False,
    "reasons": ["the instance is unready"],
    "configuration": {"version": 0, "digest": "", "problem": "nothing is published"},
    "instances": [],
    "links": [],
    "targets": {},
    "ownership": {},
}
OWNED = {
    "instance": "entry-1",
    "configuration_version": 7,
    "service": "loft-availability",
    "key": "rosa",
    "slot": 538,
    "owner": "loft-8",
    "epoch": 4,
    "why_not": None,
    "expires_in_ms": 981,
    "coordinator": "entry-1/17442069",
    "own_entry": False,
    "last_move": "loft-3 to loft-8: loft-3 is gone",
}
NOT_OWNED = {**OWNED, "owner": None, "epoch": None, "why_not": "the key is moving"}
IN_FORCE = InForce(7, ("entry-1", "entry-2"))
NOT_IN_FORCE = NotInForce(
    7, ("entry-1",), (LaggingInstance("entry-2", "version 6 is in force"),), "1 of 2"
)
VALID_ROUTING_FILE = """{"service": "lofts", "targets": {"slots": 2, "servers": [
  {"name": "loft-1", "host": "127.0.0.1", "port": 9001, "data_centre": "lade"}]},
  "kinds": {"view": {"method": "GET", "path": "/lofts/{loft}", "deadline_ms": 500}}}"""


@pytest.mark.parametrize("document", [STATUS, UNREADY], ids=["ready", "unready"])
def test_status(document, snapshot):
    assert render_status(document) == snapshot


@pytest.mark.parametrize("document", [OWNED, NOT_OWNED], ids=["owned", "not"])
def test_explanation(document, snapshot):
    assert render_explanation(document) == snapshot


def test_comparison(snapshot):
    changes = (
        Change(ChangeKind.ADDED, "lofts.kinds.hold"),
        Change(ChangeKind.REMOVED, "lofts.targets.loft-3"),
        Change(ChangeKind.CHANGED, "lofts.kinds.view.deadline_ms", "500", "800"),
    )
    assert render_comparison(Comparison(7, changes)) == snapshot
    assert render_comparison(Comparison(0, ())) == snapshot


@pytest.mark.parametrize(
    ("outcome", "report", "code"),
    [
        (Published(7, DIGEST), IN_FORCE, ExitCode.DONE),
        (Published(7, DIGEST, changed=False), NOT_IN_FORCE, ExitCode.NOT_EVERYWHERE),
        (PublishConflict(6, "ana", DIGEST, DIGEST[::-1]), None, ExitCode.CONFLICT),
        (PublishFailed("the table is down"), None, ExitCode.PLATFORM_UNAVAILABLE),
        (PublishUnknown(7, DIGEST, "no answer"), None, ExitCode.OUTCOME_UNKNOWN),
        (VersionUnknown(9, (1, 2)), None, ExitCode.BAD_INPUT),
    ],
    ids=lambda value: type(value).__name__,
)
def test_outcome(outcome, report, code, snapshot):
    assert exit_code_of(outcome, report) == code
    assert [render_outcome(outcome), report and render_report(report)] == snapshot


@pytest.mark.parametrize(
    ("replaced", "replacement", "expected_text"),
    [
        ('"slots": 2', '"slots": 0', "field targets.slots"),
        ('"deadline_ms": 500', '"deadline": 500', "field kinds.view.deadline"),
        ('"kinds"', "kinds:", "line 3"),
        ('"GET"', '"get"', "field kinds.view.method"),
        ("127.0.0.1", "localhost", "field targets.servers.0.host"),
    ],
)
def test_error_names_the_routing_file_and_the_field_or_line(
    tmp_path, replaced, replacement, expected_text
):
    path = tmp_path / "lofts.routing.json"
    path.write_text(VALID_ROUTING_FILE.replace(replaced, replacement))
    result = CliRunner().invoke(main, ["check", str(tmp_path)])
    assert result.exit_code == ExitCode.BAD_INPUT
    assert f"{path}: {expected_text}" in result.stderr


def test_good_routing_file_passes(tmp_path, snapshot):
    (tmp_path / "lofts.routing.json").write_text(VALID_ROUTING_FILE)
    result = CliRunner().invoke(main, ["check", str(tmp_path)])
    assert (result.exit_code, result.output) == (0, snapshot)


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        (["status"], "--admin HOST:PORT"),
        (["status", "--admin", "entry-1"], "'entry-1'"),
        (["check"], "DIR..."),
        (["check", "nowhere"], "'nowhere'"),
        (["publish", "."], "--settings"),
        (["rollback", "0", "--settings", "x"], "VERSION"),
        (["standin", "upstream", "--service", "s", "--name", "n", "--work-ms", "-1"], "--work-ms"),
        (["entry", "--settings", "nowhere.json"], "nowhere.json: can't be read"),
    ],
)
def test_error_names_the_invalid_argument(arguments, expected_text):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == ExitCode.BAD_INPUT
    assert expected_text in result.stderr
