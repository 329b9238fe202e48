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
from .target_entries import ChooserFactory, ChooserParts

__all__ = ["CHOOSERS", "COMMON_CHOOSERS"]

SUBSET_SIZE = 4


def _chosen(parts: ChooserParts) -> LatencyClassChooser:
    return LatencyClassChooser(
        clock=parts.clock,
        targets=parts.targets,
        instance=parts.instance,
        data_centre=parts.data_centre,
        live_instances=parts.live_instances,
        random_source=parts.random_source,
    )


def _random(parts: ChooserParts) -> RandomChoice:
    return RandomChoice(targets=parts.targets, random_source=parts.random_source)


def _round_robin(parts: ChooserParts) -> RoundRobin:
    return RoundRobin(targets=parts.targets, random_source=parts.random_source)


def _least_outstanding(parts: ChooserParts) -> LeastOutstanding:
    return LeastOutstanding(
        targets=parts.targets,
        random_source=parts.random_source,
        data_centre=parts.data_centre,
    )


def _two_choices(parts: ChooserParts) -> TwoChoices:
    return TwoChoices(
        targets=parts.targets,
        random_source=parts.random_source,
        data_centre=parts.data_centre,
    )


def _subset(parts: ChooserParts) -> SubsetChoice:
    return SubsetChoice(
        targets=parts.targets,
        random_source=parts.random_source,
        data_centre=parts.data_centre,
        instance=parts.instance,
        size=SUBSET_SIZE,
    )


def _probed(parts: ChooserParts) -> ProbedChoice:
    return ProbedChoice(
        targets=parts.targets,
        random_source=parts.random_source,
        read_load=parts.read_load,
    )


# Compared in every scenario. The others were evaluated and rejected.
COMMON_CHOOSERS: dict[str, ChooserFactory] = {
    "chosen": _chosen,
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
