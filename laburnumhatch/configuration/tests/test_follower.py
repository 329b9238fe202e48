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
from ..snapshot import encode_snapshot, snapshot_digest, snapshot_object_name
from .conftest import Fleet, make_routing_document

# Maximum time in which a published version must be in force at every instance.
MAX_IN_FORCE_SECONDS = 10


@pytest.fixture
def outage():
    """Return a table and an object store that are down."""
    return {"table": MemoryTable(down=True), "object_store": MemoryObjectStore(down=True)}


def store_publication(platform, version, content, digest=None):
    """Store snapshot bytes and the configuration row directly, without the publisher's checks."""
    digest = digest or snapshot_digest(content)
    platform["object_store"].objects[snapshot_object_name(digest)] = content
    value = encode_publication(
        Publication(version=version, digest=digest, writer="w", publisher="ana")
    )
    row = Row(CONFIGURATION_ROW, version, "writer", value)
    platform["table"].rows[CONFIGURATION_ROW] = row


def make_content(*services):
    """Return the bytes of a snapshot of services with one target and one kind each."""
    return encode_snapshot(
        RoutingFile.model_validate(make_routing_document(name)) for name in services
    )


def test_instance_without_configuration_reports_the_problem(fleet, outage):
    follower = fleet.add("a", **outage)
    fleet.network.run(2)
    assert follower.snapshot is None
    assert follower.problem == "the table can't be read: the table is down"


def test_start_in_an_outage_fetches_the_snapshot_from_a_peer(fleet, outage):
    store_publication(fleet.platform, 4, make_content(*(f"service-{i}" for i in range(500))))
    fleet.add("a")
    follower = fleet.add("b", **outage)
    fleet.network.mesh()
    fleet.network.run(MAX_IN_FORCE_SECONDS)
    assert follower.snapshot == fleet.followers["a"].snapshot
    assert len(follower._content) > 2 * 64 * 1024


def test_version_comes_into_force_at_all_instances_in_time(fleet, outage, publish_file):
    names = [f"e{n:02}" for n in range(16)]
    for name in names:
        fleet.add(name, **({} if name == names[0] else outage))
    # A chain as long as the longest path between instances at the design size.
    fleet.network.dial(*zip(names, names[1:], strict=False))
    fleet.network.run(1)
    publish_file("flocks")
    fleet.network.run(MAX_IN_FORCE_SECONDS)
    assert fleet.versions == {name: [1] for name in names}


def test_announcement_refused_by_a_full_stream_is_repeated(fleet, outage, publish_file):
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
    fleet.network.run(MAX_IN_FORCE_SECONDS)
    assert fleet.versions == {"a": [1], "b": [1]}


def test_rejoining_instance_puts_no_older_version_into_force(fleet):
    store_publication(fleet.platform, 2, make_content("lofts"))
    stale = {"table": MemoryTable(), "object_store": MemoryObjectStore()}
    store_publication(stale, 1, make_content("flocks"))
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


def test_corrupted_snapshot_is_refused_and_fetched_from_a_peer(fleet, object_store):
    store_publication(fleet.platform, 1, make_content("lofts"))
    fleet.add("a")
    name = snapshot_object_name(fleet.followers["a"].snapshot.digest)
    object_store.objects[name] += b" "
    follower = fleet.add("b")
    assert follower.snapshot is None
    assert "corrupted" in follower.problem
    fleet.network.mesh()
    fleet.network.run(3)
    assert follower.snapshot.version == 1


def test_snapshot_of_a_newer_schema_keeps_the_old_one_in_force(fleet):
    store_publication(fleet.platform, 1, make_content("lofts"))
    follower = fleet.add("a")
    newer_content = make_content("lofts").replace(b'"repeatable"', b'"repeatable_twice"')
    store_publication(fleet.platform, 2, newer_content)
    fleet.network.run(3)
    assert follower.snapshot.version == 1
    assert "version 2 is refused" in follower.problem
    assert "kinds.view.repeatable_twice" in follower.problem
    store_publication(fleet.platform, 3, make_content("flocks"))
    fleet.network.run(3)
    assert (follower.snapshot.version, follower.problem) == (3, None)


@given(
    st.lists(
        st.tuples(st.sampled_from(["row", "peer", "outage", "wait"]), st.integers(1, 6)),
        max_size=25,
    )
)
def test_versions_increase_and_reach_the_newest_received(events):
    fleet = Fleet(FakeClock(), MemoryTable(), MemoryObjectStore())
    contents = {version: make_content(f"service-{version}") for version in range(1, 7)}
    follower = fleet.add("a")
    received = set()
    for event, version in events:
        if event == "row":
            store_publication(fleet.platform, version, contents[version])
        elif event == "peer":
            digest = snapshot_digest(contents[version])
            message = ConfigurationAnnouncement(version, digest)
            fleet.platform["object_store"].objects[snapshot_object_name(digest)] = contents[version]
            follower._handle_announcement("b", message)
            received.add(version)
        elif event == "outage":
            fleet.platform["object_store"].down = not fleet.platform["object_store"].down
        else:
            fleet.network.run(1.5, step=0.5)
            if CONFIGURATION_ROW in fleet.platform["table"].rows:
                received.add(fleet.platform["table"].rows[CONFIGURATION_ROW].version)
    fleet.platform["object_store"].down = False
    fleet.network.run(2, step=0.5)
    versions = fleet.versions["a"]
    assert versions == sorted(set(versions))
    assert max(versions, default=0) >= max(received, default=0)


def test_each_data_centre_has_two_pollers():
    data_centres = [f"dc-{i}" for i in range(16)]
    instances = [Instance(f"e-{i}", "127.0.0.1", 1, 2, data_centres[i % 16]) for i in range(1700)]
    pollers = [i for i in instances if polls_table(instances, i)]
    assert sorted(p.data_centre for p in pollers) == sorted(data_centres * 2)
    small_fleet = [i for i in instances[:64] if i.data_centre in data_centres[:4]][:8]
    assert all(polls_table(small_fleet, i) for i in small_fleet)
