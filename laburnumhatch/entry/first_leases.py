"""Readiness of an instance that has just started, as its first leases decide it."""

from collections.abc import Callable
from datetime import timedelta

from ..clocks import Clock

__all__ = ["FirstLeases"]

WITHIN = timedelta(seconds=5)


class FirstLeases:
    """Wait of a new instance for its first routing leases.

    Parameters
    ----------
    clock : Clock
    unleased : callable
        Returns the names of the owned services of which the instance has held no lease yet.

    Notes
    -----
    Only the start counts: an instance that was ready stays so when a lease ends or a service is
    added, since that may befall all instances at once and the balancer would have none left.
    The wait is bounded too, because services without owners need no lease.
    """

    def __init__(self, clock: Clock, unleased: Callable[[], list[str]]) -> None:
        self._clock = clock
        self._unleased = unleased
        self._until: timedelta | None = None
        self._over = False

    def configured(self) -> None:
        """Begin to wait; the first configuration is in force."""
        if self._until is None:
            self._until = self._clock.now() + WITHIN

    def unready_reasons(self) -> list[str]:
        """Return why the instance isn't ready yet; empty for good once it was."""
        if self._over or self._until is None:
            return []
        unleased = self._unleased()
        if not unleased or self._clock.now() >= self._until:
            self._over = True
            return []
        return [f"no lease yet of the owners of {service}" for service in unleased]
