"""A leader leads on after an outage from which the store came back as an older copy.

The cluster checks that no key gets two holders or a token that was used.
"""

import pytest

from ...keyspace.service_leases import split_key_space
from ..leader import Leader
from ..leadership import Leadership
from ..messages import TermAnswer
from ..witnesses import Witnesses
from .cluster import Cluster
from .test_lost_history import UNKNOWN_LEASES_S, all_keys_held, exchange_owners, move_keys


@pytest.fixture
def cluster(clock):
    """Return a cluster of three members and four upstreams after 4 s, when all keys are held."""
    cluster = Cluster(clock)
    cluster.store.generation = 1
    cluster.upstreams.add("u1", "u2", "u3", "u4")
    cluster.add("a/1", "b/1", "c/1")
    cluster.run(4)
    return cluster


def come_back(cluster, outage_s):
    """Let the store be away after keys have moved, and come back without their record."""
    copied = cluster.store.copy()
    exchange_owners(cluster)
    cluster.store.is_down = True
    cluster.run(outage_s)
    cluster.store.restore(copied)
    cluster.store.is_down = False


def unheld_seconds(cluster, seconds):
    """Run the cluster and return for how long some key was held by no upstream."""
    unheld = 0
    for _ in range(round(seconds * 10)):
        cluster.run(0.1)
        assert len(cluster.leaders()) <= 1
        unheld += not all_keys_held(cluster)
    return unheld / 10


@pytest.mark.parametrize("outage_s", [0.5, 1, 2, 3, 4])
def test_keys_stay_held_if_all_members_live_on(cluster, outage_s):
    (leader,) = cluster.leaders()
    come_back(cluster, outage_s)
    assert unheld_seconds(cluster, UNKNOWN_LEASES_S) == 0
    assert cluster.leaders() == [leader]
    exchange_owners(cluster)
    move_keys(cluster)
    assert unheld_seconds(cluster, 5) == 0


def test_keys_stay_held_if_a_member_has_restarted(cluster):
    name = next(n for n in cluster.members if [n] != cluster.leaders())
    cluster.crash(name)
    cluster.add(name.replace("/1", "/2"))
    cluster.run(2)
    come_back(cluster, 2)
    assert unheld_seconds(cluster, UNKNOWN_LEASES_S) == 0


def test_keys_stay_held_if_the_store_is_restored_again_and_again(cluster):
    for outage_s in (2, 1, 3, 2):
        come_back(cluster, outage_s)
        assert unheld_seconds(cluster, 4) == 0


@pytest.mark.parametrize("outage_s", [2, 3, 6, 12])
def test_leader_does_not_lead_on_if_a_member_does_not_answer(cluster, outage_s):
    name = next(n for n in cluster.members if [n] != cluster.leaders())
    cluster.crash(name)
    come_back(cluster, outage_s)
    cluster.run(0.5)
    assert cluster.leaders() == []
    cluster.run(UNKNOWN_LEASES_S)
    assert len(cluster.leaders()) == 1
    assert all_keys_held(cluster)


def lose_later_leader(cluster, name):
    """Let a member lead and replace owners while all others lack the store.

    It is lost together with its record afterwards.
    """
    copied = cluster.store.copy()
    cluster.store.unreachable_members = set(cluster.members) - {name}
    cluster.network[name].cut()
    while cluster.leaders() != [name]:
        cluster.run(0.02)
    for upstream in list(cluster.upstreams.registered)[:2]:
        cluster.upstreams.remove(upstream)
        cluster.upstreams.add(f"{upstream}x")
    cluster.run(1)
    cluster.crash(name)
    cluster.store.restore(copied)
    cluster.store.unreachable_members = set()


@pytest.fixture
def leader_and_follower(cluster):
    """Return the names of the leader and of a member that it knows."""
    (leader,) = cluster.leaders()
    return leader, next(name for name in cluster.members if name != leader)


def test_leader_does_not_lead_on_after_a_member_that_led_and_is_lost(cluster, leader_and_follower):
    leader, follower = leader_and_follower
    lose_later_leader(cluster, follower)
    cluster.run(1)
    assert leader not in cluster.leaders()
    cluster.run(UNKNOWN_LEASES_S)
    assert len(cluster.leaders()) == 1
    assert all_keys_held(cluster)


