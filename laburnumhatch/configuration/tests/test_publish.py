"""Tests of publishing."""

import pytest
from twisted.internet.defer import Deferred, ensureDeferred

from ..publish import PublishConflict, Published, PublishFailed, publish, rollback
from .conftest import run


def test_published_snapshot_comes_into_force(clock, publish_file, fleet):
    follower = fleet.add("a")
    assert follower.snapshot is None
    assert follower.problem == "nothing is published"
    outcome = publish_file("lofts")
    clock.reactor.advance(1.0)
    assert outcome == Published(1, follower.snapshot.digest)
    assert follower.snapshot.version == 1
    assert follower.snapshot.service("lofts").targets[0].port == 9001


def test_same_content_makes_no_new_version(publish_file):
    assert publish_file("lofts").changed
    assert not publish_file("lofts").changed


@pytest.mark.parametrize("fault", ["lost_replies", "lost_writes"])
def test_lost_reply_is_settled(table, publish_file, fault):
    publish_file("lofts")
    setattr(table, fault, 1)
    outcome = publish_file("flocks")
    assert outcome.version == 2
    assert table.rows["configuration/current"].version == 2


def test_table_outage_puts_nothing_into_force(table, publish_file):
    table.down = True
    assert isinstance(publish_file("lofts"), PublishFailed)
    assert table.rows == {}


def test_one_of_two_racing_publishers_wins(clock, table, object_store, make_file, publish_file):
    upload = Deferred()

    class SlowStore:
        async def put(self, name, content):
            await upload
            return await object_store.put(name, content)

    publish_file("lofts")
    slow = []
    ensureDeferred(
        publish(
            [make_file("media")],
            clock=clock,
            table=table,
            object_store=SlowStore(),
            publisher="bo",
        )
    ).addCallback(slow.append)
    winner = publish_file("flocks", publisher="ana")
    upload.callback(None)
    (loser,) = slow
    assert winner == Published(2, winner.digest)
    assert (loser.version, loser.publisher, loser.digest) == (2, "ana", winner.digest)
    assert isinstance(loser, PublishConflict)
    assert f"snapshots/{loser.own_digest}" in object_store.objects


def test_rollback_is_a_new_version(clock, table, object_store, publish_file):
    first = publish_file("lofts")
    publish_file("flocks")
    outcome = run(
        clock,
        rollback(1, clock=clock, table=table, object_store=object_store, publisher="ana"),
    )
    assert outcome == Published(3, first.digest)
