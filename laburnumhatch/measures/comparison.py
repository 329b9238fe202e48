"""Comparison of the product's decision functions with baselines, on the same seeds.

A decision function is a plan function (subject ``keyed``) or a chooser of targets (subject
``targets``). The product's own goes by the name ``chosen``.
"""

from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial

from ..planning import plan_moves
from ..planning.policy import policy_of_objective
from .baseline_plans import BASELINE_PLANS
from .choosers import CHOOSERS, COMMON_CHOOSERS
from .deployments import DEPLOYMENTS, Deployment
from .figures import KeyedFigures, TargetFigures, figures_as_dict
from .keyed_run import PlanFunction, run_keyed
from .scenarios import SCENARIOS
from .target_run import run_targets

__all__ = ["CHOSEN", "PLANS", "Comparison", "compare_decisions", "default_cases"]

CHOSEN = "chosen"
PLANS: dict[str, PlanFunction] = {CHOSEN: plan_moves, **BASELINE_PLANS}


@dataclass(frozen=True, slots=True)
class Case:
    """Parameters of one simulation run.

    Attributes
    ----------
    subject : str
        ``keyed`` for services divided by key, ``targets`` for services without exclusive owners.
    deployment, scenario : str
    decision : str
        Name of the plan function or the chooser.
    seed : int
    utilization : float or None
        Offered work divided by the capacity; the scenario's value if None.
    settle : float or None
        Settle time of the planner in seconds; the value of its policy if None.
    """

    subject: str
    deployment: str
    scenario: str
    decision: str
    seed: int
    utilization: float | None = None
    settle: float | None = None


@dataclass(frozen=True, slots=True)
class Comparison:
    """Figures of the decision functions in one scenario and deployment, averaged over the seeds.

    Attributes
    ----------
    subject, deployment, scenario : str
    figures : dict of str to dict of str to float
        Figures of each decision function, by the names of the function and the figure.
    """

    subject: str
    deployment: str
    scenario: str
    figures: dict[str, dict[str, float]]

    def ratios(self, decision: str) -> dict[str, float | None]:
        """Return the figures of a decision function divided by those of the product's own.

        A ratio is None if the divisor is zero.
        """
        chosen = self.figures[CHOSEN]
        return {
            name: value / chosen[name] if chosen[name] else None
            for name, value in self.figures[decision].items()
        }


def default_cases(
    scenarios: Iterable[str],
    seeds: Sequence[int],
    utilization: float | None = None,
    settle: float | None = None,
    common_only: bool = False,
) -> list[Case]:
    """Return the runs that compare the decision functions in the given scenarios.

    Parameters
    ----------
    scenarios : iterable of str
    seeds : sequence of int
    utilization : float, optional
        Offered work divided by the capacity; by default that of each scenario.
    settle : float, optional
        Settle time of the planner in seconds; by default that of its policy.
    common_only : bool, optional
        Leave out the choosers that were evaluated and rejected.
    """
    cases = []
    choosers = COMMON_CHOOSERS if common_only else CHOOSERS
    for name in scenarios:
        scenario = SCENARIOS[name]
        for subject, decisions, applies in (
            ("keyed", list(PLANS), scenario.keyed),
            ("targets", list(choosers), scenario.keyless),
        ):
            if not applies:
                continue
            for deployment in DEPLOYMENTS:
                cases += [
                    Case(subject, deployment.name, name, decision, seed, utilization, settle)
                    for decision in decisions
                    for seed in seeds
                ]
    return cases


def compare_decisions(cases: Sequence[Case], workers: int) -> list[Comparison]:
    """Run all cases in a pool of processes; return their figures by scenario and deployment."""
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(_run, cases))
    runs: dict[tuple[str, str, str], dict[str, list[dict[str, float]]]] = {}
    for case, figures in zip(cases, results, strict=True):
        group = runs.setdefault((case.subject, case.deployment, case.scenario), {})
        group.setdefault(case.decision, []).append(figures_as_dict(figures))
    return [
        Comparison(*group, {decision: _mean(rows) for decision, rows in decisions.items()})
        for group, decisions in runs.items()
    ]


def _run(case: Case) -> KeyedFigures | TargetFigures:
    deployment = next(d for d in DEPLOYMENTS if d.name == case.deployment)
    scenario = SCENARIOS[case.scenario]
    if case.utilization is not None:
        scenario = replace(scenario, utilization=case.utilization)
    if case.subject == "keyed":
        return run_keyed(deployment, scenario, case.seed, _plan(case, deployment))
    return run_targets(deployment, scenario, case.seed, CHOOSERS[case.decision])


def _plan(case: Case, deployment: Deployment) -> PlanFunction:
    if case.decision != CHOSEN or case.settle is None:
        return PLANS[case.decision]
    policy = replace(
        policy_of_objective(deployment.objective), settle_time=timedelta(seconds=case.settle)
    )
    return partial(plan_moves, policy=policy)


def _mean(rows: list[dict[str, float]]) -> dict[str, float]:
    return {name: sum(row[name] for row in rows) / len(rows) for name in rows[0]}
