"""Tests of the wait for the first leases."""

from ..first_leases import WITHIN, FirstLeases


def test_instance_waits_for_its_first_leases_only(clock):
    unleased = ["lofts"]
    first = FirstLeases(clock, lambda: unleased)
    first.configured()
    assert first.unready_reasons() == ["no lease yet of the owners of lofts"]
    unleased.clear()
    assert first.unready_reasons() == []
    unleased.append("stock")
    assert first.unready_reasons() == []


def test_wait_is_bounded_from_the_first_configuration(clock):
    first = FirstLeases(clock, lambda: ["lofts"])
    first.configured()
    clock.advance(WITHIN / 2)
    first.configured()
    assert first.unready_reasons()
    clock.advance(WITHIN / 2)
    assert first.unready_reasons() == []
