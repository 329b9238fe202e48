"""Longest deadline that callers give on each route.

A caller that repeats a request gives the time that is left of its deadline. What it has already
spent is the deadline of a first try less the one it gives now.
"""

from collections.abc import Set
from dataclasses import dataclass, field
from datetime import timedelta

from ..clocks import milliseconds

__all__ = ["LongestDeadlines"]

# Deadlines are counted in buckets of this width, by which the spent time may be too short.
BUCKET = milliseconds(25)
# Time after which the counts are halved, so that a changed deadline of a route is noticed.
HALVING_INTERVAL = timedelta(seconds=20)
# Smallest share of a route's requests that give the longest deadline or a longer one. With the
# plain maximum, a single caller with an unusual deadline would make all others look late.
MIN_SHARE = 0.05
# Number of requests after which the longest deadline is computed again.
UPDATE_INTERVAL = 16


@dataclass(slots=True)
class _RouteDeadlines:
    """Counts of the deadlines of one route by bucket."""

    halved_at: timedelta
    counts: dict[int, float] = field(default_factory=dict)
    seen_count: int = 0
    longest: timedelta = timedelta()

    def update(self) -> None:
        """Compute the longest deadline from the counts."""
        needed = sum(self.counts.values()) * MIN_SHARE
        count = 0.0
        for bucket in sorted(self.counts, reverse=True):
            count += self.counts[bucket]
            if count >= needed:
                self.longest = bucket * BUCKET
                return


class LongestDeadlines:
    """Longest deadline on each route, which is slowly forgotten."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteDeadlines] = {}

    def record(self, route: str, deadline: timedelta, now: timedelta) -> timedelta:
        """Record the deadline of a request and return the time that its caller has spent.

        Parameters
        ----------
        route : str
        deadline : timedelta
            Time that the caller still waits.
        now : timedelta
        """
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _RouteDeadlines(now)
        if now - known.halved_at >= HALVING_INTERVAL:
            known.halved_at = now
            known.counts = {b: n / 2 for b, n in known.counts.items() if n >= 1.0}
        bucket = deadline // BUCKET
        known.counts[bucket] = known.counts.get(bucket, 0.0) + 1.0
        known.seen_count += 1
        if known.seen_count <= UPDATE_INTERVAL or known.seen_count % UPDATE_INTERVAL == 0:
            known.update()
        return max(known.longest - deadline, timedelta())

    def retain(self, routes: Set[str]) -> None:
        """Remove the other routes."""
        self._routes = {name: known for name, known in self._routes.items() if name in routes}
