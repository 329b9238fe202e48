"""Requests in flight, so that a revocation can wait for those under former owners."""

from collections.abc import Callable

from .effects import AwaitDrain
from .owner import Owner

__all__ = ["Flights"]

Flight = tuple[int, int, int]
IsCurrent = Callable[[int, int, int], bool]


class Flights:
    """Requests of one group that an upstream may be running.

    Parameters
    ----------
    drained : callable
        Called with each `AwaitDrain` that is fulfilled.
    """

    def __init__(self, drained: Callable[[AwaitDrain], None]) -> None:
        self._drained = drained
        self._counts: dict[Flight, int] = {}
        self._waiting: list[tuple[AwaitDrain, set[Flight]]] = []

    def start(self, owner: Owner) -> None:
        """Count a request."""
        flight = (owner.key_hash, owner.slot, owner.epoch)
        self._counts[flight] = self._counts.get(flight, 0) + 1

    def end(self, owner: Owner) -> None:
        """Stop counting a request."""
        flight = (owner.key_hash, owner.slot, owner.epoch)
        left = self._counts.get(flight, 0) - 1
        if left > 0:
            self._counts[flight] = left
            return
        self._counts.pop(flight, None)
        if self._waiting:
            self._check(flight)

    def wait(self, drain: AwaitDrain, is_current: IsCurrent) -> None:
        """Call `drained` once no request runs that `drain` is about.

        Parameters
        ----------
        drain : AwaitDrain
        is_current : callable
            Takes a key hash, slot and epoch, and tells whether the lease still covers them.
        """
        flights = {flight for flight in self._counts if _concerns(drain, flight, is_current)}
        if not flights:
            self._drained(drain)
            return
        self._waiting.append((drain, flights))

    def _check(self, ended: Flight) -> None:
        for _, flights in self._waiting:
            flights.discard(ended)
        over = [drain for drain, flights in self._waiting if not flights]
        self._waiting = [(drain, flights) for drain, flights in self._waiting if flights]
        for drain in over:
            self._drained(drain)


def _concerns(drain: AwaitDrain, flight: Flight, is_current: IsCurrent) -> bool:
    return flight[2] < drain.version and not is_current(*flight)
