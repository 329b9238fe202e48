"""Tests of collecting routing files and of encoding them as a snapshot."""

import pytest

from ..collect import CollectionError, collect
from ..snapshot import SnapshotRefused, decode_snapshot, encode_snapshot, snapshot_digest
from .conftest import make_routing_document


def _collection_problems(tmp_path):
    with pytest.raises(CollectionError) as caught:
        collect([tmp_path])
    return "\n".join(caught.value.problems)


def test_files_are_collected_in_order_of_service(tmp_path, write_file):
    write_file("b", make_routing_document("media"))
    write_file("a", make_routing_document("lofts"))
    assert [found.file.service for found in collect([tmp_path, tmp_path / "a"])] == [
        "lofts",
        "media",
    ]


def test_error_lists_the_problems_of_all_files(tmp_path, write_file):
    write_file("a", make_routing_document("lofts", path="/x/{a}"))
    write_file("b", make_routing_document("lofts"))
    write_file("c", make_routing_document("media", path="/x/y"))
    write_file("d", make_routing_document("flocks") | {"colour": 1})
    write_file("e", '{"service": ')
    bad_limit = make_routing_document("films")
    bad_limit["kinds"]["view"]["deadline_ms"] = 0
    write_file("f", bad_limit)
    bad_host = make_routing_document("tills")
    bad_host["targets"]["servers"][0]["host"] = "127.0.0.999"
    write_file("g", bad_host)
    problems = _collection_problems(tmp_path)
    for expected in (
        "b.routing.json: field service:",
        "c.routing.json: field kinds.view.path: GET /x/y overlaps kinds.view (GET /x/{a})",
        "d.routing.json: field colour:",
        "e.routing.json: line 1:",
        "f.routing.json: field kinds.view.deadline_ms:",
        "g.routing.json: field targets.servers.0.host:",
    ):
        assert expected in problems


def test_directory_without_files_is_reported(tmp_path):
    assert f"{tmp_path}: no file" in _collection_problems(tmp_path)


def test_snapshot_bytes_are_canonical(make_file):
    u, v = make_file("lofts"), make_file("media")
    content = encode_snapshot([u, v])
    assert content == encode_snapshot([v, u])
    snapshot = decode_snapshot(content, 4, snapshot_digest(content))
    assert [service.name for service in snapshot.services] == ["lofts", "media"]


def test_corrupted_or_newer_snapshot_is_refused(make_file):
    content = encode_snapshot([make_file("lofts")])
    assert isinstance(decode_snapshot(content + b" ", 1, snapshot_digest(content)), SnapshotRefused)
    newer_content = content.replace(b'"schema_number":1', b'"schema_number":2')
    refused = decode_snapshot(newer_content, 1, snapshot_digest(newer_content))
    assert "schema_number" in refused.reason
