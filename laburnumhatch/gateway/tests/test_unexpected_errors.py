"""An unexpected error ends one request or one tick, and is logged."""

import pytest

from ...clocks import milliseconds
from ...coordination.tests.cluster import Cluster


def broken(*args, **kwargs):
    raise RuntimeError("planted")


def test_error_while_a_request_is_placed_is_answered_and_logged(harness, records, monkeypatch):
    monkeypatch.setattr(harness.gateway.service_splitter, "choose", broken)
    request = harness.send_request()
    assert request.status == 502 and harness.gateway.in_flight == 0
    assert sum(record.level_name == "ERROR" for record in records) == 1
    monkeypatch.undo()
    request = harness.send_request()
    harness.pool.last.succeed()
    assert request.status == 200


@pytest.fixture
def cluster(clock):
    started = Cluster(clock)
    started.upstreams.add("u1", "u2")
    started.add("a", "b")
    started.run(4)
    return started


def test_error_in_a_tick_of_a_member_does_not_stop_its_ticks(cluster, monkeypatch):
    (name,) = cluster.leaders()
    leader = cluster.members[name]
    monkeypatch.setattr(leader._reader, "start_due_reads", broken)
    with pytest.raises(RuntimeError, match="planted"):
        cluster.clock.advance(milliseconds(100))
    monkeypatch.undo()
    cluster.run(2)
    assert cluster.leaders() == [name]


def test_error_in_the_leaders_work_does_not_stop_its_ticks(cluster, monkeypatch):
    (name,) = cluster.leaders()
    work = cluster.members[name]._leader
    monkeypatch.setattr(work, "_check_unresponsive", broken)
    with pytest.raises(RuntimeError, match="planted"):
        cluster.clock.advance(milliseconds(50))
    monkeypatch.undo()
    cluster.run(8)
    assert cluster.upstreams.holder(0) is not None
