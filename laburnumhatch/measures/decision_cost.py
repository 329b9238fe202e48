"""Processor time of a choice of a target, of a plan and of the load meter."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

import numpy as np
from twisted.internet import task

from ..balancing import LatencyClassChooser
from ..clocks import ReactorClock
from ..planning import LoadMeter, PlanningView, ServerCondition, plan_moves
from ..routing import Objective, Service, Target
from .target_servers import KnownTargets

__all__ = ["DecisionCost", "measure_choices", "measure_meter", "measure_plans"]

CHOICE_COUNT = 5_000
SERVER_COUNT = 15
DATA_CENTRE_COUNT = 16
INSTANCE_COUNT = 1_700
MEAN_SLOT_LOAD = 0.01


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Processor time of one decision at one size of the problem.

    Attributes
    ----------
    size : int
        Number of targets or slots.
    microseconds : float
        Mean over repeated decisions.
    first_microseconds : float
        Time of the first decision, with cold caches; 0 for plans.
    """

    size: int
    microseconds: float
    first_microseconds: float


def measure_choices(sizes: tuple[int, ...]) -> list[DecisionCost]:
    """Return the cost of a choice, and of recording its request, by the number of targets."""
    return [_measure_choice(size) for size in sizes]


def measure_plans(sizes: tuple[int, ...]) -> list[DecisionCost]:
    """Return the cost of a plan for a skewed load with many moves, by the number of slots."""
    costs = []
    for size in sizes:
        view = _skewed_view(size)
        costs.append(DecisionCost(size, _microseconds(partial(plan_moves, view), 3), 0.0))
    return costs


def measure_meter(slot_count: int) -> tuple[float, float]:
    """Return the microseconds of one record, and of one report, of a load meter."""
    reactor = task.Clock()
    meter = LoadMeter(clock=ReactorClock(reactor), slot_count=slot_count)
    keys = np.random.default_rng(1).integers(0, 2**63, 20_000).tolist()

    def record_all() -> None:
        for key in keys:
            meter.record(slot=key % slot_count, key_hash=key, work=0.001)

    record = _microseconds(record_all, 1) / len(keys)
    reactor.advance(1.0)
    return record, _microseconds(meter.report, 1)


def _measure_choice(size: int) -> DecisionCost:
    targets = tuple(
        Target(f"t{i}", "127.0.0.1", 1, f"dc-{i % DATA_CENTRE_COUNT}") for i in range(size)
    )
    service = Service("measured", (), targets, 2, 20_000, None, None)
    clock = ReactorClock(task.Clock())
    chooser = LatencyClassChooser(
        clock=clock,
        targets=KnownTargets(),
        instance="entry-0",
        data_centre="dc-0",
        live_instances=lambda: INSTANCE_COUNT,
        random_source=random.Random(1),
    )

    def choose() -> None:
        target = chooser.choose(service, frozenset())
        assert target is not None
        chooser.request_started(service.name, target.name)
        chooser.request_ended(service.name, target.name, timedelta(milliseconds=5), True)

    first = _microseconds(choose, 1)
    return DecisionCost(size, _microseconds(choose, CHOICE_COUNT), first)


def _skewed_view(size: int) -> PlanningView:
    generator = np.random.default_rng(1)
    loads = generator.pareto(1.5, size) * MEAN_SLOT_LOAD
    return PlanningView(
        objective=Objective.IMBALANCE,
        servers=[ServerCondition(f"s{i}", True, True) for i in range(SERVER_COUNT)],
        owners=generator.integers(0, SERVER_COUNT, size).tolist(),
        slot_load=loads.tolist(),
        key_owners={},
        key_load={},
        time_since_last_move=timedelta(seconds=60),
    )


def _microseconds(call: Callable[[], object], count: int) -> float:
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) / count * 1e6
