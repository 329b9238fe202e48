"""Leaders, keys and configuration when the store comes back from an older copy.

The cluster checks that no key gets two holders or a token that was used.
"""

import random

import pytest
from twisted.internet.defer import Deferred

from ...keyspace import decode_record
from ...keyspace.balance import KeyMove
from ...keyspace.service_leases import move_keys as move_owned_keys
from ...keyspace.service_leases import split_key_space
from ..leadership import decode_leader
from .cluster import Cluster

# Time until keys are held again that may be held under lost leases: authority, the longest late
# grant, and the election.
UNKNOWN_LEASES_S = 18


@pytest.fixture
def cluster(clock):
    """Return a cluster of three members and four upstreams after 4 s, when all keys are held."""
    cluster = Cluster(clock)
    cluster.store.generation = 1
    cluster.upstreams.add("u1", "u2", "u3", "u4")
    cluster.add("a", "b", "c")
    cluster.run(4)
    return cluster


def all_keys_held(cluster):
    return all(cluster.upstreams.holder(first) for first, _ in split_key_space(64))


def move_keys(cluster):
    """Let an upstream leave and another one join, so that many keys change owners."""
    name = next(iter(cluster.upstreams.registered))
    cluster.upstreams.remove(name)
    cluster.upstreams.add(f"{name}x")
    cluster.run(2.5)


def exchange_owners(cluster):
    """Move all keys from owners that stay, as for balance."""
    (name,) = cluster.leaders()
    leases = cluster.members[name]._leader.services["s"]
    owners = [lease.owner for lease in leases.leases]
    for lease, owner in zip(list(leases.leases), owners[1:] + owners[:1], strict=True):
        move = KeyMove(lease.first, lease.last, owner)
        move_owned_keys(leases, move, cluster.clock.now())
    cluster.run(2)
    assert [lease.owner for lease in leases.leases] == owners[1:] + owners[:1]


def replace_all(cluster, *names):
    """Crash all members and start others."""
    for name in list(cluster.members):
        cluster.crash(name)
    cluster.add(*names)


def recorded_leader(cluster):
    return decode_leader(cluster.store.rows["leader", "leader"].value)


@pytest.mark.parametrize("outage_s", [0, 0.3, 0.6])
def test_leader_with_authority_leads_on_and_keys_stay_held(cluster, outage_s):
    (leader,) = cluster.leaders()
    copied = cluster.store.copy()
    move_keys(cluster)
    cluster.store.is_down = True
    cluster.run(outage_s)
    cluster.store.restore(copied)
    cluster.store.is_down = False
    for _ in range(100):
        cluster.run(0.1)
        assert cluster.leaders() == [leader]
        assert all_keys_held(cluster)
    assert recorded_leader(cluster).generation == 2
    assert decode_record(cluster.store.rows["keys", "s"].value).generation == 2
    move_keys(cluster)
    cluster.run(5)
    assert all_keys_held(cluster)


def test_leader_lost_with_the_history_is_replaced_and_keys_are_held_again(cluster):
    copied = cluster.store.copy()
    move_keys(cluster)
    (leader,) = cluster.leaders()
    cluster.store.restore(copied)
    cluster.crash(leader)
    cluster.run(UNKNOWN_LEASES_S)
    (successor,) = cluster.leaders()
    assert successor != leader
    assert all_keys_held(cluster)
    move_keys(cluster)
    cluster.run(5)
    assert all_keys_held(cluster)


@pytest.mark.parametrize("outage_s", [0.5, 2, 3])
def test_requests_go_to_the_last_owners_after_the_leader_is_lost_with_the_history(
    cluster, outage_s
):
    copied = cluster.store.copy()
    exchange_owners(cluster)
    (leader,) = cluster.leaders()
    cluster.store.is_down = True
    cluster.run(outage_s)
    cluster.store.restore(copied)
    cluster.store.is_down = False
    cluster.crash(leader)
    for _ in range(25):
        # The longest leases last for 10 s from the first second of the outage on.
        cluster.run(0.2)
        for first, _ in split_key_space(64):
            holder = cluster.upstreams.holder(first)
            for member in cluster.members.values():
                known = member.ownership_maps["s"].find(first)
                assert holder is None or known.owner.name == holder


@pytest.mark.parametrize("outage_s", [1.5, 4, 12])
def test_no_key_has_two_holders_after_a_longer_outage(cluster, outage_s):
    copied = cluster.store.copy()
    move_keys(cluster)
    cluster.store.is_down = True
    cluster.run(outage_s)
    cluster.store.restore(copied)
    cluster.store.is_down = False
    cluster.run(UNKNOWN_LEASES_S)
    assert len(cluster.leaders()) == 1
    assert all_keys_held(cluster)


def test_row_of_a_leader_that_has_resigned_since_lets_nobody_lead_beside_the_present_one(cluster):
    (first,) = cluster.leaders()
    Deferred.fromCoroutine(cluster.members[first].resign())
    cluster.run(0.1)
    copied = cluster.store.copy()
    assert recorded_leader(cluster).has_resigned
    cluster.run(3)
    (second,) = cluster.leaders()
    assert second != first
    cluster.store.unreachable_members = {second}
    cluster.store.restore(copied)
    for _ in range(60):
        cluster.run(0.05)
        assert len(cluster.leaders()) <= 1


def test_all_lost_with_the_history(cluster):
    copied = cluster.store.copy()
    move_keys(cluster)
    for name in list(cluster.members):
        cluster.crash(name)
    cluster.store.restore(copied)
    cluster.add("d", "e", "f")
    cluster.run(UNKNOWN_LEASES_S)
    assert len(cluster.leaders()) == 1
    assert all_keys_held(cluster)