def test_member_that_is_not_asked_gives_keys_two_holders(cluster, leader_and_follower, monkeypatch):
    # Shows that the rule is needed.
    monkeypatch.setattr(Witnesses, "exclude_later_term", lambda self, term: True)
    _, follower = leader_and_follower
    with pytest.raises(AssertionError):
        lose_later_leader(cluster, follower)
        cluster.run(UNKNOWN_LEASES_S)


def test_leader_leads_on_after_an_unknown_leader_that_is_lost(cluster, leader_and_follower):
    leader, _ = leader_and_follower
    cluster.add("x/1")
    lose_later_leader(cluster, "x/1")
    cluster.run(2)
    assert cluster.leaders() == [leader]
    cluster.run(UNKNOWN_LEASES_S)
    assert all_keys_held(cluster)


def test_unknown_leader_that_moves_keys_at_once_gives_keys_two_holders(cluster, monkeypatch):
    # Shows that the rule is needed.
    monkeypatch.setattr(Leadership, "consider_predecessor", lambda self, now: None)
    cluster.add("x/1")
    with pytest.raises(AssertionError):
        lose_later_leader(cluster, "x/1")
        cluster.run(UNKNOWN_LEASES_S)


def test_successor_of_an_unknown_leader_moves_no_keys_either(cluster, leader_and_follower):
    leader, _ = leader_and_follower
    copied = cluster.store.copy()
    cluster.store.unreachable_members = set(cluster.members)
    # The unknown members reach the store and each other, and nobody else.
    network, cluster.network = cluster.network, {}
    cluster.add("x/1", "y/1")
    for _ in range(2):
        while cluster.leaders() in ([], [leader]):
            cluster.run(0.02)
        (unknown,) = cluster.leaders()
        for upstream in list(cluster.upstreams.registered)[:1]:
            cluster.upstreams.remove(upstream)
            cluster.upstreams.add(f"{upstream}x")
        cluster.run(0.6)
        cluster.crash(unknown)
    cluster.network = network
    cluster.store.restore(copied)
    cluster.store.unreachable_members = set()
    cluster.run(2)
    assert cluster.leaders() == [leader]
    cluster.run(UNKNOWN_LEASES_S)
    assert all_keys_held(cluster)


def test_unknown_leader_moves_keys_once_its_predecessor_can_not_lead_on(cluster):
    cluster.store.unreachable_members = set(cluster.members)
    cluster.add("x/1")
    cluster.network["x/1"].cut()
    name = next(iter(cluster.upstreams.registered))
    cluster.upstreams.remove(name)
    cluster.upstreams.add(f"{name}x")
    cluster.run(25)
    assert cluster.leaders() == ["x/1"]
    owners = {cluster.upstreams.holder(first) for first, _ in split_key_space(64)}
    assert name not in owners and None not in owners


def test_answers_of_other_generations_and_former_processes_are_void():
    witnesses = Witnesses()
    witnesses.note_members(["a/1", "b/1"])
    witnesses.note_members(["b/2"])
    witnesses.ask(3)
    witnesses.note_answer("a/1", 2, 0)
    witnesses.note_answer("b/1", 3, 0)
    assert witnesses.missing() == ["a/1", "b/2"]
    assert not witnesses.exclude_later_term(5)
    witnesses.note_answer("a/1", 3, 5)
    witnesses.note_answer("b/2", 3, 4)
    assert witnesses.exclude_later_term(5) and not witnesses.exclude_later_term(4)
    witnesses.ask(4)
    assert not witnesses.exclude_later_term(5)


def test_answer_nobody_asked_for_lets_nobody_lead_on(cluster):
    (leader,) = cluster.leaders()
    others = [name for name in cluster.members if name != leader]
    for name in others:
        cluster.network[name].send(leader, TermAnswer(2, 0))
    for name in others:
        cluster.crash(name)
    come_back(cluster, 2)
    cluster.run(0.5)
    assert cluster.leaders() == []
    assert isinstance(cluster.members[leader]._leader, Leader | None)
