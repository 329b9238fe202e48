"""Upstreams that are reserved for the more urgent requests of a service.

Upstreams serve requests in order of arrival and don't interrupt them. If short urgent requests
share all slots with long ones, they wait for a long request to end, even at moderate load. A few
upstreams that receive no less urgent requests nearly always have a free slot for them.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..fleet import Upstream

__all__ = ["Reservation", "plan_reservation", "reserved_upstreams"]

# Multiple of the square root of the demand, in slots, that is reserved beyond the demand: arrivals
# vary by about the square root of their number [1].
# [1] S. Halfin and W. Whitt, Heavy-traffic limits for queues with many exponential servers, 1981.
SAFETY_FACTOR = 1.5
# Maximum share of a service's slots that is reserved, so that less urgent requests are still
# served when more urgent ones alone would fill the service.
MAX_RESERVED_SHARE = 0.6
# Demand of the more urgent requests, in slots, below which nothing is reserved.
MIN_DEMAND = 0.2


@dataclass(frozen=True, slots=True)
class Reservation:
    """Slots of a service that are reserved for requests of a priority and of more urgent ones."""

    priority: int
    slots: int


def plan_reservation(
    demand_by_priority: Mapping[int, float], total_slots: int
) -> Reservation | None:
    """Return the reservation for the most urgent requests of a service, or None without one.

    Parameters
    ----------
    demand_by_priority : mapping of int to float
        Slots that the requests of each priority keep busy on average; 0 is the most urgent.
    total_slots : int

    Examples
    --------
    >>> plan_reservation({1: 4.0, 2: 24.0}, 39)
    Reservation(priority=1, slots=7)
    >>> plan_reservation({1: 4.0}, 39) is None
    True
    """
    demands = {p: demand for p, demand in demand_by_priority.items() if demand >= MIN_DEMAND}
    if len(demands) < 2:
        return None
    priority = min(demands)
    wanted = demands[priority] + SAFETY_FACTOR * math.sqrt(demands[priority])
    return Reservation(priority, min(math.ceil(wanted), int(total_slots * MAX_RESERVED_SHARE)))


def reserved_upstreams(upstreams: Iterable[Upstream], slot_count: int) -> frozenset[str]:
    """Return the names of upstreams with at least `slot_count` slots together.

    All instances that know the same upstreams return the same names.
    """
    names, slots = [], 0
    for upstream in sorted(upstreams, key=lambda u: u.name):
        if slots >= slot_count:
            break
        names.append(upstream.name)
        slots += upstream.slots
    return frozenset(names)
