"""Order between the ranks of a service: less urgent requests leave room to more urgent ones.

Upstreams serve requests in order of arrival, so urgent requests come first only if the others keep
the queue at the upstream short. While more urgent requests arrive, less urgent ones are sent only
if their predicted time is within a share of the objective of the more urgent ones. The less of
these are served in time, the smaller this share is.
"""

from collections.abc import Set
from dataclasses import dataclass, field
from datetime import timedelta

from ..clocks import milliseconds
from .admission import MIN_ALLOWED_FACTOR

__all__ = ["RankLimits"]

# Share of the objective that the predicted time of the most urgent requests may take. Shares of
# 0.7 and 0.85 gave a lower value in the load model, since slots were idle between two totals.
URGENT_SHARE = 1.0
# Factor on the share for each more urgent rank that arrives at the service.
RANK_FACTOR = 0.75
# Half-life of the counts: several totals of the leader, and shorter than a burst.
HALF_LIFE = milliseconds(2000)
# Share of requests that can't be in time even if there is enough room overall, since some upstreams
# are slow for a moment.
USUAL_UNMET_SHARE = 0.15
# Number of requests in time that are added to the counts, so that few requests decide little.
PRIOR_COUNT = 1.0
# Decayed number of requests from which a rank counts as arriving.
MIN_COUNT = 0.5


@dataclass(slots=True)
class _RankCounts:
    """Decayed number of the requests of one rank, and of those that can't be in time."""

    counted_at: timedelta
    objective_s: float
    asked: float = 0.0
    unmet: float = 0.0

    def decay(self, now: timedelta) -> None:
        """Decay the counts to an instant."""
        factor = 0.5 ** ((now - self.counted_at) / HALF_LIFE)
        self.asked *= factor
        self.unmet *= factor
        self.counted_at = now

    def met_share(self) -> float:
        """Return the share of requests that can be in time, relative to the usual share."""
        excess = min(1.0, self.unmet / (self.asked + PRIOR_COUNT)) - USUAL_UNMET_SHARE
        return 1.0 - max(0.0, excess) / (1.0 - USUAL_UNMET_SHARE)


@dataclass(slots=True)
class RankLimits:
    """Ranks that arrive at each service, and the limits on predicted times that follow."""

    _counts: dict[str, dict[int, _RankCounts]] = field(default_factory=dict)

    def record(self, service: str, rank: int, objective_s: float, now: timedelta) -> None:
        """Record a request; 0 is the most urgent rank."""
        ranks = self._counts.setdefault(service, {})
        counts = ranks.get(rank)
        if counts is None:
            counts = ranks[rank] = _RankCounts(now, objective_s)
        counts.decay(now)
        counts.objective_s = objective_s
        counts.asked += 1.0

    def record_unmet(self, service: str, rank: int, now: timedelta) -> None:
        """Record that a request can't be in time any more."""
        counts = self._counts.get(service, {}).get(rank)
        if counts is not None:
            counts.decay(now)
            counts.unmet += 1.0

    def retain(self, services: Set[str]) -> None:
        """Remove the other services."""
        self._counts = {name: ranks for name, ranks in self._counts.items() if name in services}

    def limit_s(
        self, service: str, rank: int, objective_s: float, service_time_s: float, now: timedelta
    ) -> float:
        """Return the longest predicted time, in seconds, with which a request is sent.

        Parameters
        ----------
        service : str
        rank : int
        objective_s : float
            Latency objective of the request.
        service_time_s : float
            Usual time that the upstream works on the request.
        now : timedelta
        """
        share, met_share = URGENT_SHARE, 1.0
        for other, counts in self._counts.get(service, {}).items():
            if other >= rank:
                continue
            counts.decay(now)
            if counts.asked >= MIN_COUNT:
                share *= RANK_FACTOR
                objective_s = min(objective_s, counts.objective_s)
                met_share = min(met_share, counts.met_share())
        return max(objective_s * share, service_time_s * MIN_ALLOWED_FACTOR) * met_share
