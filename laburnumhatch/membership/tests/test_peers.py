"""Tests of the choice of peers and of rendezvous hashing."""

from collections import Counter
from math import ceil, log2

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..peers import FULL_MESH_LIMIT, choose_peers
from ..rendezvous import PROBERS_PER_TARGET, choose_instances, probers_of
from .conftest import make_instance

DATA_CENTRE_COUNT = 16


def _fleet(sizes):
    return [make_instance(f"e-{c}-{i}", f"dc-{c}") for c, n in enumerate(sizes) for i in range(n)]


def _hop_counts(graph, start):
    """Return the number of hops from `start` to each reachable instance."""
    hop_counts = {start: 0}
    frontier = [start]
    while frontier:
        reached = {peer for name in frontier for peer in graph[name]} - hop_counts.keys()
        hop_counts |= dict.fromkeys(reached, max(hop_counts.values()) + 1)
        frontier = list(reached)
    return hop_counts


def _graph(instances):
    return {i.name: {peer.name for peer in choose_peers(instances, i)} for i in instances}


@given(st.lists(st.integers(1, 12), min_size=1, max_size=9))
def test_choice_is_symmetric_and_connected(sizes):
    instances = _fleet(sizes)
    graph = _graph(instances)
    assert all(name in graph[peer] for name, peers in graph.items() for peer in peers)
    assert len(_hop_counts(graph, instances[0].name)) == len(instances)
    if len(instances) <= FULL_MESH_LIMIT:
        assert all(len(peers) == len(instances) - 1 for peers in graph.values())


def test_degree_and_hops_are_bounded_at_the_design_size():
    sizes = [
        1700 // DATA_CENTRE_COUNT + (c < 1700 % DATA_CENTRE_COUNT) for c in range(DATA_CENTRE_COUNT)
    ]
    instances = _fleet(sizes)
    assert len(instances) == 1700
    graph = _graph(instances)
    smallest = min(sizes)
    bound = 2 * ceil(log2(max(sizes))) + ceil(2 * (DATA_CENTRE_COUNT - 1) / smallest) + 1
    assert max(len(peers) for peers in graph.values()) <= bound
    hop_counts = _hop_counts(graph, instances[0].name)
    assert len(hop_counts) == 1700
    assert max(hop_counts.values()) <= 2 * log2(max(sizes)) + 2


@pytest.mark.parametrize("lost", ["dc-0", "dc-3"])
def test_loss_of_a_data_centre_leaves_the_others_connected(lost):
    remaining = [i for i in _fleet([20] * 6) if i.data_centre != lost]
    graph = _graph(remaining)
    assert len(_hop_counts(graph, remaining[0].name)) == len(remaining)


def test_each_target_has_two_probers_and_the_load_is_even():
    instances = _fleet([25] * 4)
    work = Counter()
    for n in range(2000):
        probers = probers_of(instances, "s", f"t-{n}", f"dc-{n % 4}")
        assert len(probers) == PROBERS_PER_TARGET
        assert {prober.data_centre for prober in probers} == {f"dc-{n % 4}"}
        work.update(prober.name for prober in probers)
    # The mean is 40 targets per instance; no instance probes a twentieth of all.
    assert max(work.values()) < 100
    assert [p.name for p in probers_of(instances[:1], "s", "t", "dc-9")] == ["e-0-0"]


@given(st.integers(2, 12), st.integers(0, 11), st.text(max_size=4))
def test_instance_that_leaves_changes_only_its_own_choices(size, lost_index, subject):
    instances = _fleet([size])
    lost = instances[lost_index % size]
    before = choose_instances(instances, subject, 2)
    after = choose_instances([i for i in instances if i != lost], subject, 2)
    assert [i for i in before if i != lost] == after[: len(before) - (lost in before)]
