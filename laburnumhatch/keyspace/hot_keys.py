"""Keys that are requested more often than any one owner can serve.

A key has one owner at a time, so its requests can't be spread. The key goes to the fastest
upstream, and the leader tells all instances which share of its requests to send: without a common
limit, each instance would send its requests until it learns that the owner is full, and the owner
would refuse them together with those for its other keys.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ..fleet import UpstreamIncarnation
from .balance import KeyMove, OwnedSpan

__all__ = ["KeyLimits", "clip_hot_rates", "plan_hot_key_moves", "plan_key_limits"]

# Rate of a key, as a share of its owner's capacity, from which the key is limited if the owner is
# overloaded.
MIN_LIMITED_SHARE = 0.3
# Number of requests within the measured window from which a key counts as busy at all: a few
# requests by chance are no rate.
MIN_REQUESTS = 5.0
# Number of priorities among which the requests for one key may be divided.
MAX_PRIORITIES = 4
# Utilisation of an owner up to which its keys are not limited.
TARGET_UTILISATION = 1.0
# Share of an owner's capacity that its limited keys get at least, however busy the others are.
MIN_SHARE_FOR_LIMITED_KEYS = 0.3
# Rate of a key, as a share of its owner's capacity, from which a faster owner is sought, and the
# ratio of the capacities that justifies the move.
MIN_MOVED_SHARE = 0.8
MIN_CAPACITY_RATIO = 2.0


@dataclass(frozen=True, slots=True)
class KeyLimits:
    """Shares of the requests that are sent, by key and priority; others are not limited."""

    shares: Mapping[tuple[int, int], float] = field(default_factory=dict)

    def share(self, key: int, priority: int) -> float:
        """Return the share of the requests for a key that are sent, from 0 to 1."""
        return self.shares.get((key, priority), 1.0)


def plan_key_limits(
    spans: list[OwnedSpan],
    rates: Mapping[tuple[int, int], float],
    capacities: Mapping[UpstreamIncarnation, float],
    window_s: float,
) -> KeyLimits:
    """Return the limits for the busy keys of overloaded owners.

    Parameters
    ----------
    spans : list of OwnedSpan
        Ordered by key.
    rates : mapping of (int, int) to float
        Requests per second by key and priority, including those that were refused.
    capacities : mapping of UpstreamIncarnation to float
        Requests per second that each usable upstream can serve.
    window_s : float
        Length of the time window over which the rates were measured, in seconds.

    Notes
    -----
    The busy keys of an owner share what its other keys leave, equally except that no key gets more
    than it needs. Of one key, the more urgent requests are sent first.
    """
    shares: dict[tuple[int, int], float] = {}
    if max(rates.values(), default=0.0) * window_s < MIN_REQUESTS / MAX_PRIORITIES:
        return KeyLimits()
    for owner, owned in _rates_by_owner(spans, rates).items():
        capacity = capacities.get(owner)
        if capacity is None or sum(owned.values()) <= capacity * TARGET_UTILISATION:
            continue
        totals: dict[int, float] = {}
        for (key, _), rate in owned.items():
            totals[key] = totals.get(key, 0.0) + rate
        min_rate = max(capacity * MIN_LIMITED_SHARE, MIN_REQUESTS / window_s)
        busy = {key: rate for key, rate in totals.items() if rate >= min_rate}
        other = sum(rate for key, rate in totals.items() if key not in busy)
        available = capacity * TARGET_UTILISATION - other
        available = max(available, capacity * MIN_SHARE_FOR_LIMITED_KEYS)
        for key, granted in _max_min_shares(busy, available).items():
            for priority in sorted(p for k, p in owned if k == key):
                rate = owned[key, priority]
                sent = min(rate, granted)
                granted -= sent
                if sent < rate:
                    shares[key, priority] = sent / rate
    return KeyLimits(shares)


def plan_hot_key_moves(
    spans: list[OwnedSpan],
    rates: Mapping[int, float],
    capacities: Mapping[UpstreamIncarnation, float],
    window_s: float,
) -> list[KeyMove]:
    """Return moves of keys that nearly fill their owner to the fastest upstreams."""
    hot: list[tuple[float, int, OwnedSpan]] = []
    occupied = set()
    busy = {key: rate for key, rate in rates.items() if rate * window_s >= MIN_REQUESTS}
    for span, key in _locate(spans, busy):
        min_rate = MIN_MOVED_SHARE * capacities.get(span.owner, math.inf)
        if rates[key] >= min_rate:
            hot.append((rates[key], key, span))
            occupied.add(span.owner)
    moves = []
    for _, key, span in sorted(hot, key=lambda entry: entry[0], reverse=True):
        free = [upstream for upstream in capacities if upstream not in occupied]
        fastest = max(free, key=lambda upstream: capacities[upstream], default=None)
        if fastest is None or not span.is_movable:
            continue
        needed = min(rates[key], capacities[fastest])
        if needed >= MIN_CAPACITY_RATIO * capacities[span.owner]:
            moves.append(KeyMove(key, key, fastest))
            occupied.add(fastest)
    return moves


def clip_hot_rates(
    spans: list[OwnedSpan],
    rates: Mapping[int, float],
    capacities: Mapping[UpstreamIncarnation, float],
) -> tuple[list[OwnedSpan], dict[int, float]]:
    """Return the spans and rates as they count when loads are evened out.

    The rate of a key is limited to the capacity of its owner, since the excess is refused wherever
    the key is. A span of one key that nearly fills its owner is not movable: its neighbours move.
    """
    clipped = dict(rates)
    hot_spans = set()
    min_hot_rate = MIN_MOVED_SHARE * min(capacities.values(), default=math.inf)
    busy = {key: rate for key, rate in rates.items() if rate >= min_hot_rate}
    for span, key in _locate(spans, busy):
        capacity = capacities.get(span.owner, math.inf)
        clipped[key] = min(rates[key], capacity)
        if span.first == span.last and rates[key] >= MIN_MOVED_SHARE * capacity:
            hot_spans.add(key)
    kept = [replace(s, is_movable=False) if s.first in hot_spans else s for s in spans]
    return kept, clipped


def _locate(spans: list[OwnedSpan], rates: Mapping[int, float]) -> list[tuple[OwnedSpan, int]]:
    """Return each key that has a rate, in order, with the span that contains it."""
    located, position = [], 0
    for key in sorted(rates):
        while position < len(spans) and spans[position].last < key:
            position += 1
        if position < len(spans) and spans[position].first <= key:
            located.append((spans[position], key))
    return located


def _rates_by_owner(
    spans: list[OwnedSpan], rates: Mapping[tuple[int, int], float]
) -> dict[UpstreamIncarnation, dict[tuple[int, int], float]]:
    priorities: dict[int, list[int]] = {}
    for key, priority in rates:
        priorities.setdefault(key, []).append(priority)
    by_owner: dict[UpstreamIncarnation, dict[tuple[int, int], float]] = {}
    for span, key in _locate(spans, dict.fromkeys(priorities, 0.0)):
        owned = by_owner.setdefault(span.owner, {})
        for priority in priorities[key]:
            owned[key, priority] = rates[key, priority]
    return by_owner


def _max_min_shares(demands: Mapping[int, float], available: float) -> dict[int, float]:
    """Return the max-min fair shares of the available rate."""
    shares = {}
    remaining = len(demands)
    for key, demand in sorted(demands.items(), key=lambda item: item[1]):
        shares[key] = min(demand, available / remaining)
        available -= shares[key]
        remaining -= 1
    return shares
