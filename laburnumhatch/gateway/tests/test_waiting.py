"""Requests that wait at the instance for room at an upstream."""

from dataclasses import replace
from datetime import timedelta

import pytest

from ...clocks import milliseconds
from ...fleet import RouteTable
from .conftest import make_upstream


@pytest.fixture
def busy(harness):
    """Return a gateway with a waiting room whose only upstreams are full."""
    routes = harness.member.routes
    changed = tuple(replace(r, has_large_bodies=r.name == "unsafe") for r in routes.routes)
    harness.member.routes = RouteTable.from_routes(2, changed, routes.services, routes.limits)
    harness.set_upstreams(make_upstream("u1"), make_upstream("u3", "keyed"))
    harness.set_owner("u3")
    set_in_flight(harness, 16)
    return harness


def set_in_flight(harness, count):
    """Set the requests in flight from other instances, which take 50 ms each with two slots."""
    loads = harness.gateway.load_tracker
    for name in ("u1", "u3", "u4"):
        loads.load_of(name)
    others = dict.fromkeys(("u1", "u3", "u4"), count)
    loads.set_others_in_flight(others, harness.clock.now())


@pytest.mark.parametrize("path", [b"/safe/x", b"/keyed/x"])
def test_request_waits_and_is_sent_when_there_is_room(busy, clock, path):
    request = busy.send_request(path)
    assert busy.gateway.admission.waiting_count == 1 and not busy.pool.calls
    set_in_flight(busy, 2)
    clock.advance(milliseconds(25))
    busy.pool.last.succeed()
    assert request.status == 200
    assert set(busy.gateway.metrics.waits.values()) == {1}


def test_answer_makes_room_for_a_waiting_request(busy, clock):
    set_in_flight(busy, 13)
    busy.send_request()
    busy.send_request()
    assert len(busy.pool.calls) == 1 == busy.gateway.admission.waiting_count
    set_in_flight(busy, 1)
    busy.pool.calls[0].succeed()
    clock.advance(timedelta())
    assert len(busy.pool.calls) == 2 and not busy.gateway.admission.waiting_count


def test_request_that_gets_no_room_is_refused_as_not_run(busy, clock):
    request = busy.send_request()
    for _ in range(8):
        clock.advance(milliseconds(25))
    assert request.status == 503 and not busy.pool.calls
    assert busy.gateway.metrics.waits["plain", "refused"] == 1


def test_caller_that_leaves_waits_no_longer(busy):
    request = busy.send_request()
    request.is_truncated = True
    request.on_disconnect()
    assert busy.gateway.admission.waiting_count == 0 == busy.gateway.in_flight


def test_request_waits_for_the_next_owner_of_its_key(busy, clock):
    request = busy.send_request(b"/keyed/x")
    busy.set_upstreams(make_upstream("u3", "keyed"), make_upstream("u4", "keyed"))
    busy.set_owner("u4")
    set_in_flight(busy, 0)
    clock.advance(milliseconds(25))
    assert busy.pool.last.address[1] == 8004
    busy.pool.last.succeed()
    assert request.status == 200


def test_request_does_not_wait_beyond_a_planned_stop(busy, clock):
    request = busy.send_request()
    busy.gateway.requests_end_at = clock.now() + milliseconds(100)
    clock.advance(milliseconds(25))
    assert request.status == 503 and busy.gateway.admission.waiting_count == 0


def test_requests_do_not_wait_without_a_route_with_large_bodies(harness):
    set_in_flight(harness, 13)
    for name in ("u1", "u2"):
        harness.gateway.load_tracker.load_of(name).others_in_flight = 13
    assert harness.send_request().status == 503
