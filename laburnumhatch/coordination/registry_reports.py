"""Reports to the leader that other members have read the registry."""

import random
from collections.abc import Callable
from datetime import timedelta

from ..clocks import Clock
from ..fleet import RegistryView
from ..links import ManagedLinks
from .messages import RegistryReadReport

__all__ = ["RegistryReports"]

# Number of members that report, of all that read at about the same time. One report is enough, if
# it arrives.
REPORTERS = 8


class RegistryReports:
    """Reports of this member's own reads of the registry, and the leader's use of those of others.

    A leader that alone has been cut off from the store would otherwise take this for an outage of
    the registry, and keep upstreams that have left.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    registry_view : RegistryView
    leader_name : callable
        Returns the member name of the last known leader.
    is_leader : callable
        Returns whether this member leads.
    instance_count : callable
        Returns the likely number of instances.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        links: ManagedLinks,
        registry_view: RegistryView,
        leader_name: Callable[[], str],
        is_leader: Callable[[], bool],
        instance_count: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._links = links
        self._registry_view = registry_view
        self._leader_name = leader_name
        self._is_leader = is_leader
        self._instance_count = instance_count
        self._random = random.Random()
        links.add_handler(RegistryReadReport, self._handle_report)

    def report(self, age: timedelta) -> None:
        """Report that a read of the registry that was sent `age` ago has succeeded."""
        is_reporter = self._random.random() * self._instance_count() < REPORTERS
        if is_reporter and not self._is_leader():
            self._links.send(self._leader_name(), RegistryReadReport(age))

    def _handle_report(self, peer: str, report: RegistryReadReport) -> None:
        if self._is_leader():
            now = self._clock.now()
            self._registry_view.note_current(now - report.age, now)
