"""Tests of the readiness condition for the first leases."""

from ..first_leases import MAX_FIRST_LEASE_WAIT, FirstLeaseReadiness


def test_instance_waits_for_its_first_leases_only(clock):
    services_without_lease = ["lofts"]
    readiness = FirstLeaseReadiness(clock, lambda: services_without_lease)
    readiness.start_waiting()
    assert readiness.unready_reasons() == ["no lease yet of the owners of lofts"]
    services_without_lease.clear()
    assert readiness.unready_reasons() == []
    services_without_lease.append("stock")
    assert readiness.unready_reasons() == []


def test_wait_ends_after_its_maximum_from_the_first_configuration(clock):
    readiness = FirstLeaseReadiness(clock, lambda: ["lofts"])
    readiness.start_waiting()
    clock.advance(MAX_FIRST_LEASE_WAIT / 2)
    readiness.start_waiting()
    assert readiness.unready_reasons()
    clock.advance(MAX_FIRST_LEASE_WAIT / 2)
    assert readiness.unready_reasons() == []
