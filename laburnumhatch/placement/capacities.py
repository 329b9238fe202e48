"""Requests per second that upstreams can serve, by which keys are placed."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from ..fleet import Upstream, UpstreamIncarnation
from .choice import median_service_time, typical_service_time
from .loads import LoadTracker
from .request_limits import MIN_RATE_PER_S

__all__ = ["capacities_for_keys", "serving_capacities"]

# Exponent by which the capacity of a slow upstream is reduced further, applied to the ratio of the
# median service time to its own.
SLOWNESS_EXPONENT = 0.5
# Share of the limit that an upstream announced for which it is given keys: it is in need, and
# requests beyond the limit are refused.
LIMITED_CAPACITY_SHARE = 0.3
# Factor on the capacity of an upstream that reports that it is still warming up.
WARMUP_CAPACITY_FACTOR = 0.5
# Largest share of declined requests that is taken off the capacity of an upstream.
MAX_DECLINED_SHARE = 0.8


def serving_capacities(
    upstreams: Iterable[Upstream], load_tracker: LoadTracker, now: timedelta
) -> dict[UpstreamIncarnation, float]:
    """Return the requests per second that each upstream of one service can serve.

    Parameters
    ----------
    upstreams : iterable of Upstream
    load_tracker : LoadTracker
    now : timedelta
    """
    upstreams = list(upstreams)
    median_s = median_service_time(load_tracker.load_of(u.name) for u in upstreams)
    capacities = {}
    for upstream in upstreams:
        load = load_tracker.load_of(upstream.name)
        service_time_s = typical_service_time(load, median_s)
        capacity = min(load.concurrency or upstream.slots, upstream.slots) / service_time_s
        # A slow upstream needs more spare capacity to answer within the target time.
        capacity *= (median_s / service_time_s) ** SLOWNESS_EXPONENT
        if upstream.warmup_remaining:
            capacity *= WARMUP_CAPACITY_FACTOR
        capacity *= 1.0 - min(MAX_DECLINED_SHARE, load.declined_share(now))
        limit_per_s = load_tracker.limits.rate_per_s(upstream.name)
        if limit_per_s is not None:
            capacity = min(capacity, max(limit_per_s, MIN_RATE_PER_S))
        warmup_per_s = load_tracker.warmups.rate_per_s(upstream.name, now)
        if warmup_per_s is not None:
            capacity = min(capacity, max(warmup_per_s, MIN_RATE_PER_S))
        capacities[upstream.incarnation] = capacity
    return capacities


def capacities_for_keys(
    capacities: Mapping[UpstreamIncarnation, float], load_tracker: LoadTracker
) -> dict[UpstreamIncarnation, float]:
    """Return the part of the capacities for which upstreams are given keys."""
    limited = load_tracker.limits.rates_per_s
    return {
        incarnation: capacity * LIMITED_CAPACITY_SHARE if incarnation.name in limited else capacity
        for incarnation, capacity in capacities.items()
    }
