"""Exchange of target states between the entry instances."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from ..clocks import Cancellable, Clock, milliseconds
from ..links.interfaces import ManagedLinks
from .messages import TargetReport
from .prober import TargetKey

__all__ = ["TargetReports"]

RETRY_INTERVAL = milliseconds(250)


class TargetReports:
    """Sender of the changes of target states to all connected instances.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    make_report : callable
        Takes a target's key; returns the current `TargetReport`, or None if the target is
        unknown.
    initial_report_keys : callable
        Returns the keys of the targets to report to an instance when its stream opens.

    Notes
    -----
    A report that a full stream refuses is created again and sent later. An instance whose record
    changes state because of a report sends a report of its own, so reports also spread over a
    partial mesh.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        links: ManagedLinks,
        make_report: Callable[[TargetKey], TargetReport | None],
        initial_report_keys: Callable[[], Iterable[TargetKey]],
    ) -> None:
        self._clock = clock
        self._links = links
        self._make_report = make_report
        self._initial_report_keys = initial_report_keys
        self._unsent: dict[str, set[TargetKey]] = defaultdict(set)
        self._timer: Cancellable | None = None
        links.add_connect_handler(self._on_connected)

    def broadcast(self, key: TargetKey) -> None:
        """Report a target to all connected instances."""
        for instance in self._links.connected_peers():
            self._unsent[instance].add(key)
        self._flush()

    def stop(self) -> None:
        """Discard the unsent reports and stop sending."""
        self._unsent.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _on_connected(self, instance: str) -> None:
        self._unsent[instance] = set(self._initial_report_keys())
        self._flush()

    def _flush(self) -> None:
        connected = self._links.connected_peers()
        for instance in list(self._unsent):
            if instance in connected:
                self._send(instance)
            # A disconnected instance receives these reports when its stream opens again.
            if instance not in connected or not self._unsent[instance]:
                del self._unsent[instance]
        if self._unsent and (self._timer is None or not self._timer.active()):
            self._timer = self._clock.call_later(RETRY_INTERVAL, self._flush)

    def _send(self, instance: str) -> None:
        keys = self._unsent[instance]
        for key in sorted(keys):
            report = self._make_report(key)
            if report is None or self._links.send(instance, report):
                keys.discard(key)
