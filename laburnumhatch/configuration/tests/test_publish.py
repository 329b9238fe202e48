"""Tests of publishing and rolling back the configuration."""

import pytest
from twisted.internet.defer import Deferred, ensureDeferred

from ...storage import OutcomeUnknown
from ...storage.memory import MemoryTable
from ..outcome import PublishConflict, Published, PublishFailed, PublishUnknown, VersionUnknown
from ..publication import CONFIGURATION_ROW
from ..publish import publish, rollback
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


class RacingTable(MemoryTable):
    """Table that calls `then` after each write whose reply is lost, before the next call."""

    then = staticmethod(lambda: None)

    async def write(self, *arguments):
        written = await super().write(*arguments)
        if isinstance(written, OutcomeUnknown):
            self.then()
        return written


@pytest.mark.parametrize("fault", ["lost_replies", "lost_writes"])
def test_lost_reply_is_settled(table, publish_file, fault):
    publish_file("lofts")
    setattr(table, fault, 1)
    outcome = publish_file("flocks")
    assert outcome.version == 2
    assert table.rows[CONFIGURATION_ROW].version == 2


@pytest.mark.parametrize("rival", ["flocks", "media"])
@pytest.mark.parametrize("fault", ["lost_replies", "lost_writes"])
def test_lost_reply_is_settled_by_the_writer(clock, object_store, make_file, fault, rival):
    table = RacingTable(**{fault: 1})

    def call(service, publisher):
        files = [make_file(service)]
        platform = {"clock": clock, "table": table, "object_store": object_store}
        return run(clock, publish(files, publisher=publisher, **platform))

    table.then = lambda: call(rival, "bo")
    outcome = call("flocks", "ana")
    if fault == "lost_replies":
        assert outcome == Published(1, outcome.digest)
    else:
        # A rival's publication is a conflict even if its content equals this one's.
        assert (outcome.version, outcome.publisher) == (1, "bo")
        assert isinstance(outcome, PublishConflict)


def test_outage_after_a_lost_reply_is_told(clock, object_store, make_file):
    table = RacingTable(lost_replies=1)
    table.then = lambda: setattr(table, "down", True)
    platform = {"clock": clock, "table": table, "object_store": object_store}
    outcome = run(clock, publish([make_file("lofts")], publisher="ana", **platform))
    assert isinstance(outcome, PublishUnknown)
    assert outcome.version == 1


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


def test_rollback_to_an_unknown_version_names_the_known(clock, table, object_store, publish_file):
    publish_file("lofts")
    publish_file("flocks")
    platform = {"clock": clock, "table": table, "object_store": object_store}
    outcome = run(clock, rollback(7, publisher="ana", **platform))
    assert outcome == VersionUnknown(7, (2, 1))


def test_files_based_on_an_older_version_are_a_conflict(publish_file):
    publish_file("lofts")
    publish_file("flocks")
    outcome = publish_file("media", expected_version=1)
    assert isinstance(outcome, PublishConflict)
    assert outcome.version == 2
