"""Requests keep off evacuated upstreams, and end normally where they are in flight."""

import json
from dataclasses import replace

import pytest

from ...clocks import milliseconds
from ..owner_lookup import EVACUATED_OWNER_GRACE
from ..pages import metrics_page
from .conftest import GatewayHarness, make_upstream

GRACE_STEP = milliseconds(100)


@pytest.fixture
def harness(clock):
    """Return a gateway whose upstreams u1 (plain) and u3 (keyed) are in the data centre d1."""
    harness = GatewayHarness(clock)
    harness.pool_ports = lambda: {call.address[1] for call in harness.pool.calls}
    harness.set_upstreams(
        *(
            replace(make_upstream(name, service), data_centre=data_centre)
            for name, service, data_centre in (
                ("u1", "plain", "d1"),
                ("u2", "plain", "d2"),
                ("u3", "keyed", "d1"),
                ("u4", "keyed", "d2"),
            )
        )
    )
    return harness


def evacuate(harness, *data_centres):
    harness.registry_view.evacuate(frozenset(data_centres))
    harness.gateway.refresh()


def test_new_requests_go_elsewhere_and_those_in_flight_end_normally(harness):
    evacuate(harness, "d2")
    request = harness.send_request()
    call = harness.pool.last
    evacuate(harness, "d1")
    harness.pool.calls.clear()
    for _ in range(20):
        harness.send_request()
    assert harness.pool_ports() == {8002}
    call.succeed()
    assert request.status == 200 and not call.is_aborted


def test_retry_goes_elsewhere(harness):
    evacuate(harness, "d2")
    harness.send_request()
    evacuate(harness, "d1")
    harness.pool.last.decline()
    assert harness.pool.last.address[1] == 8002


def test_owner_gets_requests_while_it_hands_over_its_keys_only(harness, clock):
    harness.set_owner("u3")
    evacuate(harness, "d1")
    harness.send_request(b"/keyed/x")
    assert harness.pool_ports() == {8003}
    clock.advance(EVACUATED_OWNER_GRACE + GRACE_STEP)
    harness.pool.calls.clear()
    request = harness.send_request(b"/keyed/x")
    # Refused at once, with a time to retry.
    assert request.status == 503 and harness.pool.calls == []
    assert b"retry-after" in dict(request.answer_fields)
    assert json.loads(request.content)


def test_start_of_another_upstream_there_does_not_renew_the_grace(harness, clock):
    harness.set_owner("u3")
    evacuate(harness, "d1")
    clock.advance(EVACUATED_OWNER_GRACE + GRACE_STEP)
    restarted = replace(make_upstream("u5", "keyed"), data_centre="d1")
    harness.set_upstreams(*harness.registry_view.upstreams.values(), restarted)
    harness.set_owner("u5")
    assert harness.send_request(b"/keyed/x").status == 503


def test_retry_for_a_key_waits_for_the_next_owner(harness):
    harness.set_owner("u3")
    request = harness.send_request(b"/keyed/x")
    evacuate(harness, "d1")
    harness.pool.last.decline()
    assert len(harness.pool.calls) == 1 and request.status is None
    harness.set_owner("u4")
    assert harness.pool.last.address[1] == 8004


def test_request_for_a_key_on_its_way_waits_as_for_a_draining_owner(harness):
    harness.set_owner("u3", is_held=False)
    evacuate(harness, "d1")
    request = harness.send_request(b"/keyed/x")
    assert request.status is None and harness.pool.calls == []
    harness.set_owner("u4")
    assert harness.pool_ports() == {8004}


def test_instance_that_starts_in_an_evacuation_sends_the_owner_nothing(clock):
    harness = GatewayHarness(clock)
    harness.set_upstreams()
    harness.registry_view.evacuate(frozenset({"d1"}))
    names = (("u3", "d1"), ("u4", "d2"))
    harness.set_upstreams(
        *(replace(make_upstream(name, "keyed"), data_centre=dc) for name, dc in names)
    )
    harness.set_owner("u3")
    assert harness.send_request(b"/keyed/x").status == 503


def test_upstreams_are_used_again(harness):
    evacuate(harness, "d1")
    evacuate(harness)
    harness.set_owner("u3")
    harness.send_request(b"/keyed/x")
    assert {u.name for u in harness.gateway.available_upstreams("plain")} == {"u1", "u2"}
    assert harness.pool_ports() == {8003}


def test_evacuated_upstreams_are_not_probed(harness):
    probed = []
    harness.pool.probe = lambda host, port, *_: probed.append(port)
    evacuate(harness, "d1")
    upstream = harness.registry_view.upstreams["u2"]
    monitor = harness.gateway.link_monitor
    monitor.note_failed(upstream)
    monitor._probe_all()
    assert set(probed) <= {8002, 8004}


@pytest.mark.parametrize(("data_centres", "count"), [((), 0), (("d1",), 1), (("d1", "d2"), 0)])
def test_metric_counts_evacuated_data_centres(harness, data_centres, count):
    evacuate(harness, *data_centres)
    request = harness.new_request()
    metrics_page(harness.gateway, {})(request)
    assert f"\nlaburnumhatch_evacuated_data_centres {count}\n".encode() in request.content