def test_history_from_before_the_first_leader_is_lost(clock):
    cluster = Cluster(clock)
    cluster.store.generation = 1
    copied = cluster.store.copy()
    cluster.upstreams.add("u1", "u2", "u3", "u4")
    cluster.add("a", "b", "c")
    cluster.run(4)
    move_keys(cluster)
    (leader,) = cluster.leaders()
    # Without the store, the leader grants the longest leases.
    cluster.store.is_down = True
    cluster.run(1.1)
    cluster.store.is_down = False
    cluster.store.restore(copied)
    cluster.crash(leader)
    cluster.run(UNKNOWN_LEASES_S)
    assert len(cluster.leaders()) == 1
    assert all_keys_held(cluster)


@pytest.mark.parametrize("led_s", [0.02, 0.1, 1, 5])
def test_second_leader_after_a_loss_waits_for_lost_leases_as_well(clock, led_s):
    cluster = Cluster(clock)
    cluster.store.generation = 1
    copied = cluster.store.copy()
    cluster.upstreams.add("u1", "u2", "u3", "u4")
    cluster.add("a", "b", "c")
    cluster.run(4)
    move_keys(cluster)
    # Without the store, the leader grants the longest leases.
    cluster.store.is_down = True
    cluster.run(1.1)
    cluster.store.is_down = False
    cluster.store.restore(copied)
    replace_all(cluster, "d", "e", "f")
    while not cluster.leaders():
        cluster.run(0.02)
    cluster.run(led_s)
    # None of these has seen that the store came back.
    replace_all(cluster, "g", "h", "i")
    cluster.run(UNKNOWN_LEASES_S)
    assert len(cluster.leaders()) == 1
    assert all_keys_held(cluster)


def test_deposed_leader_does_not_lead_on_by_its_row_of_an_older_copy(cluster):
    copied = cluster.store.copy()
    (first,) = cluster.leaders()
    cluster.store.unreachable_members = {first}
    cluster.run(3)
    (second,) = cluster.leaders()
    assert second != first
    move_keys(cluster)
    # The successor has authority for another second, but no access to the store.
    cluster.store.restore(copied)
    cluster.store.unreachable_members = {second}
    for _ in range(40):
        cluster.run(0.05)
        assert len(cluster.leaders()) <= 1
    cluster.store.unreachable_members = set()
    cluster.run(UNKNOWN_LEASES_S)
    assert len(cluster.leaders()) == 1
    assert all_keys_held(cluster)


def test_history_is_lost_twice(cluster):
    first_copy = cluster.store.copy()
    move_keys(cluster)
    cluster.store.restore(first_copy)
    cluster.run(1)
    second_copy = cluster.store.copy()
    move_keys(cluster)
    cluster.store.restore(first_copy)
    cluster.run(1)
    move_keys(cluster)
    cluster.store.restore(second_copy)
    (leader,) = cluster.leaders()
    cluster.crash(leader)
    cluster.run(UNKNOWN_LEASES_S)
    assert all_keys_held(cluster)


@pytest.mark.parametrize("seed", range(12))
def test_random_losses_of_history_leaders_and_members(clock, seed):
    rng = random.Random(seed)
    cluster = Cluster(clock)
    cluster.store.generation = 1
    cluster.upstreams.add("u1", "u2", "u3", "u4")
    cluster.add("a", "b", "c")
    cluster.run(4)
    copies = []
    started = 3
    for _ in range(40):
        copies.append(cluster.store.copy())
        action = rng.random()
        if action < 0.2:
            cluster.store.restore(rng.choice(copies[-4:]))
            copies.clear()
        elif action < 0.35:
            move_keys(cluster)
        elif action < 0.5:
            cluster.crash(rng.choice(list(cluster.members)))
            cluster.add(f"m{started}")
            started += 1
        elif action < 0.6:
            cluster.store.is_down = not cluster.store.is_down
        elif action < 0.7:
            cluster.store.unreachable_members = set(rng.sample(list(cluster.members), 1))
        elif action < 0.8:
            cluster.store.answers_to_lose = 2
        cluster.run(rng.uniform(0.1, 2))
        assert len(cluster.leaders()) <= 1
    cluster.store.is_down = False
    cluster.store.unreachable_members = set()
    cluster.store.answers_to_lose = 0
    cluster.run(UNKNOWN_LEASES_S + 10)
    assert len(cluster.leaders()) == 1
    assert all_keys_held(cluster)


@pytest.mark.parametrize("seed", range(12))
def test_random_losses_from_before_the_first_leader_on(clock, seed):
    rng = random.Random(seed)
    cluster = Cluster(clock)
    cluster.store.generation = 1
    copies = [cluster.store.copy()]
    cluster.upstreams.add("u1", "u2", "u3", "u4")
    cluster.add("a", "b", "c")
    started = 0
    for _ in range(8):
        cluster.run(rng.uniform(0.1, 3))
        copies.append(cluster.store.copy())
        cluster.store.is_down = rng.random() < 0.4
        cluster.run(rng.uniform(0, 1.2))
        cluster.store.is_down = False
        if rng.random() < 0.6:
            cluster.store.restore(rng.choice([copies[0], *copies[-2:]]))
        if rng.random() < 0.5:
            names = [f"{name}{started}" for name in "def"]
            replace_all(cluster, *names)
            started += 1
        elif rng.random() < 0.5:
            move_keys(cluster)
    cluster.run(UNKNOWN_LEASES_S + 10)
    assert len(cluster.leaders()) == 1
    assert all_keys_held(cluster)
