"""Factories of the choosers of targets that are compared, by name."""

from ..balancing import LatencyClassChooser
from .baseline_choosers import (
    LeastOutstanding,
    ProbedChoice,
    RandomChoice,
    RoundRobin,
    SubsetChoice,
    TwoChoices,
)
from .target_entries import ChooserContext, ChooserFactory

__all__ = ["CHOOSERS", "COMMON_CHOOSERS"]

SUBSET_SIZE = 4


def _latency_class(context: ChooserContext) -> LatencyClassChooser:
    return LatencyClassChooser(
        clock=context.clock,
        targets=context.targets,
        instance=context.instance,
        data_centre=context.data_centre,
        live_instances=context.live_instances,
        random_source=context.random_source,
    )


def _random(context: ChooserContext) -> RandomChoice:
    return RandomChoice(targets=context.targets, random_source=context.random_source)


def _round_robin(context: ChooserContext) -> RoundRobin:
    return RoundRobin(targets=context.targets, random_source=context.random_source)


def _least_outstanding(context: ChooserContext) -> LeastOutstanding:
    return LeastOutstanding(
        targets=context.targets,
        random_source=context.random_source,
        data_centre=context.data_centre,
    )


def _two_choices(context: ChooserContext) -> TwoChoices:
    return TwoChoices(
        targets=context.targets,
        random_source=context.random_source,
        data_centre=context.data_centre,
    )


def _subset(context: ChooserContext) -> SubsetChoice:
    return SubsetChoice(
        targets=context.targets,
        random_source=context.random_source,
        data_centre=context.data_centre,
        instance=context.instance,
        size=SUBSET_SIZE,
    )


def _probed(context: ChooserContext) -> ProbedChoice:
    return ProbedChoice(
        targets=context.targets,
        random_source=context.random_source,
        probe_load=context.probe_load,
    )


# Compared in every scenario. The others were evaluated and rejected.
COMMON_CHOOSERS: dict[str, ChooserFactory] = {
    "chosen": _latency_class,
    "random": _random,
    "round-robin": _round_robin,
    "least-outstanding": _least_outstanding,
}
CHOOSERS: dict[str, ChooserFactory] = {
    **COMMON_CHOOSERS,
    "two-choices": _two_choices,
    "subset": _subset,
    "probed": _probed,
}
