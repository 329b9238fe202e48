"""Choice of the upstream for a request without an owned key.

Many instances share a few slots without a common counter: each instance knows its own requests
immediately and those of the other instances with a delay.
"""

import random
from collections.abc import Callable, Collection, Iterable, Set
from dataclasses import dataclass
from datetime import timedelta

from ..fleet import Upstream
from .loads import UpstreamLoad

__all__ = [
    "Choice",
    "Demand",
    "choose_upstream",
    "plausible_service_time",
    "predict_answer_time",
    "typical_service_time",
    "usual_service_time",
    "median_service_time",
]

# Service time that is assumed while no upstream of the service has answered a request.
DEFAULT_SERVICE_TIME_S = 0.05
# Penalty factor for an upstream in another data centre, whose traffic crosses a paid link.
REMOTE_FACTOR = 1.15
REMOTE_FACTOR_BULKY = 2.5
# Number of candidates that all instances together compare, and the minimum for one instance.
TOTAL_SAMPLE_SIZE = 40
MIN_SAMPLE_SIZE = 3
# Number of upstreams that are drawn for each candidate of the sample, so that some are reachable
# and in the own data centre.
DRAWN_PER_CANDIDATE = 6
# Range of the random factor that keeps instances with equal data from choosing the same upstream.
JITTER = 0.15
# Factor on the service time of an upstream that reports that it is still warming up.
WARMUP_FACTOR = 1.6
# Fraction of the median service time that is the lower bound for an upstream's own service time.
MIN_SERVICE_TIME_SHARE = 0.5
# Upper bound of the declined share in a score, so that an upstream that declines requests is still
# tried from time to time.
MAX_DECLINED_SHARE = 0.9
# Factor on the predicted time of a request beyond the upstream's concurrency limit. Requests beyond
# it take more than twice as long as queueing explains, and delay those that run.
BEYOND_LIMIT_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class Choice:
    """Chosen upstream and the predicted time to its answer, in seconds."""

    upstream: Upstream
    predicted_s: float


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of an upstream.

    Attributes
    ----------
    work_ratio : float
        Expected work relative to the mean request of the service.
    is_bulky : bool
        Whether the answer is large.
    reserved : set of str
        Names of the upstreams that are reserved for the service's urgent requests.
    is_urgent : bool
        Whether the request may use the reserved upstreams.
    longest_work_ratio : float
        Largest `work_ratio` among the routes of the service.
    """

    work_ratio: float = 1.0
    is_bulky: bool = False
    reserved: Set[str] = frozenset()
    is_urgent: bool = True
    longest_work_ratio: float = 1.0

    def queued_work_ratio(self, upstream: Upstream) -> float:
        """Return the expected `work_ratio` of the requests that an upstream queues."""
        if not self.reserved:
            return 1.0
        is_shared = upstream.name not in self.reserved
        return self.longest_work_ratio if is_shared and self.is_urgent else self.work_ratio

    def relative_time(self, upstream: Upstream, in_flight: int, slots: int = 0) -> float:
        """Return the time to the answer as a multiple of the upstream's service time.

        Requests beyond the number of slots wait for others to end.

        Parameters
        ----------
        upstream : Upstream
        in_flight : int
            Requests in flight to the upstream, including this one.
        slots : int, optional
            Number of requests that run concurrently, if not the upstream's slots.
        """
        waiting_per_slot = max(0.0, in_flight / (slots or upstream.slots) - 1.0)
        return waiting_per_slot * self.queued_work_ratio(upstream) + self.work_ratio


# A request of average work to a service without reservations.
AVERAGE_DEMAND = Demand()


def predict_answer_time(
    upstream: Upstream, load: UpstreamLoad, median_s: float, demand: Demand = AVERAGE_DEMAND
) -> float:
    """Return the predicted time to the answer of a request that is sent now, in seconds."""
    service_time_s = typical_service_time(load, median_s)
    if upstream.warmup_remaining:
        service_time_s = max(service_time_s, usual_service_time(upstream, median_s))
    if not load.concurrency:
        return service_time_s * demand.relative_time(upstream, load.in_flight + 1)
    slots = min(upstream.slots, load.concurrency)
    predicted_s = service_time_s * demand.relative_time(upstream, load.in_flight + 1, slots)
    return predicted_s * BEYOND_LIMIT_FACTOR if _is_beyond_limit(load) else predicted_s


def _is_beyond_limit(load: UpstreamLoad) -> bool:
    """Return whether one more request would be beyond the upstream's concurrency limit."""
    return 0 < load.concurrency <= load.in_flight


def usual_service_time(upstream: Upstream, median_s: float) -> float:
    """Return the time that an upstream usually needs for a request, in seconds."""
    return median_s * WARMUP_FACTOR if upstream.warmup_remaining else median_s


