"""Which keys move to which upstream, so that no upstream is far busier than the others.

Answers the load of a few busy keys that lie close to one another and change within seconds: a
narrow range is moved, as wide as it takes to level two upstreams.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..fleet import UpstreamLife

__all__ = ["KeyMove", "OwnedSpan", "plan_moves"]

# Difference in utilisation that is worth a move.
SMALLEST_GAP = 0.12
# Utilisation below which an upstream isn't relieved.
CALM_UTILISATION = 0.35
# Standard deviations of the counted requests by which a load has to exceed its fair share. Each
# move holds up requests for its keys, so chance must not cause any.
SIGNIFICANCE = 2.0
# Most keys that one move takes: few requests spread over many keys say little about each.
MOST_KEYS = 2048
# Share of the wanted load that a piece has to carry to be worth a move, and may carry at most.
LEAST_SHARE = 0.15
MOST_SHARE = 1.15
# Share of the mean utilisation below which an upstream counts as idle, and is given keys as soon as
# it differs from the busiest by more than chance.
IDLE_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class OwnedSpan:
    """A range of keys, both ends included, and its owner; `movable` where no move is under way."""

    first: int
    last: int
    owner: UpstreamLife
    movable: bool


@dataclass(frozen=True, slots=True)
class KeyMove:
    """Keys that go to another owner, both ends included."""

    first: int
    last: int
    to: UpstreamLife


def plan_moves(
    spans: Sequence[OwnedSpan],
    rates: Mapping[int, float],
    capacities: Mapping[UpstreamLife, float],
    window_s: float,
    most: int,
) -> list[KeyMove]:
    """Return moves that level the utilisation of upstreams.

    Parameters
    ----------
    spans : sequence of OwnedSpan
        In order of their keys.
    rates : mapping of int to float
        Requests a second by key, of the keys seen lately.
    capacities : mapping of UpstreamLife to float
        Requests a second that each usable upstream can run.
    window_s : float
        Seconds over which the rates were counted.
    most : int
        Most moves.
    """
    keys = sorted(rates)
    loads = {life: 0.0 for life in capacities}
    owned: dict[UpstreamLife, list[OwnedSpan]] = {life: [] for life in capacities}
    position = 0
    for span in spans:
        while position < len(keys) and keys[position] <= span.last:
            if keys[position] >= span.first and span.owner in loads:
                loads[span.owner] += rates[keys[position]]
            position += 1
        if span.owner in owned and span.movable:
            owned[span.owner].append(span)
    moves: list[KeyMove] = []
    stuck: set[UpstreamLife] = set()
    while len(moves) < most:
        candidates = [life for life in loads if life not in stuck]
        if not candidates or len(loads) < 2:
            break
        busiest = max(candidates, key=lambda life: loads[life] / capacities[life])
        idlest = min(loads, key=lambda life: loads[life] / capacities[life])
        high = loads[busiest] / capacities[busiest]
        low = loads[idlest] / capacities[idlest]
        if high - low < SMALLEST_GAP or high < CALM_UTILISATION:
            break
        mean = sum(loads.values()) / sum(capacities.values())
        excess = loads[busiest] - capacities[busiest] * (low if low < IDLE_SHARE * mean else mean)
        if not _is_significant(excess, loads[busiest], window_s):
            stuck.add(busiest)
            continue
        # What one has too much and the other too little, so that neither goes beyond the mean.
        wanted = min(
            loads[busiest] - capacities[busiest] * mean,
            capacities[idlest] * mean - loads[idlest],
        )
        found = _narrowest_span(owned[busiest], keys, rates, wanted)
        if found is None:
            stuck.add(busiest)
            continue
        first, last, rate, span = found
        moves.append(KeyMove(first, last, idlest))
        loads[busiest] -= rate
        loads[idlest] += rate
        owned[busiest].remove(span)
        if span.first < first:
            owned[busiest].append(OwnedSpan(span.first, first - 1, busiest, True))
        if last < span.last:
            owned[busiest].append(OwnedSpan(last + 1, span.last, busiest, True))
    return moves


def _is_significant(excess: float, rate: float, window_s: float) -> bool:
    """Return whether the excess of a rate is more than chance."""
    return excess * window_s > SIGNIFICANCE * math.sqrt(rate * window_s)


def _narrowest_span(
    spans: Sequence[OwnedSpan], keys: Sequence[int], rates: Mapping[int, float], wanted: float
) -> tuple[int, int, float, OwnedSpan] | None:
    """Return the first and last key, the rate and the span of the best piece to move."""
    best: tuple[int, int, float, OwnedSpan] | None = None
    for span in spans:
        inside = keys[bisect_left(keys, span.first) : bisect_right(keys, span.last)]
        start, total = 0, 0.0
        for end, key in enumerate(inside):
            total += rates[key]
            while start <= end and (
                total > wanted * MOST_SHARE or key - inside[start] >= MOST_KEYS
            ):
                total -= rates[inside[start]]
                start += 1
            if start > end or total < wanted * LEAST_SHARE:
                continue
            if best is None or _is_better(total, key - inside[start], best, wanted):
                best = (inside[start], key, total, span)
    return best


def _is_better(
    rate: float, width: int, best: tuple[int, int, float, OwnedSpan], wanted: float
) -> bool:
    """Return whether a piece carries clearly more, or as much in fewer keys."""
    best_rate, best_width = best[2], best[1] - best[0]
    if abs(rate - best_rate) > 0.2 * wanted:
        return rate > best_rate
    return width < best_width
