"""Loads of all instances, as the leader sums them up."""

from collections.abc import Collection, Iterable
from datetime import timedelta

import logbook

from ..fleet import Upstream
from ..placement.loads import LoadTracker
from .demand import DemandTracker
from .messages import LoadReport, ReservedSlots

__all__ = ["LoadSummary"]

_log = logbook.Logger("laburnumhatch.member")


class LoadSummary:
    """Reports of the other instances and what follows from them.

    Parameters
    ----------
    load_tracker : LoadTracker
        Loads as known to the leader, which take up the reports.

    Attributes
    ----------
    reserved_slots : dict of str to ReservedSlots
        Slots that are reserved for urgent requests, by service.
    """

    def __init__(self, load_tracker: LoadTracker, reserved_slots: dict[str, ReservedSlots]) -> None:
        self._load_tracker = load_tracker
        self._demand = DemandTracker()
        # Requests in flight by upstream, as last reported by each other instance.
        self._in_flight: dict[str, dict[str, int]] = {}
        self.reserved_slots = reserved_slots

    def count_report(self, peer: str, report: LoadReport, now: timedelta) -> None:
        """Count the report of another instance."""
        self._in_flight[peer] = {stats.name: stats.in_flight for stats in report.upstreams}
        for stats in report.upstreams:
            service_time_s = stats.service_time.total_seconds()
            self._load_tracker.load_of(stats.name).record_answers(
                stats.answered, stats.declined, service_time_s, now
            )
        self._demand.count(report.demands, now)

    def update(
        self,
        own_report: LoadReport,
        peers: Collection[str],
        upstreams: Iterable[Upstream],
        now: timedelta,
    ) -> None:
        """Sum up the loads and plan the reservations.

        Parameters
        ----------
        own_report : LoadReport
            Report of the leader itself.
        peers : collection of str
            Names of the connected instances. The reports of others are dropped.
        upstreams : iterable of Upstream
        now : timedelta
        """
        self._demand.count(own_report.demands, now)
        planned = self._demand.plan(upstreams, now)
        for reserved in planned:
            if self.reserved_slots.get(reserved.service) != reserved:
                _log.info(
                    "{} slots of {} are reserved for requests of priority {} and above",
                    reserved.slots,
                    reserved.service,
                    reserved.priority,
                )
        self.reserved_slots = {reserved.service: reserved for reserved in planned}
        for disconnected in self._in_flight.keys() - set(peers):
            del self._in_flight[disconnected]
        others: dict[str, int] = {}
        for in_flight_by_upstream in self._in_flight.values():
            for name, in_flight in in_flight_by_upstream.items():
                others[name] = others.get(name, 0) + in_flight
        self._load_tracker.set_others_in_flight(others, now)
