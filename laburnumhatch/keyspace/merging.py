"""Moves that let adjacent ranges of keys be merged.

Each range has a lease of its own, which the leader renews several times within the lease duration.
Moves for balance and owners that leave split ranges, so their number would grow without end. Ranges
with few requests are moved to the owner of a neighbouring range, after which the two are one.
"""

from collections.abc import Mapping, Sequence

from ..fleet import UpstreamIncarnation
from .balance import KeyMove, OwnedSpan
from .key_loads import KeyLoads

__all__ = ["plan_merging_moves"]

# Rate of a range, in requests per second, up to which it is moved. A move delays the requests for
# the range by a few hundred milliseconds if its owner is busy.
MAX_MERGED_RATE = 0.4
# Width of a range up to which it is moved. Keys that move lose their owner for a moment, and moves
# for balance leave narrow ranges behind.
MAX_MERGED_WIDTH = 256
# Utilisation above the mean up to which an upstream receives keys: less than the difference that
# causes a move for balance, which would undo the merge.
MAX_EXCESS_UTILISATION = 0.06
# Utilisation up to which an upstream receives keys in any case. It is below the one from which keys
# are moved away for balance.
MIN_RECEIVING_UTILISATION = 0.3


def plan_merging_moves(
    spans: Sequence[OwnedSpan],
    rates: Mapping[int, float],
    capacities: Mapping[UpstreamIncarnation, float],
    max_moves: int,
) -> list[KeyMove]:
    """Return moves of ranges with hardly any requests to the owners of their neighbours.

    Parameters
    ----------
    spans : sequence of OwnedSpan
        Ordered by key.
    rates : mapping of int to float
        Requests per second of each recently requested key.
    capacities : mapping of UpstreamIncarnation to float
        Requests per second that each usable upstream can serve.
    max_moves : int
        Maximum number of moves to return.

    Notes
    -----
    No two moves concern neighbouring ranges, so that each range that is moved stays beside the
    owner that it is moved to.
    """
    loads = KeyLoads(rates)
    span_rates = [loads.total(span.first, span.last) for span in spans]
    owner_rates = dict.fromkeys(capacities, 0.0)
    for span, rate in zip(spans, span_rates, strict=True):
        if span.owner in owner_rates:
            owner_rates[span.owner] += rate
    mean = sum(owner_rates.values()) / max(sum(capacities.values()), 1e-9)
    max_utilisation = max(mean + MAX_EXCESS_UTILISATION, MIN_RECEIVING_UTILISATION)
    moves: list[KeyMove] = []
    concerned: set[int] = set()

    def cost(position: int) -> tuple[float, int]:
        return span_rates[position], spans[position].last - spans[position].first

    for position in sorted(range(len(spans)), key=cost):
        if len(moves) >= max_moves or span_rates[position] > MAX_MERGED_RATE:
            break
        neighbours = [n for n in (position - 1, position + 1) if 0 <= n < len(spans)]
        span, rate = spans[position], span_rates[position]
        is_wide = span.last - span.first >= MAX_MERGED_WIDTH
        if is_wide or not span.is_movable or not concerned.isdisjoint((position, *neighbours)):
            continue
        if any(spans[n].owner == span.owner for n in neighbours):
            # The two are merged once neither is being moved.
            continue
        owners = [spans[n].owner for n in neighbours if spans[n].is_movable]
        receivers = [
            owner
            for owner in owners
            if owner != span.owner
            and owner in capacities
            and owner_rates[owner] + rate <= capacities[owner] * max_utilisation
        ]
        if not receivers:
            continue
        # With the same owner on both sides, one move makes one range of three.
        receiver = min(receivers, key=lambda o: (-owners.count(o), owner_rates[o] / capacities[o]))
        moves.append(KeyMove(span.first, span.last, receiver))
        concerned.update((position, *neighbours))
        owner_rates[receiver] += rate
        if span.owner in owner_rates:
            owner_rates[span.owner] -= rate
    return moves
