import random
from datetime import timedelta

import pytest

from ...routing import Service, Target
from ..chooser import TwoChoices


class Targets:
    """Target view in which some targets take no new work."""

    def __init__(self, closed=()):
        self.closed = set(closed)

    def takes_new_work(self, service, target):
        return target not in self.closed


@pytest.fixture
def service():
    targets = tuple(Target(f"t{i}", "127.0.0.1", 1, "lade") for i in range(4))
    return Service("media", (), targets, 2, 100, None, None)


def make_chooser(targets, instances=8):
    return TwoChoices(
        targets=targets,
        data_centre="lade",
        live_instances=lambda: instances,
        random_source=random.Random(1),
    )


def test_closed_and_excluded_targets_get_nothing(service):
    chooser = make_chooser(Targets({"t0"}))
    chosen = {chooser.choose(service, frozenset({"t1"})).name for _ in range(100)}
    assert chosen == {"t2", "t3"}
    assert chooser.choose(service, frozenset({"t1", "t2", "t3"})) is None


def test_instances_together_keep_within_the_connections(service):
    chooser = make_chooser(Targets())
    started = 0
    while (target := chooser.choose(service, frozenset())) is not None:
        chooser.request_started(service.name, target.name)
        started += 1
    assert started == 4 * (100 // 8)
    chooser.request_ended(service.name, "t2", timedelta(), answered=True)
    assert chooser.choose(service, frozenset()).name == "t2"
