"""Load balancing by moving key ranges between upstreams.

The planner is made for a few busy keys that lie close to one another and change within seconds. It
moves narrow ranges, each just wide enough to even out the utilisation of two upstreams.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from ..fleet import UpstreamIncarnation

__all__ = ["KeyMove", "OwnedSpan", "plan_moves"]

# Smallest difference in utilisation between two upstreams that justifies a move.
MIN_UTILISATION_GAP = 0.12
# Utilisation below which no keys are moved away from an upstream.
MIN_RELIEVED_UTILISATION = 0.35
# Number of standard deviations of the request count by which a load must exceed its fair share. A
# move delays the requests for its keys, so random variation must not cause one.
SIGNIFICANCE_DEVIATIONS = 2.0
# The same while a range of busy keys is spread: their rates are smoothed over the range, so they
# vary less by chance than single counts.
SPREADING_DEVIATIONS = 1.2
# Maximum width of a moved range: a few requests spread over many keys say little about each key.
MAX_KEYS_PER_MOVE = 2048
# Smallest and largest load of a moved range, as shares of the load that should be moved.
MIN_LOAD_SHARE = 0.15
MAX_LOAD_SHARE = 1.15
# Share of the mean utilisation below which an upstream counts as idle. An idle upstream receives
# keys as soon as its difference from the busiest upstream is statistically significant.
IDLE_UTILISATION_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class OwnedSpan:
    """A range of keys, both ends included, and its owner.

    `is_movable` is False while the range is being moved.
    """

    first: int
    last: int
    owner: UpstreamIncarnation
    is_movable: bool


@dataclass(frozen=True, slots=True)
class KeyMove:
    """A range of keys, both ends included, that is to be moved to another owner."""

    first: int
    last: int
    new_owner: UpstreamIncarnation


def plan_moves(
    spans: Sequence[OwnedSpan],
    rates: Mapping[int, float],
    capacities: Mapping[UpstreamIncarnation, float],
    window_s: float,
    max_moves: int,
    *,
    is_spreading: bool = False,
) -> list[KeyMove]:
    """Return moves that even out the utilisation of the upstreams.

    Parameters
    ----------
    spans : sequence of OwnedSpan
        Ordered by key.
    rates : mapping of int to float
        Requests per second of each recently requested key.
    capacities : mapping of UpstreamIncarnation to float
        Requests per second that each usable upstream can serve.
    window_s : float
        Length of the time window over which the rates were measured, in seconds.
    max_moves : int
        Maximum number of moves to return.
    is_spreading : bool, optional
        Whether a range of busy keys is spread. Then a key that takes the receiver past the mean is
        moved if the receiver stays clearly less utilised than the owner.
    """
    keys = sorted(rates)
    loads = {incarnation: 0.0 for incarnation in capacities}
    owned: dict[UpstreamIncarnation, list[OwnedSpan]] = {
        incarnation: [] for incarnation in capacities
    }
    position = 0
    for span in spans:
        while position < len(keys) and keys[position] <= span.last:
            if keys[position] >= span.first and span.owner in loads:
                loads[span.owner] += rates[keys[position]]
            position += 1
        if span.owner in owned and span.is_movable:
            owned[span.owner].append(span)
    moves: list[KeyMove] = []
    if len(loads) < 2:
        return moves
    # Moves don't change the total load.
    mean = sum(loads.values()) / sum(capacities.values())
    utilisations = {i: loads[i] / capacities[i] for i in loads}
    by_high = [(-utilisation, i) for i, utilisation in utilisations.items()]
    by_low = [(utilisation, i) for i, utilisation in utilisations.items()]
    heapify(by_high)
    heapify(by_low)
    deviations = SPREADING_DEVIATIONS if is_spreading else SIGNIFICANCE_DEVIATIONS
    while len(moves) < max_moves:
        _drop_outdated(by_high, utilisations, -1.0)
        _drop_outdated(by_low, utilisations, 1.0)
        if not by_high:
            break
        busiest, least_busy = by_high[0][1], by_low[0][1]
        high, low = utilisations[busiest], utilisations[least_busy]
        if high - low < MIN_UTILISATION_GAP or high < MIN_RELIEVED_UTILISATION:
            break
        excess = loads[busiest] - capacities[busiest] * (
            low if low < IDLE_UTILISATION_SHARE * mean else mean
        )
        if not _is_significant(excess, loads[busiest], window_s, deviations):
            heappop(by_high)
            continue
        # The smaller of the surplus of one and the deficit of the other, so that the move takes
        # neither upstream past the mean.
        target_rate = min(
            loads[busiest] - capacities[busiest] * mean,
            capacities[least_busy] * mean - loads[least_busy],
        )
        best_range = _best_range(owned[busiest], keys, rates, target_rate)
        if best_range is None and is_spreading:
            accepted_rate = capacities[least_busy] * (high - MIN_UTILISATION_GAP)
            best_range = _least_busy_key(
                owned[busiest], keys, rates, target_rate, accepted_rate - loads[least_busy]
            )
        if best_range is None:
            heappop(by_high)
            continue
        first, last, rate, span = best_range
        moves.append(KeyMove(first, last, least_busy))
        loads[busiest] -= rate
        loads[least_busy] += rate
        for changed in (busiest, least_busy):
            utilisations[changed] = loads[changed] / capacities[changed]
            heappush(by_high, (-utilisations[changed], changed))
            heappush(by_low, (utilisations[changed], changed))
        owned[busiest].remove(span)
        if span.first < first:
            owned[busiest].append(OwnedSpan(span.first, first - 1, busiest, True))
        if last < span.last:
            owned[busiest].append(OwnedSpan(last + 1, span.last, busiest, True))
    return moves


def _drop_outdated(
    heap: list[tuple[float, UpstreamIncarnation]],
    utilisations: Mapping[UpstreamIncarnation, float],
    sign: float,
) -> None:
    """Remove entries at the top of a heap whose utilisation has changed since."""
    while heap and heap[0][0] != sign * utilisations[heap[0][1]]:
        heappop(heap)


def _is_significant(excess: float, rate: float, window_s: float, deviations: float) -> bool:
    """Return whether the excess of a rate is statistically significant."""
    return excess * window_s > deviations * math.sqrt(rate * window_s)


def _best_range(
    spans: Sequence[OwnedSpan], keys: Sequence[int], rates: Mapping[int, float], target_rate: float
) -> tuple[int, int, float, OwnedSpan] | None:
    """Return the best range to move, or None if no range carries enough load.

    Returns
    -------
    tuple of (int, int, float, OwnedSpan) or None
        First key, last key and rate of the range, and the span that contains it.
    """
    best: tuple[int, int, float, OwnedSpan] | None = None
    for span in spans:
        span_keys = keys[bisect_left(keys, span.first) : bisect_right(keys, span.last)]
        start, total = 0, 0.0
        for end, key in enumerate(span_keys):
            total += rates[key]
            while start <= end and (
                total > target_rate * MAX_LOAD_SHARE or key - span_keys[start] >= MAX_KEYS_PER_MOVE
            ):
                total -= rates[span_keys[start]]
                start += 1
            if start > end or total < target_rate * MIN_LOAD_SHARE:
                continue
            if best is None or _is_better(total, key - span_keys[start], best, target_rate):
                best = (span_keys[start], key, total, span)
    return best


def _least_busy_key(
    spans: Sequence[OwnedSpan],
    keys: Sequence[int],
    rates: Mapping[int, float],
    min_rate: float,
    max_rate: float,
) -> tuple[int, int, float, OwnedSpan] | None:
    """Return the key with the lowest rate within the bounds, as `_best_range` does."""
    best: tuple[int, int, float, OwnedSpan] | None = None
    for span in spans:
        for key in keys[bisect_left(keys, span.first) : bisect_right(keys, span.last)]:
            if min_rate <= rates[key] <= max_rate and (best is None or rates[key] < best[2]):
                best = key, key, rates[key], span
    return best


def _is_better(
    rate: float, width: int, best: tuple[int, int, float, OwnedSpan], target_rate: float
) -> bool:
    """Return whether a range carries clearly more load than the best one, or as much in fewer keys.

    Rates that differ by at most 0.2 of the target count as equal.
    """
    best_rate, best_width = best[2], best[1] - best[0]
    if abs(rate - best_rate) > 0.2 * target_rate:
        return rate > best_rate
    return width < best_width
