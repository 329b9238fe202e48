"""Replacement of owners that are leaving, evacuated, lost or unresponsive."""

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..clocks import milliseconds
from ..fleet import Upstream, UpstreamIncarnation
from .key_loads import KeyLoads
from .lease import (
    MAX_APPLICATION_DELAY,
    MISSED_RENEWALS_LIMIT,
    NEVER,
    Phase,
    RangeLease,
    begin_move,
)
from .service_leases import LAST_KEY, MAX_RANGES, ServiceLeases, split_lease

__all__ = ["Replacement", "replace_unusable_owners", "unresponsive_owners"]

# Number of parts into which the keys of an owner that leaves are split, so that several upstreams
# share them. An owner with as many ranges needs no split.
PIECES_PER_LEAVING_OWNER = 4
# Load per slot, as a multiple of the mean, up to which an upstream receives keys of a leaving owner
# that lie beside its own, so that the ranges can be merged.
MAX_NEIGHBOUR_LOAD = 1.1
# An upstream that answered any request within this time counts as alive, even if its grants were
# not answered.
RECENT_ANSWER_WINDOW = milliseconds(1000)


@dataclass(frozen=True, slots=True)
class Replacement:
    """A range of keys that is moved away from an unusable owner."""

    first: int
    last: int
    former: UpstreamIncarnation
    new_owner: UpstreamIncarnation


def unresponsive_owners(
    leases: ServiceLeases, answered_at: Callable[[str], timedelta], now: timedelta
) -> set[UpstreamIncarnation]:
    """Return the owners that answered neither their grants nor any other request.

    Parameters
    ----------
    leases : ServiceLeases
    answered_at : callable
        Returns the time at which an upstream, given by name, last answered any request.
    now : timedelta
    """
    return {
        lease.owner
        for lease in leases.leases
        if lease.missed_renewals >= MISSED_RENEWALS_LIMIT
        and (
            lease.held_until == NEVER or now - answered_at(lease.owner.name) > RECENT_ANSWER_WINDOW
        )
    }


def replace_unusable_owners(
    leases: ServiceLeases,
    usable: Mapping[UpstreamIncarnation, Upstream],
    assignable: Collection[UpstreamIncarnation],
    unresponsive: Collection[UpstreamIncarnation],
    registered: Mapping[str, UpstreamIncarnation],
    now: timedelta,
) -> list[Replacement]:
    """Move ranges away from owners that are not usable any more.

    They are draining, evacuated, unregistered, restarted or unresponsive.

    Parameters
    ----------
    leases : ServiceLeases
    usable : mapping of UpstreamIncarnation to Upstream
        Upstreams that may keep their keys.
    assignable : collection of UpstreamIncarnation
        Usable upstreams that may receive keys.
    unresponsive : collection of UpstreamIncarnation
        Upstreams that can't be expected to answer.
    registered : mapping of str to UpstreamIncarnation
        Registered process of each upstream, by name.
    now : timedelta

    Notes
    -----
    An upstream that restarted under the same name is ordered to release as well: it may have
    applied grants that were sent to its former process. Those that were not answered have a token
    that is new to the present process, which is therefore fenced first.
    """
    leaving_leases = [x for x in leases.leases if x.is_movable and x.owner not in usable]
    if not assignable or not leaving_leases:
        return []
    key_loads = KeyLoads(leases.long_term_rates.counts)
    owner_loads = _load_by_owner(leases, key_loads)
    mean_load = sum(owner_loads.values()) / sum(usable[x].slots for x in assignable)
    range_counts = Counter(lease.owner for lease in leaving_leases)
    moves = []
    for lease in leaving_leases:
        is_unresponsive = lease.owner in unresponsive
        former = lease.owner
        process = registered.get(former.name, former)
        if process != former:
            is_unresponsive = False
            lease.owner = process
            may_have_late_grant = now < lease.unanswered_grant_until + MAX_APPLICATION_DELAY
            # With a former owner, this owner has received no grant yet.
            if lease.former is None and may_have_late_grant:
                lease.new_token_deadline = now + MAX_APPLICATION_DELAY
        may_split = lease.phase is Phase.HELD and len(leases.leases) < MAX_RANGES
        pieces = -(-PIECES_PER_LEAVING_OWNER // range_counts[former]) if may_split else 1
        for piece in _split_by_load(leases, lease, key_loads, min(pieces, len(assignable))):
            piece_load = _load_of(piece, key_loads)
            new_owner = _choose_owner(
                _neighbouring_owners(leases, piece),
                {i: owner_loads.get(i, 0.0) / usable[i].slots for i in assignable},
                mean_load * MAX_NEIGHBOUR_LOAD,
            )
            owner_loads[new_owner] = owner_loads.get(new_owner, 0.0) + piece_load
            moves.append(Replacement(piece.first, piece.last, former, new_owner))
            begin_move(piece, new_owner, leases.allocate_tokens, now, may_fence=not is_unresponsive)
    return moves


def _split_by_load(
    leases: ServiceLeases, lease: RangeLease, key_loads: KeyLoads, count: int
) -> list[RangeLease]:
    """Split a lease into at most `count` parts that carry about the same load."""
    parts = [lease]
    if count == 1:
        return parts
    first, last = lease.first, lease.last
    total = key_loads.total(first, last)
    for key in key_loads.keys(first, last):
        carried = key_loads.total(first, key - 1)
        if len(parts) < count and carried >= total * len(parts) / count and key > parts[-1].first:
            parts.append(split_lease(leases, parts[-1], key))
    return parts


def _load_of(lease: RangeLease, key_loads: KeyLoads) -> float:
    """Return the load of a range; keys without recent requests count a little by their number."""
    width = (lease.last - lease.first + 1) / (LAST_KEY + 1)
    return width + key_loads.total(lease.first, lease.last)


def _load_by_owner(leases: ServiceLeases, key_loads: KeyLoads) -> dict[UpstreamIncarnation, float]:
    load: dict[UpstreamIncarnation, float] = {}
    for lease in leases.leases:
        load[lease.owner] = load.get(lease.owner, 0.0) + _load_of(lease, key_loads)
    return load


def _neighbouring_owners(leases: ServiceLeases, lease: RangeLease) -> list[UpstreamIncarnation]:
    position = leases.leases.index(lease)
    neighbours = leases.leases[max(position - 1, 0) : position + 2]
    return [neighbour.owner for neighbour in neighbours if neighbour is not lease]


def _choose_owner(
    neighbours: Sequence[UpstreamIncarnation],
    loads: Mapping[UpstreamIncarnation, float],
    max_neighbour_load: float,
) -> UpstreamIncarnation:
    """Return a neighbour that isn't too busy, or the least busy upstream; loads are per slot."""
    suitable = [n for n in neighbours if loads.get(n, math.inf) <= max_neighbour_load]
    return min(suitable or loads, key=loads.__getitem__)
