"""Tests that the stand-ins follow the protocol of the platform."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from ...clocks import milliseconds
from ...fleet import UpstreamIncarnation
from ..grants import GRANT_PATH, RELEASE_PATH
from ..headers import ATTEMPT_ID, KEY, NOT_RUN, SEAL, find_header
from ..standin import StandinStore, StandinUpstream, StoreFaults, UpstreamFaults


class FakeRequest:
    """Request that records its answer."""

    def __init__(self, method, target, body=None, fields=()):
        self.method, self.target, self.fields = method, target, list(fields)
        self.body = msgspec.json.encode(body) if body is not None else b""
        self.status = None
        self.answer_fields = []
        self.content = b""
        self.is_broken = False
        self.is_open = True

    def respond(self, status, fields, body):
        self.status, self.answer_fields, self.content = status, fields, body

    def abort_response(self):
        self.is_broken = True


@pytest.fixture
def store(clock):
    """Return an empty store."""
    return StandinStore(clock, random.Random(1))


def call(clock, store, method, target, body=None):
    request = FakeRequest(method, target, body)
    store.handle(request)
    clock.advance(milliseconds(10))
    return request


def write(clock, store, version, table="t"):
    name = {"table": table, "part": "", "key": "k"}
    body = {"expected": [{**name, "ver": version}], "put": [{**name, "value": "YQ=="}]}
    return call(clock, store, b"POST", b"/rows-tx", body)


def test_a_write_whose_condition_holds_is_executed(clock, store):
    assert write(clock, store, 0).status == 200
    assert store.get("t", "k").value == b"a"


def test_a_write_whose_condition_fails_returns_the_current_rows(clock, store):
    store.put("t", "k", b"b")
    refused = write(clock, store, 0)
    assert refused.status == 412
    assert msgspec.json.decode(refused.content)["rows"][0]["ver"] == 1
    assert store.get("t", "k").value == b"b"


def test_a_write_to_an_operator_table_is_forbidden(clock, store):
    assert write(clock, store, 0, "op").status == 403


def test_rows_are_read_page_by_page_in_key_order(clock, store):
    for key in ("c", "a", "b"):
        store.put("t", key, b"")
    found = call(clock, store, b"GET", b"/rows-get?table=t&part=&limit=2")
    page = msgspec.json.decode(found.content)
    assert [row["key"] for row in page["rows"]] == ["a", "b"] and page["truncated"]


def test_a_store_that_is_down_executes_no_write(clock, store):
    store.faults = StoreFaults(is_down=True)
    assert write(clock, store, 0).status == 503
    assert store.get("t", "k") is None


def test_a_write_with_a_lost_answer_is_executed(clock, store):
    store.faults = StoreFaults(lost_share=1.0)
    assert write(clock, store, 0).is_broken
    assert store.get("t", "k") is not None


def test_a_late_write_is_executed_only_if_its_condition_still_holds(clock, store):
    store.faults = StoreFaults(late_share=1.0)
    assert write(clock, store, 0).status is None
    store.put("t", "k", b"b")
    clock.advance(milliseconds(7000))
    assert store.get("t", "k").value == b"b"


class Reactor:
    """Reactor that opens no ports."""

    def listenTCP(self, port, factory, interface):
        return SimpleNamespace(stopListening=lambda: None)


class Observer:
    """Observer that ignores all events."""

    def __getattr__(self, name):
        return lambda *arguments: None


@pytest.fixture
def upstream(clock, store):
    """Return a running keyed upstream with a single slot."""
    upstream = StandinUpstream(
        clock=clock,
        reactor=Reactor(),
        store=store,
        observer=Observer(),
        random_source=random.Random(1),
        incarnation=UpstreamIncarnation("u1", 5),
        service="s",
        data_centre="d",
        address=("127.0.0.1", 1),
        listen_address=("127.0.0.1", 1),
        is_keyed=True,
        slots=1,
        clock_factor=1.0,
    )
    upstream.start()
    return upstream


def send(upstream, target, body=None, fields=()):
    request = FakeRequest(b"POST", target, body, fields)
    upstream._handle(request)
    return request


def grant(upstream, first, last, fencing_token, hold_time="1000ms"):
    body = {"from": first, "target": last, "fence": fencing_token, "hold_time": hold_time}
    return send(upstream, GRANT_PATH, body).status


def request(upstream, key=7):
    return send(upstream, b"/x", fields=[(ATTEMPT_ID, b"r"), (KEY, str(key).encode())])


def test_a_request_runs_only_while_its_key_is_leased(clock, upstream):
    refused = request(upstream)
    assert refused.status == 421 and find_header(refused.answer_fields, NOT_RUN)
    grant(upstream, 0, 10, 1)
    served = request(upstream)
    clock.advance(milliseconds(30))
    assert served.status == 200 and find_header(served.answer_fields, SEAL) == b"seal-r"
    clock.advance(milliseconds(1000))
    assert request(upstream).status == 421


def test_a_grant_with_a_lower_token_for_any_of_its_keys_is_refused(upstream):
    assert grant(upstream, 0, 10, 5) == 200
    assert grant(upstream, 10, 20, 4) == 409
    assert grant(upstream, 11, 20, 4) == 200


def test_a_release_is_answered_after_the_running_requests(clock, upstream):
    grant(upstream, 0, 10, 1)
    served = request(upstream)
    release = send(upstream, RELEASE_PATH, {"from": 7, "target": 7, "fence": 1})
    assert release.status is None
    assert request(upstream).status == 421
    clock.advance(milliseconds(30))
    assert served.status == 200 and release.status == 200
    assert upstream.lease_end(8) > clock.now() > upstream.lease_end(7)


def test_the_lease_of_a_late_grant_counts_from_its_arrival(clock, upstream):
    upstream.faults = UpstreamFaults(late_share=1.0)
    assert grant(upstream, 0, 10, 1, "10000ms") is None
    arrived = clock.now()
    clock.advance(milliseconds(12_000))
    assert upstream.lease_end(0) == arrived + milliseconds(10_000)


def test_a_registration_is_removed_after_a_crash(clock, store, upstream):
    assert store.get("servers", "u1") is not None
    upstream.crash()
    clock.advance(milliseconds(2700))
    assert store.get("servers", "u1") is None


def test_a_registration_expires_and_returns_with_the_link_to_the_store(clock, store, upstream):
    upstream.is_store_reachable = False
    clock.advance(milliseconds(4000))
    assert store.get("servers", "u1") is None
    assert not upstream.drain()
    upstream.is_store_reachable = True
    clock.advance(milliseconds(900))
    assert b"draining" in store.get("servers", "u1").value


def test_a_crash_does_not_remove_the_registration_of_a_restarted_upstream(clock, store, upstream):
    upstream.crash()
    store.put("servers", "u1", msgspec.json.encode({"born": 6}))
    clock.advance(milliseconds(2700))
    assert store.get("servers", "u1") is not None
