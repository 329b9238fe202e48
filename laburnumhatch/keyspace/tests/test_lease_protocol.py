"""No key has two holders, whatever the network, the leaders and the upstreams do."""

import pytest

from ..lease import NEVER, Former, Phase
from ..service_leases import adopt_record
from .lease_world import KEYS, LeaseWorld, Network, TwoHolders

STEPS = 1500
QUIET = Network(0.0, 0.0, 0.0)
ROUGH = Network(0.1, 0.1, 0.1)
LATE = Network(0.02, 0.05, 0.4)


def adopt_without_wait(leases, record, timing, hold, passed_by, now):
    adopt_record(leases, record, timing, hold, passed_by, now)
    for lease in leases.leases:
        lease.held_until = lease.unanswered_until = NEVER
        lease.former = None


def adopt_with_the_usual_hold(leases, record, timing, hold, passed_by, now):
    adopt_record(leases, record, timing, hold, passed_by, now)
    end = timing.end_of_hold(now, timing.hold)
    for lease in leases.leases:
        lease.held_until = lease.unanswered_until = end


def adopt_and_fence_the_former(leases, record, timing, hold, passed_by, now):
    adopt_record(leases, record, timing, hold, passed_by, now)
    for lease in leases.leases:
        if lease.former is not None:
            until = lease.former.until
            lease.former = Former(lease.former.life, lease.fence - 1, until, until)
            lease.phase = Phase.FENCING


def adopt_without_former_leases(leases, record, timing, hold, passed_by, now):
    adopt_record(leases, record, timing, hold, lambda time: now, now)


def forget_unanswered_grants(lease):
    lease.unanswered_until = NEVER
    if lease.former is not None:
        lease.former.unanswered_until = NEVER


@pytest.mark.parametrize("network", [QUIET, ROUGH, LATE], ids=["quiet", "rough", "late"])
@pytest.mark.parametrize("seed", range(25))
def test_a_key_has_one_holder(network, seed):
    world = LeaseWorld(seed, network)
    world.run(STEPS)
    assert world.grants > 100
    assert world.moves > 20


def test_all_keys_are_held_without_trouble():
    world = LeaseWorld(7, QUIET)
    world.run(400, trouble=False)
    held = sum(holding.until > world.now for u in world.upstreams.values() for holding in u.keys)
    assert held == KEYS


@pytest.mark.parametrize(
    ("fault", "network"),
    [
        ({"adopt": adopt_without_wait}, ROUGH),
        ({"adopt": adopt_with_the_usual_hold}, LATE),
        ({"adopt": adopt_and_fence_the_former}, ROUGH),
        ({"adopt": adopt_without_former_leases}, LATE),
        ({"after_result": forget_unanswered_grants}, LATE),
        ({"writes_tokens": False}, QUIET),
    ],
    ids=[
        "no wait",
        "raised hold",
        "former fenced",
        "former not waited for",
        "late grant",
        "tokens not written",
    ],
)
def test_a_planted_fault_is_found(fault, network):
    with pytest.raises(TwoHolders):
        for seed in range(60):
            LeaseWorld(seed, network, **fault).run(STEPS)
