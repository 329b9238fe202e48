"""Tests that no key has two holders under failures of network, leaders and upstreams."""

import pytest

from ..lease import NEVER, FormerOwner, Phase
from ..service_leases import adopt_record
from .lease_world import KEY_COUNT, DoubleOwnership, LeaseWorld, Network

STEPS = 1500
RELIABLE = Network(0.0, 0.0, 0.0)
LOSSY = Network(0.1, 0.1, 0.1)
DELAYING = Network(0.02, 0.05, 0.4)


def adopt_without_wait(leases, record, timing, lease_duration, local_time_after, now):
    adopt_record(leases, record, timing, lease_duration, local_time_after, now)
    for lease in leases.leases:
        lease.held_until = lease.unanswered_grant_until = NEVER
        lease.former = None


def adopt_with_the_normal_lease_duration(
    leases, record, timing, lease_duration, local_time_after, now
):
    adopt_record(leases, record, timing, lease_duration, local_time_after, now)
    end = timing.latest_expiry(now, timing.lease_duration)
    for lease in leases.leases:
        lease.held_until = lease.unanswered_grant_until = end


def adopt_and_fence_the_former_owner(leases, record, timing, lease_duration, local_time_after, now):
    adopt_record(leases, record, timing, lease_duration, local_time_after, now)
    for lease in leases.leases:
        if lease.former is not None:
            until = lease.former.expires_at
            lease.former = FormerOwner(
                lease.former.incarnation, lease.fencing_token - 1, until, until
            )
            lease.phase = Phase.FENCING


def adopt_without_waiting_for_former_owners(
    leases, record, timing, lease_duration, local_time_after, now
):
    adopt_record(leases, record, timing, lease_duration, lambda time: now, now)


def forget_unanswered_grants(lease):
    lease.unanswered_grant_until = NEVER
    if lease.former is not None:
        lease.former.unanswered_grant_until = NEVER


@pytest.mark.parametrize(
    "network", [RELIABLE, LOSSY, DELAYING], ids=["reliable", "lossy", "delaying"]
)
@pytest.mark.parametrize("seed", range(25))
def test_each_key_has_at_most_one_holder_under_random_faults(network, seed):
    world = LeaseWorld(seed, network)
    world.run(STEPS)
    assert world.grant_count > 100
    assert world.move_count > 20


def test_all_keys_are_held_without_faults():
    world = LeaseWorld(7, RELIABLE)
    world.run(400, inject_faults=False)
    held = sum(holding.until > world.now for u in world.upstreams.values() for holding in u.keys)
    assert held == KEY_COUNT


@pytest.mark.parametrize(
    ("fault", "network"),
    [
        ({"adopt": adopt_without_wait}, LOSSY),
        ({"adopt": adopt_with_the_normal_lease_duration}, DELAYING),
        ({"adopt": adopt_and_fence_the_former_owner}, LOSSY),
        ({"adopt": adopt_without_waiting_for_former_owners}, DELAYING),
        ({"after_result": forget_unanswered_grants}, DELAYING),
        ({"records_tokens": False}, RELIABLE),
        ({"fences_restarted": False}, DELAYING),
    ],
    ids=[
        "no waiting for recorded leases",
        "long lease durations ignored",
        "former owner fenced on adoption",
        "former lease not waited for",
        "unanswered grants forgotten",
        "tokens not recorded",
        "restarts not taken account of",
    ],
)
def test_protocol_violation_is_detected(fault, network):
    with pytest.raises(DoubleOwnership):
        for seed in (*range(60), 584):
            LeaseWorld(seed, network, **fault).run(STEPS)
