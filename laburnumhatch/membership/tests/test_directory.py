"""Tests of the live instances derived from the platform's list and heartbeats."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from ...storage import InstanceState
from ..view import HEARTBEAT_TIMEOUT, HeardInstance, live_instances
from .conftest import make_instance, make_listed

# Time within which a lost instance must be detected, part of the 3 s in which its keys must be
# served again.
MAX_DETECTION_SECONDS = 2


def test_live_instances_follow_heartbeats_rather_than_the_list(fleet):
    fleet.list("a", "b", "x")
    fleet.add("a", "b", "c")
    # The list doesn't contain c, which finds the others through it.
    fleet.network.run(3)
    assert fleet.views() == {"a": "abc", "b": "abc", "c": "abc"}


def test_lost_instance_is_removed_although_listed(fleet):
    fleet.list("a", "b", "c")
    fleet.add("a", "b", "c")
    fleet.network.run(2)
    fleet.kill("c")
    fleet.network.run(MAX_DETECTION_SECONDS)
    assert fleet.views() == {"a": "ab", "b": "ab"}


def test_frozen_instance_is_removed_and_returns_after_recovery(fleet):
    fleet.list("a", "b")
    fleet.add("a", "b")
    fleet.network.run(2)
    fleet.network.isolate("b")
    fleet.network.run(MAX_DETECTION_SECONDS)
    assert fleet.views()["a"] == "a"
    fleet.network.rejoin("b")
    fleet.network.run(6)
    assert fleet.views() == {"a": "ab", "b": "ab"}


def test_leaving_is_learned_from_the_instance_or_the_list(fleet):
    fleet.list("a", "b", "c")
    fleet.add("a", "b", "c")
    fleet.network.run(2)
    fleet.directories["b"].announce_leaving()
    fleet.network.deliver()
    assert fleet.views()["a"] == "ac"
    assert [i.name for i in fleet.directories["a"].running()] == ["a", "b", "c"]
    fleet.list("a", "b", leaving=["c"])
    fleet.network.run(1.1)
    assert fleet.views()["a"] == "a"


def test_leaving_instance_is_never_live_at_a_new_instance(fleet):
    fleet.list("a")
    fleet.add("a")
    fleet.directories["a"].announce_leaving()
    views = []
    fleet.add("b", on_change=views.append)
    fleet.network.run(3)
    assert len(fleet.directories["b"].running()) == 2
    assert views == []


def test_restarted_instance_is_live_although_its_name_was_leaving(fleet):
    fleet.list("a", "b")
    fleet.add("a", "b")
    fleet.network.run(2)
    fleet.directories["b"].announce_leaving()
    fleet.network.run(1)
    fleet.kill("b")
    fleet.network.run(2)
    fleet.network.rejoin("b")
    fleet.add("b")
    fleet.network.run(4)
    assert fleet.views() == {"a": "ab", "b": "ab"}


def test_instances_find_each_other_by_seeds_while_the_list_is_down(fleet):
    fleet.instance_list.down = True
    fleet.add("a")
    fleet.add("b", seeds=[make_instance("a")])
    fleet.network.run(3)
    assert fleet.views() == {"a": "ab", "b": "ab"}


def test_pause_of_this_process_removes_no_instance(fleet):
    fleet.list("a", "b")
    fleet.add("a", "b")
    fleet.network.run(2)
    fleet.network.clock.reactor.advance(60)
    assert fleet.views() == {"a": "ab", "b": "ab"}


names = st.sampled_from("abcdef")
seconds = st.integers(0, 40).map(lambda n: timedelta(milliseconds=100 * n))
beats = st.lists(st.tuples(names, seconds, st.booleans()), max_size=20)
lists = st.dictionaries(names, st.sampled_from(InstanceState), max_size=6)


@given(beats, lists, st.sets(names))
def test_live_instances_agree_with_a_scan_of_all_heartbeats(history, listed, peers):
    now = timedelta(seconds=4)
    own = make_instance("a")
    heard = {}
    for name, when, leaving in sorted(history, key=lambda beat: beat[1]):
        heard[name] = HeardInstance(make_instance(name), leaving, when)
    entries = [make_listed(name, state) for name, state in listed.items()]
    view = [i.name for i in live_instances(entries, heard, peers, own, now)]

    expected = []
    for name in "abcdef":
        beats_of = [beat for beat in sorted(history, key=lambda b: b[1]) if beat[0] == name]
        recent = any(now - when <= HEARTBEAT_TIMEOUT for _, when, _ in beats_of)
        by_list = name in listed and name not in peers and not beats_of
        leaves = listed.get(name) is InstanceState.LEAVING or (beats_of and beats_of[-1][2])
        if name == "a" or ((recent or by_list) and not leaves):
            expected.append(name)
    assert view == expected
