"""Which upstreams an evacuation concerns depends on the upstreams and the data centres only."""

from dataclasses import replace
from datetime import timedelta

import pytest

from ...clocks import milliseconds
from .. import RegistryView, Upstream, UpstreamIncarnation, spared_services

START = timedelta(seconds=100)


def make_upstream(name, data_centre, service="s", is_draining=False):
    return Upstream(
        UpstreamIncarnation(name, 1),
        service,
        "127.0.0.1",
        1,
        data_centre,
        2,
        is_draining,
        timedelta(),
    )


UPSTREAMS = [make_upstream("a", "d1"), make_upstream("b", "d2"), make_upstream("c", "d1", "t")]


@pytest.fixture
def registry_view():
    registry_view = RegistryView()
    registry_view.apply_read(UPSTREAMS, START)
    return registry_view


def evacuated(registry_view):
    return {name for name, u in registry_view.upstreams.items() if u.is_evacuated}


def test_service_without_another_upstream_is_spared(registry_view):
    assert registry_view.evacuate(frozenset({"d1"}))
    assert evacuated(registry_view) == {"a"}
    assert spared_services(UPSTREAMS, {"d1"}) == {"t"}
    assert not registry_view.evacuate(frozenset({"d1"}))


def test_draining_upstreams_elsewhere_do_not_serve_instead():
    upstreams = [make_upstream("a", "d1"), make_upstream("b", "d2", is_draining=True)]
    assert spared_services(upstreams, {"d1"}) == {"s"}


def test_marks_hold_through_reads_updates_and_departures(registry_view):
    registry_view.evacuate(frozenset({"d1"}))
    assert not registry_view.apply_read(UPSTREAMS, START + milliseconds(500))
    assert evacuated(registry_view) == {"a"}
    registry_view.replace([*UPSTREAMS, make_upstream("e", "d1")])
    assert evacuated(registry_view) == {"a", "e"}
    registry_view.mark_leaving(UpstreamIncarnation("e", 1))
    assert evacuated(registry_view) == {"a", "e"}


def test_mark_of_another_instance_is_not_taken_over(registry_view):
    registry_view.replace([replace(u, is_evacuated=True) for u in UPSTREAMS])
    assert evacuated(registry_view) == set()


def test_upstreams_that_are_used_again_are_named(registry_view):
    named = []
    registry_view.on_taken_back = named.extend
    registry_view.evacuate(frozenset({"d1"}))
    assert named == []
    # The last other upstream of the service leaves.
    registry_view.mark_leaving(UpstreamIncarnation("b", 1))
    assert named == ["a"]