def _sample_candidates(
    candidates: Collection[Upstream],
    load_of: Callable[[str], UpstreamLoad],
    demand: Demand,
    data_centre: str,
    instance_count: int,
    now: timedelta,
    rng: random.Random,
) -> list[Upstream]:
    """Return a random sample of the reachable upstreams.

    Half of the sample is from the own data centre if it has enough. An urgent request gets a
    second sample, of the reserved upstreams; another request gets none of these unless no other
    upstream is reachable. All candidates are returned if none is reachable.
    """
    count = max(MIN_SAMPLE_SIZE, round(TOTAL_SAMPLE_SIZE / instance_count))

    def sample_reachable(upstreams: list[Upstream]) -> list[Upstream]:
        drawn = rng.sample(upstreams, min(len(upstreams), count * DRAWN_PER_CANDIDATE))
        reachable = [u for u in drawn if now >= load_of(u.name).avoid_until]
        if not reachable and len(drawn) < len(upstreams):
            reachable = [u for u in upstreams if now >= load_of(u.name).avoid_until]
        return _sample_near(reachable, data_centre, count, rng)

    sample = sample_reachable([u for u in candidates if u.name not in demand.reserved])
    if demand.reserved and (demand.is_urgent or not sample):
        sample += sample_reachable([u for u in candidates if u.name in demand.reserved])
    return sample or list(candidates)


def _sample_near(
    upstreams: list[Upstream], data_centre: str, count: int, rng: random.Random
) -> list[Upstream]:
    local = [u for u in upstreams if u.data_centre == data_centre]
    sample = rng.sample(local, min(len(local), (count + 1) // 2))
    remaining = [u for u in upstreams if u not in sample]
    return sample + rng.sample(remaining, min(len(remaining), count - len(sample)))


def median_service_time(loads: Iterable[UpstreamLoad]) -> float:
    """Return the median service time of a service's upstreams, in seconds."""
    times_s = (load.unloaded_s or load.service_time_s for load in loads)
    known_times_s = sorted(time_s for time_s in times_s if time_s)
    return known_times_s[len(known_times_s) // 2] if known_times_s else DEFAULT_SERVICE_TIME_S


def plausible_service_time(service_time_s: float, median_s: float) -> float:
    """Return an upstream's service time in seconds, with a lower bound; the median if unknown.

    Notes
    -----
    The measured service time is the answer time divided by the requests for each slot. Requests of
    other instances are known late, so after a busy period an upstream looks faster than it is.
    """
    return max(service_time_s, median_s * MIN_SERVICE_TIME_SHARE) if service_time_s else median_s


def typical_service_time(load: UpstreamLoad, median_s: float) -> float:
    """Return the estimated time of an upstream in seconds, or else the plausible measured one."""
    return load.unloaded_s or plausible_service_time(load.service_time_s, median_s)


def choose_upstream(
    candidates: Collection[Upstream],
    load_of: Callable[[str], UpstreamLoad],
    data_centre: str,
    demand: Demand,
    instance_count: int,
    now: timedelta,
    rng: random.Random,
    median_s: float,
) -> Choice | None:
    """Return the upstream with the shortest predicted time, preferring the own data centre.

    Parameters
    ----------
    candidates : collection of Upstream
        Upstreams that may receive the request.
    load_of : callable
        Returns the load of an upstream, given its name.
    data_centre : str
        Data centre of this instance.
    demand : Demand
    instance_count : int
        Number of instances that choose at the same time.
    now : timedelta
    rng : random.Random
    median_s : float
        Median service time of the service's upstreams, in seconds.

    Notes
    -----
    Only a small random sample is compared, which is smaller the more instances there are. The load
    from other instances is known with a delay, so with a full comparison all instances would choose
    the same idle upstream [1]_.

    References
    ----------
    .. [1] M. Mitzenmacher, How useful is old information?, 2000.
    """
    if not candidates:
        return None
    candidates = _sample_candidates(
        candidates, load_of, demand, data_centre, instance_count, now, rng
    )
    remote_factor = REMOTE_FACTOR_BULKY if demand.is_bulky else REMOTE_FACTOR
    best: Choice | None = None
    best_rank = (True, True, 0.0)
    for upstream in candidates:
        load = load_of(upstream.name)
        predicted_s = predict_answer_time(upstream, load, median_s, demand)
        # A declined request costs a retry, which may be declined as well.
        accepted_share = 1.0 - min(load.declined_share(now), MAX_DECLINED_SHARE)
        score = predicted_s / accepted_share * (1.0 + JITTER * rng.random())
        if upstream.data_centre != data_centre:
            score *= remote_factor
        rank = (now < load.avoid_until, _is_beyond_limit(load), score)
        if best is None or rank < best_rank:
            best, best_rank = Choice(upstream, predicted_s), rank
    return best
