"""Choice of the upstream for a request without an owned key.

Many instances share a few slots without a common counter: each instance knows its own requests
immediately and those of the other instances with a delay.
"""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..fleet import Upstream
from .loads import UpstreamLoad

__all__ = [
    "Choice",
    "choose_upstream",
    "plausible_service_time",
    "predict_answer_time",
    "usual_service_time",
]

# Service time that is assumed while no upstream of the service has answered a request.
UNKNOWN_SERVICE_S = 0.05
# Penalty factor for an upstream in another data centre, whose traffic crosses a paid link.
REMOTE_FACTOR = 1.15
REMOTE_FACTOR_BULKY = 2.5
# Number of candidates that all instances together compare, and the minimum for one instance.
COMPARED_BY_ALL = 40
FEWEST_COMPARED = 3
# Range of the random factor that keeps instances with equal data from choosing the same upstream.
JITTER = 0.15
# Factor on the service time of an upstream that reports that it is still warming up.
WARMUP_FACTOR = 1.6
# Fraction of the median service time that is the lower bound for an upstream's own service time.
FASTEST_SHARE = 0.5
# Upper bound of the declined share in a score, so that an upstream that declines requests is still
# tried from time to time.
MOST_DECLINED = 0.9


@dataclass(frozen=True, slots=True)
class Choice:
    """Chosen upstream and the predicted time to its answer, in seconds."""

    upstream: Upstream
    predicted_s: float


def predict_answer_time(upstream: Upstream, load: UpstreamLoad, usual_s: float) -> float:
    """Return the predicted time to the answer of a request that is sent now, in seconds.

    Notes
    -----
    Requests beyond the number of slots wait, so the service time is multiplied by the number of
    requests for each slot.
    """
    service = plausible_service_time(load.service_s, usual_s)
    if upstream.slow_for:
        service = max(service, usual_s * WARMUP_FACTOR)
    turns = max(1.0, (load.in_flight + 1) / upstream.slots)
    return service * turns


def _draw(
    candidates: Collection[Upstream],
    load_of: Callable[[str], UpstreamLoad],
    data_centre: str,
    instances: int,
    now: timedelta,
    source: random.Random,
) -> list[Upstream]:
    """Return a random sample of the reachable upstreams.

    Half of the sample is from the own data centre if it has enough. All candidates are returned if
    none is reachable.
    """
    reachable = [u for u in candidates if now >= load_of(u.name).avoid_until]
    if not reachable:
        return list(candidates)
    near = [u for u in reachable if u.data_centre == data_centre]
    count = max(FEWEST_COMPARED, round(COMPARED_BY_ALL / instances))
    drawn = source.sample(near, min(len(near), (count + 1) // 2))
    others = [u for u in reachable if u not in drawn]
    return drawn + source.sample(others, min(len(others), count - len(drawn)))


def usual_service_time(loads: Iterable[UpstreamLoad]) -> float:
    """Return the median service time of a service's upstreams, in seconds."""
    known = sorted(load.service_s for load in loads if load.service_s)
    return known[len(known) // 2] if known else UNKNOWN_SERVICE_S


def plausible_service_time(service_s: float, usual_s: float) -> float:
    """Return an upstream's service time in seconds, with a lower bound; the median if unknown.

    Notes
    -----
    The measured service time is the answer time divided by the requests for each slot. Requests of
    other instances are known late, so after a busy period an upstream looks faster than it is.
    """
    return max(service_s, usual_s * FASTEST_SHARE) if service_s else usual_s


def choose_upstream(
    candidates: Collection[Upstream],
    load_of: Callable[[str], UpstreamLoad],
    data_centre: str,
    is_bulky: bool,
    instances: int,
    now: timedelta,
    source: random.Random,
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
    is_bulky : bool
        Whether the answer is large.
    instances : int
        Number of instances that choose at the same time.
    now : timedelta
    source : random.Random

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
    usual = usual_service_time(load_of(u.name) for u in candidates)
    candidates = _draw(candidates, load_of, data_centre, instances, now, source)
    remote = REMOTE_FACTOR_BULKY if is_bulky else REMOTE_FACTOR
    best: Choice | None = None
    best_rank = (True, 0.0)
    for upstream in candidates:
        load = load_of(upstream.name)
        predicted = predict_answer_time(upstream, load, usual)
        # A declined request costs a retry, which may be declined as well.
        taken = 1.0 - min(load.declined_share(now), MOST_DECLINED)
        weighed = predicted / taken * (1.0 + JITTER * source.random())
        if upstream.data_centre != data_centre:
            weighed *= remote
        rank = (now < load.avoid_until, weighed)
        if best is None or rank < best_rank:
            best, best_rank = Choice(upstream, predicted), rank
    return best
