from dataclasses import replace

import pytest

from ...planning import plan_moves
from ..baseline_plans import plan_greedily, plan_rendezvous
from ..choosers import CHOOSERS
from ..deployments import DEPLOYMENTS
from ..keyed_run import run_keyed
from ..scenarios import SCENARIOS, Event, EventKind, Scenario
from ..target_run import run_targets

SHORT = Scenario("short", 12, (Event(4.0, EventKind.SERVER_STOPS, 2),), utilization=0.4)
DUEFJAER = DEPLOYMENTS[0]


@pytest.mark.parametrize("plan", [plan_moves, plan_greedily, plan_rendezvous])
def test_keyed_run_is_reproducible_and_every_key_is_served_again(plan):
    figures = run_keyed(DUEFJAER, SHORT, 3, plan)
    assert figures == run_keyed(DUEFJAER, SHORT, 3, plan)
    # The lost server owns about a fifteenth of the 20,000 keys, for about three seconds; planned
    # moves add little. The bound allows a tenth of the keys for 3.5 s.
    assert 0 < figures.unavailable_key_seconds < 3.5 * 20_000 / 10
    assert figures.goodput > 0.0


def test_planner_moves_fewer_keys_than_greedy_and_balances_better_than_rendezvous():
    steady = replace(SHORT, events=())
    chosen, greedy, rendezvous = (
        run_keyed(DUEFJAER, steady, 3, plan)
        for plan in (plan_moves, plan_greedily, plan_rendezvous)
    )
    assert chosen.churn_keys < greedy.churn_keys
    assert chosen.imbalance < rendezvous.imbalance


@pytest.mark.parametrize("name", CHOOSERS)
def test_target_run_is_reproducible_and_answers_despite_a_lost_target(name):
    scenario = replace(SHORT, seconds=6)
    figures = run_targets(DUEFJAER, scenario, 3, CHOOSERS[name])
    assert figures == run_targets(DUEFJAER, scenario, 3, CHOOSERS[name])
    assert figures.refused < 0.02
    assert figures.peak_connections <= DUEFJAER.connections_per_server


def test_events_of_a_scenario_are_ordered_by_time():
    for scenario in SCENARIOS.values():
        times = [event.at for event in scenario.events]
        assert times == sorted(times)
        assert all(at < scenario.seconds for at in times)
