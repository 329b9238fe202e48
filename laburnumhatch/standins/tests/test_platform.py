"""Tests of the platform stand-in."""

import json
from datetime import timedelta

import pytest
from twisted.python.failure import Failure

ROW = "/table/ownership%2Flofts%2F0"
CREATE = {"If-None-Match": "*", "Writer": "w1"}
REPLACE = {"If-Match": '"1"', "Writer": "w2"}


def _set_faults(stub, **faults):
    assert stub.request("PUT", "/faults", data=json.dumps(faults).encode())[0] == 200


def test_row_is_written_only_if_its_condition_holds(platform_stub, platform):
    assert platform_stub.request("GET", ROW)[0] == 404
    assert platform_stub.request("PUT", ROW, headers=REPLACE, data=b"b")[0] == 412
    assert platform_stub.request("PUT", ROW, headers=CREATE, data=b"a")[0] == 200
    status, headers, body = platform_stub.request("PUT", ROW, headers=CREATE, data=b"c")
    found = headers.getRawHeaders("etag"), headers.getRawHeaders("writer"), body
    assert (status, found) == (412, (['"1"'], ["w1"], b"a"))
    assert platform_stub.request("PUT", ROW, headers=REPLACE, data=b"b")[0] == 200
    assert platform.rows["ownership/lofts/0"].version == 2
    assert platform.counters == {"table_reads": 1, "table_writes": 4, "table_conflicts": 2}


@pytest.mark.parametrize(
    ("fault", "takes_effect"), [("lost_replies", True), ("lost_writes", False)]
)
def test_lost_write_or_reply_gets_no_response(platform_stub, platform, fault, takes_effect):
    _set_faults(platform_stub, table={fault: 1})
    assert isinstance(platform_stub.request("PUT", ROW, headers=CREATE, data=b"a"), Failure)
    assert bool(platform.rows) == takes_effect
    platform_stub.request("PUT", ROW, headers=CREATE, data=b"a")
    assert platform.rows["ownership/lofts/0"].version == 1


def test_slow_write_takes_effect_after_its_caller_disconnects(platform_stub, platform, clock):
    _set_faults(platform_stub, table={"slow_ms": 2000})
    call = platform_stub.send_async("PUT", ROW, headers=CREATE, data=b"a")
    call.addErrback(lambda _: None)
    platform_stub.flush()
    call.cancel()
    platform_stub.flush()
    clock.advance(timedelta(seconds=1.9))
    assert not platform.rows
    clock.advance(timedelta(seconds=0.2))
    assert platform.rows["ownership/lofts/0"].value == b"a"


def test_services_fail_independently(platform_stub):
    _set_faults(platform_stub, objects={"down": True})
    assert platform_stub.request("PUT", "/objects/snapshots%2Fab", data=b"x")[0] == 503
    assert platform_stub.request("GET", "/objects/snapshots%2Fab")[0] == 503
    assert platform_stub.request("GET", "/instances")[0] == 200
    _set_faults(platform_stub, table={"down": True}, instances={"down": True})
    assert platform_stub.request("PUT", "/objects/snapshots%2Fab", data=b"x")[0] == 200
    assert platform_stub.request("GET", "/objects/snapshots%2Fab")[2] == b"x"
    assert platform_stub.request("GET", "/instances")[0] == 503
    assert platform_stub.request("GET", ROW)[0] == 503


def test_replaced_instance_list_is_visible_after_its_lag(platform_stub, clock):
    entry = {"name": "e", "host": "127.0.0.1", "peer_port": 1, "admin_port": 2}
    listed = [{**entry, "data_centre": "lade", "state": "live"}]
    _set_faults(platform_stub, instances={"lag_ms": 5000})
    assert platform_stub.request("PUT", "/instances", data=json.dumps(listed).encode())[0] == 200
    assert json.loads(platform_stub.request("GET", "/instances")[2]) == []
    clock.advance(timedelta(seconds=5))
    assert json.loads(platform_stub.request("GET", "/instances")[2]) == listed


@pytest.mark.parametrize(
    ("path", "body", "named"),
    [
        ("/faults", b'{"table": {"slow": 1}}', b"table.slow"),
        ("/instances", b'[{"name": "e"}]', b"host"),
        (ROW, b"", b"Writer"),
    ],
)
def test_error_response_names_the_invalid_field(platform_stub, path, body, named):
    status, _, answer = platform_stub.request("PUT", path, data=body)
    assert status == 400 and named in answer
