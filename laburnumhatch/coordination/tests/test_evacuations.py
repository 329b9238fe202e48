"""Evacuated data centres get no keys and no new work at any member, until their row is removed."""

import logbook
import pytest

from ...clocks import milliseconds
from ...keyspace.service_leases import split_key_space
from ..messages import EvacuationUpdate
from .cluster import EVACUATIONS, Cluster

# Time within which all members know of a row, in calm.
KNOWN_WITHIN_S = 1.0
# Time from the writing of the row after which no request may reach its upstreams, in calm and
# while the store is disturbed.
END_WITHIN_S, DISTURBED_END_WITHIN_S = 5.0, 10.0
EVACUATED = ["u1", "u2"]


@pytest.fixture
def cluster(clock):
    """Return a cluster of three members and two upstreams in each of three data centres."""
    cluster = Cluster(clock)
    for data_centre, names in (("d1", EVACUATED), ("d2", ["u3", "u4"]), ("d3", ["u5", "u6"])):
        cluster.upstreams.add(*names, data_centre=data_centre)
    cluster.add("a", "b", "c")
    cluster.run(4)
    return cluster


@pytest.fixture
def records():
    with logbook.TestHandler().applicationbound() as handler:
        yield handler.records


def evacuate(cluster, *data_centres):
    for data_centre in data_centres:
        cluster.store.put((EVACUATIONS, data_centre), b"")


def take_back(cluster, data_centre):
    del cluster.store.rows[EVACUATIONS, data_centre]


def evacuated_at(member):
    upstreams = member.registry_view.upstreams
    return sorted(name for name, upstream in upstreams.items() if upstream.is_evacuated)


def holders(cluster):
    return {cluster.upstreams.holder(first) for first, _ in split_key_space(64)}


def mapped_owners(member):
    return {r.owner.name for r in member.ownership_maps["s"].ranges if r.is_held}


def followers(cluster):
    (leader,) = cluster.leaders()
    return [member for name, member in cluster.members.items() if name != leader]


def logged(records, text):
    return [r for r in records if text in r.message]


def test_all_members_know_within_a_second_without_more_calls(cluster):
    before = cluster.store.call_count
    cluster.run(10)
    in_calm, before = cluster.store.call_count - before, cluster.store.call_count
    evacuate(cluster, "d1")
    cluster.run(KNOWN_WITHIN_S)
    for member in cluster.members.values():
        assert evacuated_at(member) == EVACUATED
    cluster.run(10 - KNOWN_WITHIN_S)
    # Writes for the keys that move come on top.
    assert cluster.store.call_count - before <= in_calm + 20


def test_keys_are_handed_over_and_stay_held(cluster):
    assert holders(cluster) & set(EVACUATED)
    evacuate(cluster, "d1")
    unheld_steps = 0
    for _ in range(30):
        cluster.run(0.1)
        unheld_steps += None in holders(cluster)
    for member in cluster.members.values():
        assert mapped_owners(member).isdisjoint(EVACUATED)
    assert holders(cluster).isdisjoint(EVACUATED)
    # The handover takes no more than some answers' time for each range.
    assert unheld_steps <= 2
    cluster.run(10)
    assert holders(cluster).isdisjoint({*EVACUATED, None})


def test_taken_back_upstreams_are_named_and_get_keys_again(cluster):
    taken_back = {}
    for name, member in cluster.members.items():
        taken_back[name] = []
        member.registry_view.on_taken_back = taken_back[name].extend
    evacuate(cluster, "d1")
    cluster.run(5)
    take_back(cluster, "d1")
    cluster.run(KNOWN_WITHIN_S)
    for name, member in cluster.members.items():
        assert evacuated_at(member) == []
        assert sorted(taken_back[name]) == EVACUATED
        # A departure is remembered for ever, an evacuation isn't.
        assert member.registry_view.leaving() == []
    (leader,) = cluster.leaders()
    usable = cluster.members[leader]._leader._usable_upstreams("s", cluster.clock.now())
    assert len(usable) == 6


@pytest.mark.parametrize("lost_after_s", [0.1, 0.5, 0.7, 1.0])
def test_leader_lost_halfway(cluster, lost_after_s):
    evacuate(cluster, "d1")
    cluster.run(lost_after_s)
    cluster.crash(*cluster.leaders())
    cluster.run(END_WITHIN_S - lost_after_s)
    for member in cluster.members.values():
        assert evacuated_at(member) == EVACUATED
        assert mapped_owners(member).isdisjoint(EVACUATED)


