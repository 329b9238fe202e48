"""Tests of the choice of targets and of the subset."""

import random
from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...routing import Service, Target
from ..chooser import LatencyClassChooser
from ..subset import choose_subset


class Targets:
    """View of targets of which some take no new work."""

    def __init__(self, closed=()):
        self.closed = set(closed)

    def takes_new_work(self, service, target):
        return target not in self.closed


@pytest.fixture
def service():
    targets = tuple(Target(f"t{i}", "127.0.0.1", 1, "lade") for i in range(4))
    return Service("media", (), targets, 2, 100, None, None)


@pytest.fixture
def make_chooser(clock):
    """Return a function that creates the chooser of an instance in data centre lade."""

    def make(targets=None, instances=8):
        return LatencyClassChooser(
            clock=clock,
            targets=targets or Targets(),
            instance="entry-0",
            data_centre="lade",
            live_instances=lambda: instances,
            random_source=random.Random(1),
        )

    return make


def answer(chooser, clock, service, target, milliseconds):
    chooser.request_started(service.name, target)
    clock.advance(timedelta(milliseconds=milliseconds))
    latency = timedelta(milliseconds=milliseconds)
    chooser.request_ended(service.name, target, latency, answered=True)


def test_closed_and_excluded_targets_are_not_chosen(make_chooser, service):
    chooser = make_chooser(Targets({"t0"}))
    chosen = {chooser.choose(service, frozenset({"t1"})).name for _ in range(100)}
    assert chosen == {"t2", "t3"}
    assert chooser.choose(service, frozenset({"t1", "t2", "t3"})) is None


def test_instances_together_do_not_exceed_the_connections_of_a_target(make_chooser, service):
    chooser = make_chooser()
    started = 0
    while (target := chooser.choose(service, frozenset())) is not None:
        chooser.request_started(service.name, target.name)
        started += 1
    assert started == 4 * (100 // 8)
    chooser.request_ended(service.name, "t2", timedelta(), answered=True)
    assert chooser.choose(service, frozenset()).name == "t2"


def test_targets_of_the_own_data_centre_come_first_unless_others_are_faster(
    make_chooser, service, clock
):
    far = tuple(replace(target, data_centre="byasen") for target in service.targets[1:])
    service = replace(service, targets=(service.targets[0], *far))
    chooser = make_chooser()
    assert all(chooser.choose(service, frozenset()).name == "t0" for _ in range(20))
    for _ in range(20):
        answer(chooser, clock, service, "t0", 100)
        for target in far:
            answer(chooser, clock, service, target.name, 10)
    assert all(chooser.choose(service, frozenset()).name != "t0" for _ in range(20))


def test_slow_target_is_tried_again_after_the_retry_interval(make_chooser, service, clock):
    chooser = make_chooser()
    chooser.choose(service, frozenset())
    for _ in range(20):
        for target in service.targets:
            answer(chooser, clock, service, target.name, 100 if target.name == "t3" else 10)
    assert all(chooser.choose(service, frozenset()).name != "t3" for _ in range(20))
    clock.advance(timedelta(seconds=11))
    assert "t3" in {chooser.choose(service, frozenset()).name for _ in range(100)}


@pytest.mark.parametrize("count", [1, 16, 63, 500])
def test_only_target_that_takes_work_is_chosen(make_chooser, service, count):
    targets = tuple(Target(f"t{i}", "127.0.0.1", 1, f"dc-{i % 3}") for i in range(count))
    service = replace(service, targets=targets)
    closed = {target.name for target in targets[: count - 1]}
    chooser = make_chooser(Targets(closed))
    assert chooser.choose(service, frozenset()) == targets[-1]


@given(st.integers(1, 300), st.integers(1, 300), st.integers(0, 5))
def test_subset_has_its_size_and_prefers_the_own_data_centre(count, size, near):
    size = min(size, count)
    targets = tuple(
        Target(f"t{i}", "127.0.0.1", 1, "lade" if i % 6 < near else "byasen") for i in range(count)
    )
    service = Service("media", (), targets, 2, 100, None, None)
    subset = choose_subset(service, "entry-0", "lade", size)
    assert len(subset) == len(set(subset)) == size
    own = sum(target.data_centre == "lade" for target in targets)
    assert sum(target.data_centre == "lade" for target in subset) >= min(own, size // 2)
