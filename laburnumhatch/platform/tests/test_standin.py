"""Tests that the stand-ins follow the protocol of the platform."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from ...clocks import milliseconds
from ...fleet import UpstreamLife
from ..grants import GRANT_PATH, RELEASE_PATH
from ..headers import KEY, NOT_RUN, REQUEST_ID, SEAL, find_header
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

    def answer(self, status, fields, body):
        self.status, self.answer_fields, self.content = status, fields, body

    def break_off(self):
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


def test_a_write_whose_condition_holds_is_done(clock, store):
    assert write(clock, store, 0).status == 200
    assert store.get("t", "k").value == b"a"


def test_a_write_whose_condition_fails_shows_the_rows(clock, store):
    store.put("t", "k", b"b")
    refused = write(clock, store, 0)
    assert refused.status == 412
    assert msgspec.json.decode(refused.content)["rows"][0]["ver"] == 1
    assert store.get("t", "k").value == b"b"


def test_the_operators_tables_can_only_be_read(clock, store):
    assert write(clock, store, 0, "op").status == 403


def test_rows_are_read_in_order_and_by_page(clock, store):
    for key in ("c", "a", "b"):
        store.put("t", key, b"")
    found = call(clock, store, b"GET", b"/rows-get?table=t&part=&limit=2")
    page = msgspec.json.decode(found.content)
    assert [row["key"] for row in page["rows"]] == ["a", "b"] and page["truncated"]


def test_a_store_that_is_down_does_nothing(clock, store):
    store.faults = StoreFaults(is_down=True)
    assert write(clock, store, 0).status == 503
    assert store.get("t", "k") is None


def test_a_lost_answer_belongs_to_a_write_that_is_done(clock, store):
    store.faults = StoreFaults(lost_share=1.0)
    assert write(clock, store, 0).is_broken
    assert store.get("t", "k") is not None


def test_a_late_write_is_done_only_if_its_condition_holds_then(clock, store):
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
        source=random.Random(1),
        life=UpstreamLife("u1", 5),
        service="s",
        data_centre="d",
        address=("127.0.0.1", 1),
        listens_at=("127.0.0.1", 1),
        is_keyed=True,
        slots=1,
        clock_factor=1.0,
    )
    upstream.start()
    return upstream


def ask(upstream, target, body=None, fields=()):
    request = FakeRequest(b"POST", target, body, fields)
    upstream._handle(request)
    return request


def grant(upstream, first, last, fence, hold="1000ms"):
    body = {"from": first, "target": last, "fence": fence, "hold_time": hold}
    return ask(upstream, GRANT_PATH, body).status


def request(upstream, key=7):
    return ask(upstream, b"/x", fields=[(REQUEST_ID, b"r"), (KEY, str(key).encode())])


def test_a_request_runs_only_while_its_key_is_held(clock, upstream):
    refused = request(upstream)
    assert refused.status == 421 and find_header(refused.answer_fields, NOT_RUN)
    grant(upstream, 0, 10, 1)
    served = request(upstream)
    clock.advance(milliseconds(30))
    assert served.status == 200 and find_header(served.answer_fields, SEAL) == b"seal-r"
    clock.advance(milliseconds(1000))
    assert request(upstream).status == 421


def test_a_lower_token_is_refused_on_any_key_of_a_grant(upstream):
    assert grant(upstream, 0, 10, 5) == 200
    assert grant(upstream, 10, 20, 4) == 409
    assert grant(upstream, 11, 20, 4) == 200


def test_a_release_is_answered_when_the_work_has_ended(clock, upstream):
    grant(upstream, 0, 10, 1)
    served = request(upstream)
    release = ask(upstream, RELEASE_PATH, {"from": 7, "target": 7, "fence": 1})
    assert release.status is None
    assert request(upstream).status == 421
    clock.advance(milliseconds(30))
    assert served.status == 200 and release.status == 200
    assert upstream.held_until(8) > clock.now() > upstream.held_until(7)


def test_a_late_grant_counts_from_its_arrival(clock, upstream):
    upstream.faults = UpstreamFaults(late_share=1.0)
    assert grant(upstream, 0, 10, 1, "10000ms") is None
    arrived = clock.now()
    clock.advance(milliseconds(12_000))
    assert upstream.held_until(0) == arrived + milliseconds(10_000)


def test_a_registration_ends_after_a_crash(clock, store, upstream):
    assert store.get("servers", "u1") is not None
    upstream.crash()
    clock.advance(milliseconds(2700))
    assert store.get("servers", "u1") is None


def test_a_registration_lapses_off_the_store_and_comes_back(clock, store, upstream):
    upstream.reaches_store = False
    clock.advance(milliseconds(4000))
    assert store.get("servers", "u1") is None
    assert not upstream.drain()
    upstream.reaches_store = True
    clock.advance(milliseconds(900))
    assert b"draining" in store.get("servers", "u1").value


def test_a_new_life_keeps_its_registration(clock, store, upstream):
    upstream.crash()
    store.put("servers", "u1", msgspec.json.encode({"born": 6}))
    clock.advance(milliseconds(2700))
    assert store.get("servers", "u1") is not None
