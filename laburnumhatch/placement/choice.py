"""Choice of the upstream for a request without an owned key.

Answers the load of many instances that share a few slots without a common counter: each sees its
own requests at once and the others' a moment later.
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

# Service time of an upstream that has answered nothing yet, where no other of its service has.
UNKNOWN_SERVICE_S = 0.05
# Factor on the predicted time at another data centre: its bytes cross a paid link.
REMOTE_FACTOR = 1.15
REMOTE_FACTOR_BULKY = 2.5
# Upstreams that one choice compares: as many as this over all instances, and at least so many.
COMPARED_BY_ALL = 40
FEWEST_COMPARED = 3
# Spread of the random factor that keeps instances with the same view from choosing alike.
JITTER = 0.15
# Factor on the service time of an upstream that says that it is still slow from its start.
WARMUP_FACTOR = 1.6
# Share of the usual service time below which an upstream's own isn't believed.
FASTEST_SHARE = 0.5
# Largest declined share that is reckoned with, so that a declining upstream is tried now and then.
MOST_DECLINED = 0.9


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream and the predicted time to its answer, seconds."""

    upstream: Upstream
    predicted_s: float


def predict_answer_time(upstream: Upstream, load: UpstreamLoad, usual_s: float) -> float:
    """Return the seconds until a request that is sent now is answered.

    Notes
    -----
    A request beyond the slots waits for its turn.
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
    """Return some reachable upstreams, half of them near where there are any."""
    reachable = [u for u in candidates if now >= load_of(u.name).avoid_until]
    if not reachable:
        return list(candidates)
    near = [u for u in reachable if u.data_centre == data_centre]
    count = max(FEWEST_COMPARED, round(COMPARED_BY_ALL / instances))
    drawn = source.sample(near, min(len(near), (count + 1) // 2))
    others = [u for u in reachable if u not in drawn]
    return drawn + source.sample(others, min(len(others), count - len(drawn)))


def usual_service_time(loads: Iterable[UpstreamLoad]) -> float:
    """Return the median service time of a service's upstreams, seconds."""
    known = sorted(load.service_s for load in loads if load.service_s)
    return known[len(known) // 2] if known else UNKNOWN_SERVICE_S


def plausible_service_time(service_s: float, usual_s: float) -> float:
    """Return an upstream's service time, seconds; the usual one where it is not known.

    Notes
    -----
    The time is worked out from the answer's and from the requests in flight, of which some are
    known late. Answers after a busy moment make an upstream look faster than it can be.
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
    """Return the upstream that is predicted to answer first, near ones preferred.

    Parameters
    ----------
    candidates : collection of Upstream
        Those that may take the request.
    load_of : callable
        Returns the load of an upstream by name.
    data_centre : str
        Of this instance.
    is_bulky : bool
        Whether the answer is large.
    instances : int
        Instances that choose at the same time.
    now : timedelta
    source : random.Random

    Notes
    -----
    Only a few upstreams are compared, drawn at random: with what is known of the other instances'
    requests a moment old, all would choose the same idle one [1]_. The more instances, the fewer.

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
        # A declined request has to be sent again, perhaps in vain.
        taken = 1.0 - min(load.declined_share(now), MOST_DECLINED)
        weighed = predicted / taken * (1.0 + JITTER * source.random())
        if upstream.data_centre != data_centre:
            weighed *= remote
        rank = (now < load.avoid_until, weighed)
        if best is None or rank < best_rank:
            best, best_rank = Choice(upstream, predicted), rank
    return best
