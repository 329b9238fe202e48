"""Counters and latency histograms of an instance."""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

__all__ = ["GatewayMetrics", "LATENCY_BOUNDS_S"]

# Upper bounds of the latency buckets, seconds.
LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)


@dataclass(slots=True)
class GatewayMetrics:
    """What happened so far.

    Attributes
    ----------
    requests : Counter of (str, str)
        By service and result.
    attempts : Counter of (str, str)
        By service and what came of the attempt.
    latencies : dict of str to list of int
        By service, requests in each latency bucket; the last one has no bound.
    latency_sums : Counter of str
        Seconds, by service.
    """

    requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    attempts: Counter[tuple[str, str]] = field(default_factory=Counter)
    latencies: dict[str, list[int]] = field(default_factory=dict)
    latency_sums: dict[str, float] = field(default_factory=dict)

    def note_request(self, service: str, result: str, seconds: float) -> None:
        """Count a request and its latency."""
        self.requests[service, result] += 1
        buckets = self.latencies.setdefault(service, [0] * (len(LATENCY_BOUNDS_S) + 1))
        buckets[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.latency_sums[service] = self.latency_sums.get(service, 0.0) + seconds
