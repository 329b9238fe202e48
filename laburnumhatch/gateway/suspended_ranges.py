"""Key ranges whose owner, according to the ownership map, denied that it holds them.

An owner whose lease has run out, or that hasn't received its grant yet, refuses every request for
the range. If all requests for it were repeated in turn, they would load the owner and use up the
retry budget. So they wait, and a single one finds out whether the owner holds the range now.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clocks import Clock, milliseconds
from ..keyspace import MapRange

__all__ = ["SuspendedRanges"]

# Time for which no request is sent to the owner of a range after it denied to hold it; about the
# time to renew a lease after a lost renewal.
SUSPENSION = milliseconds(200)
# Time after the probing request was let through within which a denial would have arrived: a new
# connection and two round trips between data centres.
DENIAL_TIMEOUT = milliseconds(30)
# Time after a suspension for which it is remembered although no request has probed the owner.
UNPROBED_LIFETIME = milliseconds(5000)


@dataclass(slots=True)
class _Suspension:
    """Suspension of one range, and the request that probes its owner afterwards."""

    until: timedelta
    probe: object | None = None


class SuspendedRanges:
    """Suspended ranges of one instance.

    Parameters
    ----------
    clock : Clock
    on_lifted : callable
        Called when requests that wait for suspended ranges may be sent.
    """

    def __init__(self, clock: Clock, on_lifted: Callable[[], None]) -> None:
        self._clock = clock
        self._on_lifted = on_lifted
        self._suspensions: dict[tuple[str, MapRange], _Suspension] = {}

    def suspend(self, service: str, key_range: MapRange) -> None:
        """Suspend a range, because its owner denied to hold it."""
        now = self._clock.now()
        for name in [n for n, s in self._suspensions.items() if now > s.until + UNPROBED_LIFETIME]:
            del self._suspensions[name]
        self._suspensions[service, key_range] = _Suspension(now + SUSPENSION)
        self._clock.call_later(SUSPENSION, self._on_lifted)

    def is_suspended(self, service: str, key_range: MapRange, request: object) -> bool:
        """Return whether a request must wait.

        The first request after the suspension becomes the probe, which needn't.
        """
        suspension = self._suspensions.get((service, key_range))
        if suspension is None:
            return False
        if self._clock.now() < suspension.until:
            return True
        if suspension.probe is None:
            suspension.probe = request
            self._clock.call_later(DENIAL_TIMEOUT, self._lift, (service, key_range), suspension)
        return suspension.probe is not request

    def release_probe(self, request: object) -> None:
        """Let another request probe if this one, which ends, was a probe."""
        if any(suspension.probe is request for suspension in self._suspensions.values()):
            for suspension in self._suspensions.values():
                if suspension.probe is request:
                    suspension.probe = None
            self._on_lifted()

    def _lift(self, name: tuple[str, MapRange], suspension: _Suspension) -> None:
        """End a suspension whose probe was not denied."""
        if self._suspensions.get(name) is suspension and suspension.probe is not None:
            del self._suspensions[name]
            self._on_lifted()
