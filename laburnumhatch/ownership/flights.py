"""Requests in flight, for which revocations of their owners wait."""

from collections.abc import Callable

from .effects import AwaitDrain
from .owner import Owner

__all__ = ["InFlightRequests"]

RequestKey = tuple[int, int, int]
IsCurrent = Callable[[int, int, int], bool]


class InFlightRequests:
    """Requests of one group that an upstream may be running.

    Parameters
    ----------
    on_drained : callable
        Called with each `AwaitDrain` whose requests have all ended.
    """

    def __init__(self, on_drained: Callable[[AwaitDrain], None]) -> None:
        self._on_drained = on_drained
        self._counts: dict[RequestKey, int] = {}
        self._waiting_drains: list[tuple[AwaitDrain, set[RequestKey]]] = []

    def start(self, owner: Owner) -> None:
        """Count a request."""
        request = (owner.key_hash, owner.slot, owner.epoch)
        self._counts[request] = self._counts.get(request, 0) + 1

    def end(self, owner: Owner) -> None:
        """Stop counting a request."""
        request = (owner.key_hash, owner.slot, owner.epoch)
        remaining_count = self._counts.get(request, 0) - 1
        if remaining_count > 0:
            self._counts[request] = remaining_count
            return
        self._counts.pop(request, None)
        if self._waiting_drains:
            self._report_drained(request)

    def notify_when_drained(self, drain: AwaitDrain, is_current: IsCurrent) -> None:
        """Call `on_drained` once the requests that `drain` concerns have ended.

        Parameters
        ----------
        drain : AwaitDrain
        is_current : callable
            Returns whether the lease still covers a key hash, slot and epoch.
        """
        pending = {request for request in self._counts if _concerns(drain, request, is_current)}
        if not pending:
            self._on_drained(drain)
            return
        self._waiting_drains.append((drain, pending))

    def _report_drained(self, ended: RequestKey) -> None:
        for _, pending in self._waiting_drains:
            pending.discard(ended)
        drained = [drain for drain, pending in self._waiting_drains if not pending]
        self._waiting_drains = [
            (drain, pending) for drain, pending in self._waiting_drains if pending
        ]
        for drain in drained:
            self._on_drained(drain)


def _concerns(drain: AwaitDrain, request: RequestKey, is_current: IsCurrent) -> bool:
    return request[2] < drain.version and not is_current(*request)
