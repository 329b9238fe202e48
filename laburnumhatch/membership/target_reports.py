"""Reports about targets between the entry instances."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from ..clocks import Cancellable, Clock, milliseconds
from ..links.interfaces import ManagedLinks
from .messages import TargetReport
from .prober import TargetKey

__all__ = ["TargetReports"]

RETRY_INTERVAL = milliseconds(250)


class TargetReports:
    """Sends each change of a target's state to all linked instances.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    make_report : callable
        Takes a target's key; returns the `TargetReport` as of now, or None.
    noteworthy : callable
        Returns the keys that an instance must hear of when its stream opens.

    Notes
    -----
    A report that a full stream refuses is made anew and sent later. An instance that changes its
    own state by a report passes it on as its own, so reports also spread over a partial mesh.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        links: ManagedLinks,
        make_report: Callable[[TargetKey], TargetReport | None],
        noteworthy: Callable[[], Iterable[TargetKey]],
    ) -> None:
        self._clock = clock
        self._links = links
        self._make_report = make_report
        self._noteworthy = noteworthy
        self._unsent: dict[str, set[TargetKey]] = defaultdict(set)
        self._timer: Cancellable | None = None
        links.on_connected(self._connected)

    def share(self, key: TargetKey) -> None:
        """Report a target to all linked instances."""
        for instance in self._links.connected():
            self._unsent[instance].add(key)
        self._flush()

    def stop(self) -> None:
        """Send no more reports."""
        self._unsent.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _connected(self, instance: str) -> None:
        self._unsent[instance] = set(self._noteworthy())
        self._flush()

    def _flush(self) -> None:
        connected = self._links.connected()
        for instance in list(self._unsent):
            if instance in connected:
                self._send(instance)
            # An instance whose stream is gone hears everything noteworthy when it is back.
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
