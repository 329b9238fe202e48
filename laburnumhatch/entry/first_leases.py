"""Readiness of a new instance until it holds its first routing leases."""

from collections.abc import Callable
from datetime import timedelta

from ..clocks import Clock

__all__ = ["FirstLeaseReadiness"]

MAX_FIRST_LEASE_WAIT = timedelta(seconds=5)


class FirstLeaseReadiness:
    """Readiness condition that waits for the first routing leases of a new instance.

    Parameters
    ----------
    clock : Clock
    services_without_lease : callable
        Returns the names of the services with owners for which the instance has not held a lease
        yet.

    Notes
    -----
    The condition applies only after the start. An instance that has been ready stays ready when a
    lease ends or a service is added, since that can happen to all instances at once and would leave
    the load balancer without any. The wait is bounded, because services without owners need no
    lease.
    """

    def __init__(self, clock: Clock, services_without_lease: Callable[[], list[str]]) -> None:
        self._clock = clock
        self._services_without_lease = services_without_lease
        self._deadline: timedelta | None = None
        self._is_finished = False

    def start_waiting(self) -> None:
        """Start the wait when the first configuration is applied; later calls have no effect."""
        if self._deadline is None:
            self._deadline = self._clock.now() + MAX_FIRST_LEASE_WAIT

    def unready_reasons(self) -> list[str]:
        """Return why the instance isn't ready yet; always empty after it has once been ready."""
        if self._is_finished or self._deadline is None:
            return []
        services_without_lease = self._services_without_lease()
        if not services_without_lease or self._clock.now() >= self._deadline:
            self._is_finished = True
            return []
        return [f"no lease yet of the owners of {service}" for service in services_without_lease]
