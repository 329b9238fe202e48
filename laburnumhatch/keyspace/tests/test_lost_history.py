"""Keys have at most one holder when the store comes back from an older copy."""

import itertools
from datetime import timedelta

import pytest

from ...fleet import UpstreamIncarnation
from ..lease import MAX_APPLICATION_DELAY, NEVER, UNKNOWN_OWNER, LeaseTiming
from ..lost_history import adopt_outdated_record
from ..row import RecordedRange, ServiceRecord
from ..service_leases import ServiceLeases, adopt_record
from .lease_world import KEY_COUNT, DoubleOwnership, LeaseWorld, Network

STEPS = 1500
TIMING = LeaseTiming()
RELIABLE = Network(0.0, 0.0, 0.0)
LOSSY = Network(0.1, 0.1, 0.1)
DELAYING = Network(0.02, 0.05, 0.4)


@pytest.mark.parametrize(
    "network", [RELIABLE, LOSSY, DELAYING], ids=["reliable", "lossy", "delaying"]
)
@pytest.mark.parametrize("seed", range(25))
def test_each_key_has_at_most_one_holder_when_the_store_forgets(network, seed):
    world = LeaseWorld(seed, network, forgets=True)
    world.run(STEPS)


@pytest.mark.parametrize("former", [UpstreamIncarnation("u1", 1), UNKNOWN_OWNER])
def test_former_owner_whose_expiry_is_not_recorded_may_hold_the_longest_lease(former):
    recorded = RecordedRange(0, 9, UpstreamIncarnation("u2", 1), 4, former, 2)
    leases, now = ServiceLeases("s"), timedelta(seconds=50)
    adopt_record(
        leases, ServiceRecord(4, (recorded,)), TIMING, TIMING.lease_duration, lambda time: time, now
    )
    latest = TIMING.latest_expiry(now, TIMING.max_lease_duration)
    late_grant = now + MAX_APPLICATION_DELAY if former == UNKNOWN_OWNER else now
    assert leases.leases[0].former.expires_at == max(latest, late_grant)


def test_all_keys_are_held_again_after_the_store_forgot():
    worlds = [LeaseWorld(seed, RELIABLE, forgets=True) for seed in range(25)]
    for world in worlds:
        world.run(600)
        for upstream in world.upstreams.values():
            upstream.is_up = True
        world.run(500, inject_faults=False)
        for key in range(KEY_COUNT):
            assert any(u.keys[key].until > world.now for u in world.upstreams.values())
    assert sum(world.generation for world in worlds) > 10


def adopt_as_current(leases, record, generation, timing, now):
    adopt_record(leases, record, timing, timing.max_lease_duration, lambda time: time, now)


def adopt_without_wait(leases, record, generation, timing, now):
    adopt_outdated_record(leases, record, generation, timing, now)
    for lease in leases.leases:
        lease.former = None


def adopt_without_skipping_tokens(leases, record, generation, timing, now):
    adopt_outdated_record(leases, record, record.generation, timing, now)


def adopt_for_one_lease_only(leases, record, generation, timing, now):
    adopt_outdated_record(leases, record, generation, timing, now)
    for lease in leases.leases:
        lease.former.expires_at = timing.latest_expiry(now, timing.lease_duration)
        lease.former.unanswered_grant_until = NEVER


@pytest.mark.parametrize(
    "adopt",
    [
        adopt_as_current,
        adopt_without_wait,
        adopt_without_skipping_tokens,
        adopt_for_one_lease_only,
    ],
)
def test_violation_of_the_protocol_is_detected(adopt):
    with pytest.raises(DoubleOwnership):
        for seed, network in itertools.product(range(100), (RELIABLE, LOSSY, DELAYING)):
            LeaseWorld(seed, network, forgets=True, adopt_outdated=adopt).run(STEPS)
