"""Tests of request matching."""

from hypothesis import given
from hypothesis import strategies as st

from ...settings import parse_document
from ..file import RoutingFile, service_from_file
from ..match import build_matcher
from ..service import Snapshot

ROUTING_FILE = """{
  "service": "loft-availability",
  "key": {"path": "loft"},
  "ownership": {"slots": 16},
  "targets": {"slots": 2, "servers": [
    {"name": "loft-1", "host": "127.0.0.1", "port": 9001, "data_centre": "lade"}]},
  "kinds": {
    "view": {"method": "GET", "path": "/lofts/{loft}/availability", "deadline_ms": 500},
    "set": {"method": "PUT", "path": "/lofts/{loft}/availability", "deadline_ms": 500}
  }
}"""


def _snapshot():
    service = service_from_file(parse_document(ROUTING_FILE, RoutingFile, "loft.json"))
    return Snapshot(1, "", (service,))


def test_request_matches_its_kind_and_key():
    match = build_matcher(_snapshot())("PUT", "/lofts/rosa%2F1/availability?day=2", {})
    assert (match.kind.name, match.key) == ("set", "rosa/1")


def test_request_without_a_kind_has_no_match():
    match = build_matcher(_snapshot())
    assert match("POST", "/lofts/a/availability", {}) is None
    assert match("GET", "/lofts//availability", {}) is None
    assert match("GET", "*", {}) is None


@given(st.text(max_size=30))
def test_any_request_target_is_matched_without_an_error(target):
    found = build_matcher(_snapshot())("GET", target, {})
    assert found is None or found.kind.name == "view"
