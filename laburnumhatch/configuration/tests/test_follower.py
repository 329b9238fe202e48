"""Tests of the configuration follower under outages, partitions and invalid snapshots."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...conftest import FakeClock
from ...membership import Instance
from ...routing import RoutingFile
from ...storage import Row
from ...storage.memory import MemoryObjectStore, MemoryTable
from ..messages import ConfigurationAnnouncement
from ..pollers import polls_table
from ..publication import CONFIGURATION_ROW, Publication, encode_publication
from ..snapshot import encode_snapshot, snapshot_digest, snapshot_name
from .conftest import Fleet, make_document

# Maximum time in which a published version must be in force at every instance.
IN_FORCE_SECONDS = 10


@pytest.fixture
def outage():
    """Return a table and an object store that are down."""
    return {"table": MemoryTable(down=True), "object_store": MemoryObjectStore(down=True)}


def put(platform, version, content, digest=None):
    """Store snapshot bytes and the configuration row directly, without the publisher's checks."""
    digest = digest or snapshot_digest(content)
    platform["object_store"].objects[snapshot_name(digest)] = content
    value = encode_publication(
        Publication(version=version, digest=digest, writer="w", publisher="ana")
    )
    row = Row(CONFIGURATION_ROW, version, "writer", value)
    platform["table"].rows[CONFIGURATION_ROW] = row


def make_content(*services):
    """Return the bytes of a snapshot of services with one target and one kind each."""
    return encode_snapshot(RoutingFile.model_validate(make_document(name)) for name in services)


def test_instance_without_configuration_says_so(fleet, outage):
    follower = fleet.add("a", **outage)
    fleet.network.run(2)
    assert follower.snapshot is None
    assert follower.problem == "the table can't be read: the table is down"


def test_start_in_an_outage_takes_the_snapshot_of_a_peer(fleet, outage):
    put(fleet.platform, 4, make_content(*(f"service-{i}" for i in range(500))))
    fleet.add("a")
    follower = fleet.add("b", **outage)
    fleet.network.mesh()
    fleet.network.run(IN_FORCE_SECONDS)
    assert follower.snapshot == fleet.followers["a"].snapshot
    assert len(follower._content) > 2 * 64 * 1024


def test_version_is_in_force_everywhere_in_time(fleet, outage, publish_file):
    names = [f"e{n:02}" for n in range(16)]
    for name in names:
        fleet.add(name, **({} if name == names[0] else outage))
    # A chain as long as the longest path between instances at the design size.
    fleet.network.dial(*zip(names, names[1:], strict=False))
    fleet.network.run(1)
    publish_file("flocks")
    fleet.network.run(IN_FORCE_SECONDS)
    assert fleet.versions == {name: [1] for name in names}


def test_announcement_that_a_full_stream_refuses_is_made_again(fleet, outage, publish_file):
    fleet.add("a")
    fleet.add("b", **outage)
    fleet.network.mesh()
    fleet.network.run(1)
    (stream,) = fleet.network.links["a"]._streams.values()
    stream.pauseProducing()
    publish_file("lofts")
    fleet.network.run(1.5)
    assert fleet.versions == {"a": [1], "b": []}
    stream.resumeProducing()
    fleet.network.run(IN_FORCE_SECONDS)
    assert fleet.versions == {"a": [1], "b": [1]}


def test_instance_that_returns_puts_no_older_version_into_force(fleet):
    put(fleet.platform, 2, make_content("lofts"))
    stale = {"table": MemoryTable(), "object_store": MemoryObjectStore()}
    put(stale, 1, make_content("flocks"))
    fleet.add("a")
    follower = fleet.add("b", **stale)
    fleet.network.mesh()
    fleet.network.run(2)
    fleet.network.isolate("b")
    fleet.network.run(5)
    assert follower.problem == "the table has version 1, and 2 is in force"
    fleet.network.rejoin("b")
    fleet.network.run(5)
    assert fleet.versions == {"a": [2], "b": [1, 2]}


def test_corrupted_snapshot_is_refused_and_taken_from_a_peer(fleet, object_store):
    put(fleet.platform, 1, make_content("lofts"))
    fleet.add("a")
    name = snapshot_name(fleet.followers["a"].snapshot.digest)
    object_store.objects[name] += b" "
    follower = fleet.add("b")
    assert follower.snapshot is None
    assert "corrupted" in follower.problem
    fleet.network.mesh()
    fleet.network.run(3)
    assert follower.snapshot.version == 1


def test_snapshot_of_a_newer_schema_keeps_the_old_one_in_force(fleet):
    put(fleet.platform, 1, make_content("lofts"))
    follower = fleet.add("a")
    newer = make_content("lofts").replace(b'"repeatable"', b'"repeatable_twice"')
    put(fleet.platform, 2, newer)
    fleet.network.run(3)
    assert follower.snapshot.version == 1
    assert "version 2 is refused" in follower.problem
    assert "kinds.view.repeatable_twice" in follower.problem
    put(fleet.platform, 3, make_content("flocks"))
    fleet.network.run(3)
    assert (follower.snapshot.version, follower.problem) == (3, None)


@given(
    st.lists(
        st.tuples(st.sampled_from(["row", "peer", "outage", "wait"]), st.integers(1, 6)),
        max_size=25,
    )
)
def test_versions_only_grow_and_reach_the_newest_heard(events):
    fleet = Fleet(FakeClock(), MemoryTable(), MemoryObjectStore())
    contents = {version: make_content(f"service-{version}") for version in range(1, 7)}
    follower = fleet.add("a")
    heard = set()
    for event, version in events:
        if event == "row":
            put(fleet.platform, version, contents[version])
        elif event == "peer":
            digest = snapshot_digest(contents[version])
            message = ConfigurationAnnouncement(version, digest)
            fleet.platform["object_store"].objects[snapshot_name(digest)] = contents[version]
            follower._announced("b", message)
            heard.add(version)
        elif event == "outage":
            fleet.platform["object_store"].down = not fleet.platform["object_store"].down
        else:
            fleet.network.run(1.5, step=0.5)
            if CONFIGURATION_ROW in fleet.platform["table"].rows:
                heard.add(fleet.platform["table"].rows[CONFIGURATION_ROW].version)
    fleet.platform["object_store"].down = False
    fleet.network.run(2, step=0.5)
    versions = fleet.versions["a"]
    assert versions == sorted(set(versions))
    assert max(versions, default=0) >= max(heard, default=0)


def test_pollers_are_two_of_each_data_centre():
    centres = [f"dc-{i}" for i in range(16)]
    everyone = [Instance(f"e-{i}", "127.0.0.1", 1, 2, centres[i % 16]) for i in range(1700)]
    pollers = [i for i in everyone if polls_table(everyone, i)]
    assert sorted(p.data_centre for p in pollers) == sorted(centres * 2)
    today = [i for i in everyone[:64] if i.data_centre in centres[:4]][:8]
    assert all(polls_table(today, i) for i in today)
