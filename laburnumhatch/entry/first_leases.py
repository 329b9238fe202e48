"""Readiness of an instance that has just started, as its first leases decide it."""

from collections.abc import Callable
from datetime import timedelta

from ..clocks import Clock

__all__ = ["FirstLeaseReadiness"]

MAX_FIRST_LEASE_WAIT = timedelta(seconds=5)


class FirstLeaseReadiness:
    """Wait of a new instance for its first routing leases.

    Parameters
    ----------
    clock : Clock
    services_without_lease : callable
        Returns the names of the owned services of which the instance has held no lease yet.

    Notes
    -----
    Only the start counts: an instance that was ready stays so when a lease ends or a service is
    added, since that may befall all instances at once and the balancer would have none left.
    The wait is bounded too, because services without owners need no lease.
    """

    def __init__(self, clock: Clock, services_without_lease: Callable[[], list[str]]) -> None:
        self._clock = clock
        self._services_without_lease = services_without_lease
        self._deadline: timedelta | None = None
        self._is_finished = False

    def start_waiting(self) -> None:
        """Begin to wait; the first configuration is in force."""
        if self._deadline is None:
            self._deadline = self._clock.now() + MAX_FIRST_LEASE_WAIT

    def unready_reasons(self) -> list[str]:
        """Return why the instance isn't ready yet; empty for good once it was."""
        if self._is_finished or self._deadline is None:
            return []
        services_without_lease = self._services_without_lease()
        if not services_without_lease or self._clock.now() >= self._deadline:
            self._is_finished = True
            return []
        return [f"no lease yet of the owners of {service}" for service in services_without_lease]
