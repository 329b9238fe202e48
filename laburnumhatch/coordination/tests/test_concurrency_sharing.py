"""All instances use the leader's estimates of what upstreams take well, and go on without it."""

from dataclasses import replace
from datetime import timedelta

import pytest

from ...clocks import milliseconds
from ...fleet import UpstreamIncarnation, is_feature_on
from ...placement.concurrency import TimedRequest
from ..concurrency_sharing import pack_times, unpack_times
from ..messages import ConcurrencyUpdate, TimingReport, UpstreamTimes
from .cluster import Cluster


@pytest.fixture
def cluster(clock):
    """Return a cluster in which estimates are on."""
    cluster = Cluster(clock)

    def switch_on(name, member):
        member._setup = replace(member._setup, adaptive_concurrency="on")

    cluster.before_start = switch_on
    cluster.upstreams.add("u1", "u2", "u3")
    cluster.add("a", "b", "c", cores=1.0)
    cluster.run(8)
    return cluster


def play(cluster, seconds, times_s):
    """Let the members send requests in turn to upstreams that take so many seconds, by name."""
    for step in range(round(seconds / 0.2)):
        members = [cluster.members[name] for name in sorted(cluster.members)]
        now, timings = cluster.clock.now(), members[step % len(members)]._load_tracker.timings
        for name, time_s in times_s.items():
            sent_at = now - timedelta(seconds=time_s)
            timings.note_sent(name, sent_at, 1.0)
            timings.note_ended(name, sent_at, now)
        cluster.run(0.2)


def times_of(member):
    return {n: round(e.unloaded_s, 2) for n, e in member._load_tracker.estimates.items()}


def count_updates(cluster, name):
    """Return a list to which the updates that a member receives are added."""
    handlers, received = cluster.network[name].handlers, []
    handle = handlers[ConcurrencyUpdate]

    def note(peer, update):
        received.append(update)
        handle(peer, update)

    handlers[ConcurrencyUpdate] = note
    return received


def test_all_members_use_the_same_estimates_and_little_is_sent(cluster):
    follower = next(name for name in cluster.members if name not in cluster.leaders())
    play(cluster, 4, {"u1": 0.1, "u2": 0.3, "u3": 0.15})
    received = count_updates(cluster, follower)
    play(cluster, 3, {"u1": 0.1, "u2": 0.3, "u3": 0.15})
    for member in cluster.members.values():
        assert times_of(member) == pytest.approx({"u1": 0.1, "u2": 0.3, "u3": 0.15}, rel=0.15)
    # Estimates that change hardly aren't sent again.
    assert sum(len(update.upstreams) for update in received) <= 6


def test_new_member_gets_all_estimates(cluster):
    play(cluster, 4, {"u1": 0.1, "u2": 0.3})
    cluster.add("d")
    cluster.run(4)
    assert times_of(cluster.members["d"]).keys() == {"u1", "u2"}


def test_new_leader_goes_on_with_the_estimates(cluster):
    play(cluster, 4, {"u1": 0.1, "u2": 0.3})
    cluster.crash(cluster.leaders()[0])
    cluster.run(6)
    assert cluster.leaders()
    for member in cluster.members.values():
        assert times_of(member) == pytest.approx({"u1": 0.1, "u2": 0.3}, rel=0.2)


def test_member_without_a_leader_uses_its_own_requests(cluster):
    # Fails if an instance that is cut off keeps an estimate that is no longer true.
    play(cluster, 4, {"u1": 0.1, "u2": 0.3})
    follower = next(name for name in cluster.members if name not in cluster.leaders())
    cluster.network[follower].cut()
    member = cluster.members[follower]
    play(cluster, 1, {"u1": 0.1, "u2": 0.3})
    assert times_of(member) == pytest.approx({"u1": 0.1, "u2": 0.3}, rel=0.2)
    play(cluster, 12, {"u1": 0.4, "u2": 0.3})
    assert member._load_tracker.estimates["u1"].unloaded_s == pytest.approx(0.4, rel=0.2)


def test_removed_and_restarted_upstreams_lose_their_estimates(cluster):
    play(cluster, 4, {"u1": 0.1, "u2": 0.3})
    restarted = replace(
        cluster.upstreams.registered["u2"], incarnation=UpstreamIncarnation("u2", 2)
    )
    cluster.upstreams.registered["u2"] = restarted
    cluster.run(4)
    for member in cluster.members.values():
        assert times_of(member).keys() == {"u1"}


def test_invalid_report_is_ignored(cluster):
    (leader,) = cluster.leaders()
    follower = next(name for name in cluster.members if name != leader)
    report = TimingReport((UpstreamTimes("u1", b"12345", b""),))
    assert cluster.network[follower].send(cluster.network[leader].name, report)
    play(cluster, 3, {"u1": 0.1})
    assert times_of(cluster.members[leader]) == pytest.approx({"u1": 0.1}, rel=0.2)


def test_times_are_as_before_packing():
    now = timedelta(seconds=50)
    request = TimedRequest(now - milliseconds(350), now - milliseconds(100), 1.25)
    assert unpack_times(pack_times([request], now), now) == [request]
    assert len(pack_times([request], now)) == 6


def test_nothing_is_recorded_or_sent_while_it_is_off(clock):
    cluster = Cluster(clock)
    cluster.upstreams.add("u1")
    cluster.add("a", "b")
    cluster.run(6)
    received = [count_updates(cluster, name) for name in ("a", "b")]
    play(cluster, 3, {"u1": 0.2})
    for member in cluster.members.values():
        assert member._load_tracker.estimates == {}
        load = member._load_tracker.load_of("u1")
        assert (load.unloaded_s, load.concurrency) == (0.0, 0)
    assert received == [[], []]


def test_auto_is_off_without_a_configuration():
    assert not is_feature_on("auto", None) and is_feature_on("on", None)


def test_estimates_are_dropped_under_a_leader_that_knows_none(cluster):
    # Fails if estimates that a member made alone stay for good under a leader of an older build.
    play(cluster, 4, {"u1": 0.1})
    (leader,) = cluster.leaders()
    cluster.members[leader]._concurrency.update_followers = lambda: None
    for name, member in cluster.members.items():
        if name != leader:
            member._concurrency._on_connected(leader)
    cluster.run(4)
    assert all(times_of(member) for member in cluster.members.values())
    cluster.run(2)
    assert not any(times_of(m) for name, m in cluster.members.items() if name != leader)
