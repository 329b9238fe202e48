"""Calls of the store stay few while it is unavailable to some instances, or to all."""

import random
from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred

from ...clocks import milliseconds
from ..probe_schedule import (
    INTERVAL_PER_INSTANCE,
    MAX_PROBE_INTERVAL,
    MIN_PROBE_INTERVAL,
    SUPPLIED_PROBE_INTERVAL,
    ProbeSchedule,
)
from ..stream_key import shared_stream_key
from .cluster import Cluster, MemoryStore

INSTANCE_COUNT = 67
# In 30 s with 10 s in which a third of the instances is refused, and 8 s in which all are.
MAX_CALLS = 1500


def test_calls_of_a_deployment_through_an_outage(clock):
    rng = random.Random(1)
    cluster = Cluster(clock)
    for data_centre in ("d1", "d2", "d3"):
        names = [f"{data_centre}u{n}" for n in range(4)]
        cluster.upstreams.add(*names, data_centre=data_centre)
    for number in range(INSTANCE_COUNT):
        cluster.add(f"m{number}", cores=rng.uniform(0.32, 2.15), is_first_start=True)
        # Processes don't start at the same instant, and neither are their checks.
        clock.advance(milliseconds(rng.uniform(0, 15)))
    cluster.run(4)
    leaders = cluster.leaders()
    refused = {*rng.sample(sorted(cluster.members), INSTANCE_COUNT // 3), *leaders}
    cluster.store.unreachable_members = refused
    cluster.run(2)
    cluster.store.call_counts.clear()
    cluster.run(8)
    # They hear the next leader, of which the former one has told them, and which reads the store.
    (leader,) = cluster.leaders()
    others = refused - {leader, *leaders}
    assert {cluster.members[name].leader_name for name in others} == {leader}
    assert all(cluster.store.call_counts[name] <= 3 for name in others)
    cluster.store.is_down = True
    cluster.run(8)
    cluster.store.is_down = False
    cluster.store.unreachable_members = set()
    cluster.run(1)
    assert len(cluster.leaders()) == 1
    cluster.run(7)
    assert cluster.store.call_count < MAX_CALLS


def probe_times(schedule, seconds, is_supplied):
    """Return the intervals between the probes of a member that checks every 100 ms."""
    sent = [timedelta()]
    for step in range(1, seconds * 10):
        now = milliseconds(100) * step
        if schedule.is_due(sent[-1], now, is_supplied=is_supplied):
            sent.append(now)
    return [b - a for a, b in zip(sent, sent[1:], strict=False)]


def test_probes_of_many_instances_back_off_to_the_maximum():
    intervals = probe_times(ProbeSchedule(lambda: INSTANCE_COUNT, lambda: 0.5), 30, False)
    # An outage of a second or two costs no more time than without the backoff.
    assert max(intervals[:3]) <= milliseconds(1000)
    assert intervals == sorted(intervals)
    assert MAX_PROBE_INTERVAL >= intervals[-1] >= INTERVAL_PER_INSTANCE * INSTANCE_COUNT


def test_probes_of_few_instances_stay_frequent():
    intervals = probe_times(ProbeSchedule(lambda: 3, lambda: 0.5), 10, False)
    assert set(intervals) == {MIN_PROBE_INTERVAL}


def test_member_that_hears_a_leader_probes_once_soon_and_rarely_after():
    intervals = probe_times(ProbeSchedule(lambda: INSTANCE_COUNT, lambda: 0.5), 30, True)
    assert intervals[0] <= milliseconds(1300)
    assert set(intervals[1:]) == {SUPPLIED_PROBE_INTERVAL}


def test_member_whose_leader_is_lost_probes_at_once():
    schedule = ProbeSchedule(lambda: INSTANCE_COUNT, lambda: 0.5)
    probe_times(schedule, 30, True)
    now = timedelta(seconds=30)
    assert schedule.is_due(now - milliseconds(1500), now, is_supplied=False)


def join(store, clock):
    keys = []
    Deferred.fromCoroutine(shared_stream_key(store, clock)).addCallback(keys.append)
    return keys


@pytest.mark.parametrize(("down_s", "max_calls"), [(1.0, 4), (15.0, 16)])
def test_instances_that_wait_for_the_stream_key_back_off(clock, down_s, max_calls):
    store = MemoryStore(clock)
    store.is_down = True
    keys = join(store.of("a"), clock)
    for _ in range(round(down_s * 50)):
        clock.advance(milliseconds(20))
    assert 1 < store.call_count <= max_calls
    store.is_down = False
    for _ in range(100):
        clock.advance(milliseconds(20))
    assert len(keys) == 1


def test_instance_that_comes_second_takes_the_key_from_the_rejection(clock):
    store = MemoryStore(clock)
    first, second = store.of("a"), store.of("b")
    read_row = second.read_row
    found = []

    async def read_before_the_first_writes(table, key):
        result = await read_row(table, key)
        found.extend(join(first, clock))
        return result

    second.read_row = read_before_the_first_writes
    assert join(second, clock) == found
    # Two calls of each: a read and a write.
    assert store.call_count == 4
