"""Tests of publishing and rolling back the configuration."""

import pytest
from twisted.internet.defer import Deferred, ensureDeferred

from ...storage import OutcomeUnknown
from ...storage.memory import MemoryTable
from ..outcome import PublishConflict, Published, PublishFailed, PublishUnknown, VersionUnknown
from ..publication import CONFIGURATION_ROW
from ..publish import publish, rollback
from .conftest import run_to_completion


def test_published_snapshot_comes_into_force(clock, publish_file, fleet):
    follower = fleet.add("a")
    assert follower.snapshot is None
    assert follower.problem == "nothing is published"
    outcome = publish_file("lofts")
    clock.reactor.advance(1.0)
    assert outcome == Published(1, follower.snapshot.digest)
    assert follower.snapshot.version == 1
    assert follower.snapshot.service("lofts").targets[0].port == 9001


def test_publishing_equal_content_keeps_the_version(publish_file):
    assert publish_file("lofts").changed
    assert not publish_file("lofts").changed


class RacingTable(MemoryTable):
    """Table that calls `on_lost_reply` as soon as the reply of a write is lost."""

    on_lost_reply = staticmethod(lambda: None)

    async def write(self, *arguments):
        written = await super().write(*arguments)
        if isinstance(written, OutcomeUnknown):
            self.on_lost_reply()
        return written


@pytest.mark.parametrize("fault", ["lost_replies", "lost_writes"])
def test_outcome_is_known_after_a_lost_reply(table, publish_file, fault):
    publish_file("lofts")
    setattr(table, fault, 1)
    outcome = publish_file("flocks")
    assert outcome.version == 2
    assert table.rows[CONFIGURATION_ROW].version == 2


@pytest.mark.parametrize("rival", ["flocks", "media"])
@pytest.mark.parametrize("fault", ["lost_replies", "lost_writes"])
def test_writer_decides_the_outcome_after_a_lost_reply(
    clock, object_store, make_file, fault, rival
):
    table = RacingTable(**{fault: 1})

    def publish_as(service, publisher):
        files = [make_file(service)]
        platform = {"clock": clock, "table": table, "object_store": object_store}
        return run_to_completion(clock, publish(files, publisher=publisher, **platform))

    table.on_lost_reply = lambda: publish_as(rival, "bo")
    outcome = publish_as("flocks", "ana")
    if fault == "lost_replies":
        assert outcome == Published(1, outcome.digest)
    else:
        # A rival's publication is a conflict even if its content equals this one's.
        assert (outcome.version, outcome.publisher) == (1, "bo")
        assert isinstance(outcome, PublishConflict)


def test_outage_after_a_lost_reply_gives_an_unknown_outcome(clock, object_store, make_file):
    table = RacingTable(lost_replies=1)
    table.on_lost_reply = lambda: setattr(table, "down", True)
    platform = {"clock": clock, "table": table, "object_store": object_store}
    outcome = run_to_completion(clock, publish([make_file("lofts")], publisher="ana", **platform))
    assert isinstance(outcome, PublishUnknown)
    assert outcome.version == 1


def test_publishing_in_a_table_outage_puts_nothing_into_force(table, publish_file):
    table.down = True
    assert isinstance(publish_file("lofts"), PublishFailed)
    assert table.rows == {}


def test_one_of_two_racing_publishers_wins(clock, table, object_store, make_file, publish_file):
    upload_allowed = Deferred()

    class SlowStore:
        async def put(self, name, content):
            await upload_allowed
            return await object_store.put(name, content)

    publish_file("lofts")
    slow_outcomes = []
    ensureDeferred(
        publish(
            [make_file("media")],
            clock=clock,
            table=table,
            object_store=SlowStore(),
            publisher="bo",
        )
    ).addCallback(slow_outcomes.append)
    winner = publish_file("flocks", publisher="ana")
    upload_allowed.callback(None)
    (loser,) = slow_outcomes
    assert winner == Published(2, winner.digest)
    assert (loser.version, loser.publisher, loser.digest) == (2, "ana", winner.digest)
    assert isinstance(loser, PublishConflict)
    assert f"snapshots/{loser.own_digest}" in object_store.objects


def test_rollback_creates_a_new_version(clock, table, object_store, publish_file):
    first = publish_file("lofts")
    publish_file("flocks")
    outcome = run_to_completion(
        clock,
        rollback(1, clock=clock, table=table, object_store=object_store, publisher="ana"),
    )
    assert outcome == Published(3, first.digest)


def test_rollback_to_an_unknown_version_lists_the_known_versions(
    clock, table, object_store, publish_file
):
    publish_file("lofts")
    publish_file("flocks")
    platform = {"clock": clock, "table": table, "object_store": object_store}
    outcome = run_to_completion(clock, rollback(7, publisher="ana", **platform))
    assert outcome == VersionUnknown(7, (2, 1))


def test_files_based_on_an_older_version_are_a_conflict(publish_file):
    publish_file("lofts")
    publish_file("flocks")
    outcome = publish_file("media", expected_version=1)
    assert isinstance(outcome, PublishConflict)
    assert outcome.version == 2
