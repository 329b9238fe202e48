"""Counters and latency histograms of an instance."""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

__all__ = ["GatewayMetrics", "Histogram", "LATENCY_BOUNDS_S"]

# Upper bounds of the latency buckets, in seconds.
LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)


@dataclass(slots=True)
class Histogram:
    """Histogram of durations.

    Attributes
    ----------
    counts : list of int
        Number of durations in each bucket: one for each of `LATENCY_BOUNDS_S`, and one without
        an upper bound.
    total_s : float
        Sum of the durations, in seconds.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1))
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add a duration."""
        self.counts[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.total_s += seconds


@dataclass(slots=True)
class GatewayMetrics:
    """Counters and histograms since the start of the instance.

    Attributes
    ----------
    requests : Counter of (str, str)
        Number of requests by service and result.
    attempts : Counter of (str, str)
        Number of attempts by service and outcome.
    relayed : Counter of (str, str)
        Number of requests passed on to other instances, by service and result.
    memory_refusals : Counter of str
        Number of requests refused for want of memory, by whether their body is ``long`` or
        ``short``.
    unanswered : Counter of str
        Number of requests whose complete answer the kernel did not get, by cause; see
        `UnansweredCause`.
    latencies : dict of str to Histogram
        Time from the header of a request to its final answer, by service.
    owner_waits : dict of str to Histogram
        Time for which requests waited for an owner of their key, by service.
    waits : Counter of (str, str)
        Number of requests that waited for room at an upstream, by service and outcome.
    wait_times : dict of str to Histogram
        Time for which requests waited for room at an upstream, by service.
    """

    requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    attempts: Counter[tuple[str, str]] = field(default_factory=Counter)
    relayed: Counter[tuple[str, str]] = field(default_factory=Counter)
    memory_refusals: Counter[str] = field(default_factory=Counter)
    unanswered: Counter[str] = field(default_factory=Counter)
    latencies: dict[str, Histogram] = field(default_factory=dict)
    owner_waits: dict[str, Histogram] = field(default_factory=dict)
    waits: Counter[tuple[str, str]] = field(default_factory=Counter)
    wait_times: dict[str, Histogram] = field(default_factory=dict)

    def record_request(self, service: str, result: str, seconds: float) -> None:
        """Count a finished request and record its latency."""
        self.requests[service, result] += 1
        self.latencies.setdefault(service, Histogram()).observe(seconds)

    def record_owner_wait(self, service: str, seconds: float) -> None:
        """Record a wait for the owner of a key."""
        self.owner_waits.setdefault(service, Histogram()).observe(seconds)

    def record_wait(self, service: str, outcome: str, seconds: float) -> None:
        """Record a wait for room at an upstream."""
        self.waits[service, outcome] += 1
        self.wait_times.setdefault(service, Histogram()).observe(seconds)
