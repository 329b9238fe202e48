"""Figures that a simulation run measures."""

from dataclasses import asdict, dataclass

import numpy as np

__all__ = ["KeyedFigures", "TargetFigures", "figures_as_dict", "latency_percentile_ms"]


@dataclass(frozen=True, slots=True)
class KeyedFigures:
    """Figures of a service divided by key.

    Attributes
    ----------
    imbalance : float
        Largest load divided by the mean load of the servers, averaged over time.
    churn_keys, churn_load : float
        Keys and load that changed owner, as shares of all keys and of all load; above 1 if they
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
        Largest work done divided by the mean work done, over the targets without any event.
    goodput : float
        Answers within the deadline, per second.
    p50_ms, p99_ms : float
        Latency of the answers.
    refused : float
        Share of the requests that got no answer within the deadline.
    found_full : float
        Share of the sent requests that arrived when all slots of the target were in use.
    peak_connections : int
        Maximum number of open connections of any target.
    connects : float
        New connections per answer.
    far : float
        Share of the answers that came from another data centre.
    readings : float
        Load readings requested, per answer.
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
    """Return the figures as a mapping from name to value."""
    return asdict(figures)


def latency_percentile_ms(latencies: list[float], percentile: float) -> float:
    """Return a percentile of latencies given in seconds, in milliseconds; 0 if there are none."""
    if not latencies:
        return 0.0
    return float(np.percentile(np.asarray(latencies), percentile)) * 1000.0
