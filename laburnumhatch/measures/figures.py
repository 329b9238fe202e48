"""Figures that a run gives."""

from dataclasses import asdict, dataclass

import numpy as np

__all__ = ["KeyedFigures", "TargetFigures", "figures_as_dict", "latency_milliseconds"]


@dataclass(frozen=True, slots=True)
class KeyedFigures:
    """Figures of a service divided by key.

    Attributes
    ----------
    imbalance : float
        Largest load over mean load of the owning servers, weighted by time.
    churn_keys, churn_load : float
        Keys and load that changed owner, over all keys and all load; above 1 where they
        changed owner more than once on average.
    unavailable_key_seconds : float
    goodput : float
        Answers within the deadline, per second.
    p50_ms, p99_ms : float
        Latency of the answers.
    moves, table_writes : int
    """

    imbalance: float
    churn_keys: float
    churn_load: float
    unavailable_key_seconds: float
    goodput: float
    p50_ms: float
    p99_ms: float
    moves: int
    table_writes: int


@dataclass(frozen=True, slots=True)
class TargetFigures:
    """Figures of a service without exclusive owners.

    Attributes
    ----------
    imbalance : float
        Largest work done over mean work done of the targets that were up all the time.
    goodput : float
        Answers within the deadline, per second.
    p50_ms, p99_ms : float
        Latency of the answers.
    refused : float
        Share of the requests that got no answer in time.
    found_full : float
        Share of the sent requests that found all slots of their target taken.
    peak_connections : int
        Most connections that any target had open.
    connects : float
        New connections per answer.
    far : float
        Share of the answers that came from another data centre.
    readings : float
        Load readings asked for, per answer.
    """

    imbalance: float
    goodput: float
    p50_ms: float
    p99_ms: float
    refused: float
    found_full: float
    peak_connections: int
    connects: float
    far: float
    readings: float


def figures_as_dict(figures: KeyedFigures | TargetFigures) -> dict[str, float]:
    """Return figures by their names."""
    return asdict(figures)


def latency_milliseconds(latencies: list[float], percentile: float) -> float:
    """Return a percentile of latencies in seconds, in milliseconds; 0 without any."""
    if not latencies:
        return 0.0
    return float(np.percentile(np.asarray(latencies), percentile)) * 1000.0
