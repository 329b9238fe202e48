"""Demand for each service by priority, from which the leader plans the reservations."""

from collections.abc import Iterable
from datetime import timedelta

from ..clocks import milliseconds
from ..fleet import Upstream
from ..keyspace.key_rates import KeyRates
from ..placement.reservation import plan_reservation
from .messages import ReservedSlots, RouteDemand

__all__ = ["DemandTracker"]

# Half-life of the demand: longer than the variation between two reports, shorter than a burst.
HALF_LIFE = milliseconds(3000)


class DemandTracker:
    """Exponentially decayed work of the requests of all instances, by service and priority."""

    def __init__(self) -> None:
        self._rates: dict[str, KeyRates[int]] = {}

    def count(self, demands: Iterable[RouteDemand], now: timedelta) -> None:
        """Count the demand in a report."""
        for demand in demands:
            rates = self._rates.setdefault(demand.service, KeyRates(HALF_LIFE))
            rates.count_requests(demand.priority, demand.work.total_seconds(), now)

    def plan(self, upstreams: Iterable[Upstream], now: timedelta) -> tuple[ReservedSlots, ...]:
        """Return the reservations of all services."""
        slots: dict[str, int] = {}
        for upstream in upstreams:
            if not upstream.is_draining and not upstream.is_evacuated:
                slots[upstream.service] = slots.get(upstream.service, 0) + upstream.slots
        planned = []
        for service, rates in self._rates.items():
            # A rate of work, in seconds per second, is the number of slots that it keeps busy.
            reservation = plan_reservation(rates.rates(now), slots.get(service, 0))
            if reservation is not None:
                planned.append(ReservedSlots(service, reservation.priority, reservation.slots))
        return tuple(planned)
