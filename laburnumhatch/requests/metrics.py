"""Metrics of the request path."""

from collections import Counter as Tally
from datetime import timedelta
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry

__all__ = ["RequestMetrics"]

LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.017, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class _TalliedCounter(Counter):
    """Counter whose values are read from a plain tally at each scrape.

    The library's own counters encode their labels as JSON on each change, which costs more than
    routing a request.
    """

    def __init__(self, name: str, doc: str, labels: tuple[str, ...], registry: Registry) -> None:
        super().__init__(name, doc, registry=registry)
        self.tally: Tally[tuple[str, ...]] = Tally()
        self._labels = labels

    def get_all(self) -> list[Any]:
        """Return all values with their labels, updated from the tally."""
        for values, count in self.tally.items():
            self.set(dict(zip(self._labels, values, strict=True)), count)
        return super().get_all()


class RequestMetrics:
    """Counters and histograms of one instance's requests.

    Parameters
    ----------
    registry : aioprometheus.Registry
    """

    def __init__(self, registry: Registry) -> None:
        def counter(name: str, doc: str, *labels: str) -> Tally[Any]:
            return _TalliedCounter(name, doc, labels, registry).tally

        self.requests = counter(
            "laburnumhatch_requests_total",
            "Requests by result code.",
            "service",
            "kind",
            "code",
        )
        self.attempts = counter(
            "laburnumhatch_upstream_calls_total",
            "Upstream calls by outcome.",
            "service",
            "target",
            "outcome",
        )
        self.retries = counter(
            "laburnumhatch_retries_total", "Upstream calls made again.", "service", "kind"
        )
        self.dropped_answers = counter(
            "laburnumhatch_dropped_answers_total",
            "Answers that matched no waiting request.",
            "reason",
        )
        self.in_flight = Gauge(
            "laburnumhatch_requests_in_flight",
            "Requests without a final answer.",
            registry=registry,
        )
        self._latencies = Histogram(
            "laburnumhatch_request_seconds",
            "Time from a request's header to the end of its answer.",
            registry=registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
        self._latency_of_kind: dict[tuple[str, str], Any] = {}

    def observe_latency(self, service: str, kind: str, latency: timedelta) -> None:
        """Record the duration of one answered request."""
        histogram = self._latency_of_kind.get((service, kind))
        seconds = latency.total_seconds()
        if histogram is not None:
            histogram.observe(seconds)
            return
        labels = {"service": service, "kind": kind}
        self._latencies.observe(labels, seconds)
        self._latency_of_kind[service, kind] = self._latencies.get_value(labels)