def test_store_down_halfway(cluster):
    evacuate(cluster, "d1")
    cluster.run(KNOWN_WITHIN_S)
    cluster.store.is_down = True
    cluster.run(3)
    # What was known stays so.
    for member in cluster.members.values():
        assert evacuated_at(member) == EVACUATED
    cluster.store.is_down = False
    cluster.run(DISTURBED_END_WITHIN_S - 3 - KNOWN_WITHIN_S)
    assert holders(cluster).isdisjoint({*EVACUATED, None})


@pytest.mark.parametrize("refused_followers", [0, 1])
def test_row_written_while_the_store_refuses_the_leader(cluster, refused_followers):
    others = followers(cluster)[refused_followers:]
    reached = [name for name, member in cluster.members.items() if member in others]
    cluster.store.unreachable_members = set(cluster.members) - set(reached)
    evacuate(cluster, "d1")
    cluster.run(2)
    for member in others:
        assert evacuated_at(member) == EVACUATED
    cluster.run(DISTURBED_END_WITHIN_S - 2)
    for member in cluster.members.values():
        assert evacuated_at(member) == EVACUATED
    assert holders(cluster).isdisjoint({*EVACUATED, None})


def test_member_whose_link_is_cut_reads_the_row_itself(cluster):
    member = followers(cluster)[0]
    cut_name = next(name for name, m in cluster.members.items() if m is member)
    cluster.network[cut_name].cut()
    evacuate(cluster, "d1")
    cluster.run(2.5)
    assert evacuated_at(member) == EVACUATED


def test_member_under_a_leader_of_a_former_build_reads_the_row_itself(cluster):
    (leader,) = cluster.leaders()
    cluster.members[leader].evacuations.update_followers = lambda: None
    evacuate(cluster, "d1")
    cluster.run(2.8)
    for member in followers(cluster):
        assert evacuated_at(member) == EVACUATED


def test_lost_message_heals(cluster):
    evacuate(cluster, "d1")
    (leader,) = cluster.leaders()
    links = cluster.network[leader]
    send = links.send
    links.send = lambda peer, message: isinstance(message, EvacuationUpdate) or send(peer, message)
    cluster.run(0.8)
    links.send = send
    cluster.run(0.9)
    for member in cluster.members.values():
        assert evacuated_at(member) == EVACUATED


def test_started_member_knows_before_it_has_routes(cluster):
    evacuate(cluster, "d1")
    cluster.run(2)
    known_at_change = []

    def watch(name, member):
        member._on_change = lambda: known_at_change.append(
            (member.routes is not None, member.evacuations.data_centres)
        )

    cluster.before_start = watch
    cluster.add("e")
    cluster.run(2)
    assert (True, frozenset({"d1"})) in known_at_change
    assert all(evacuated for has_routes, evacuated in known_at_change if has_routes)


def test_service_without_other_upstreams_is_served_on(cluster, records):
    evacuate(cluster, "d1", "d2", "d3")
    cluster.run(6)
    for member in cluster.members.values():
        assert evacuated_at(member) == []
    assert None not in holders(cluster)
    assert len(logged(records, "served on with all of them")) == len(cluster.members)
    take_back(cluster, "d3")
    cluster.run(END_WITHIN_S)
    assert holders(cluster) <= {"u5", "u6"}


def test_data_centre_without_upstreams_is_ignored_with_one_line(cluster, records):
    evacuate(cluster, "elsewhere")
    cluster.run(5)
    assert all(evacuated_at(member) == [] for member in cluster.members.values())
    assert len(logged(records, "'elsewhere' is to be evacuated and has no")) == len(cluster.members)


def test_rows_lost_with_the_history_of_the_store_count_for_a_while(cluster):
    copied = cluster.store.copy()
    evacuate(cluster, "d1")
    cluster.run(2)
    cluster.store.restore(copied)
    cluster.run(1)
    evacuate(cluster, "d1")
    for _ in range(20):
        cluster.run(0.1)
        assert all(evacuated_at(member) == EVACUATED for member in cluster.members.values())


def test_older_message_of_another_leader_changes_nothing(cluster):
    member = followers(cluster)[0]
    now = cluster.clock.now()
    member.evacuations.handle_read(frozenset({"d1"}), now)
    (leader,) = cluster.leaders()
    late = EvacuationUpdate((), milliseconds(300))
    member.evacuations._source = "another"
    member.evacuations._handle_update(leader, late)
    assert evacuated_at(member) == EVACUATED
