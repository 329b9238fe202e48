"""The live entry instances."""

from collections.abc import Callable
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Cancellable, Clock, milliseconds
from ..platform import InstanceList, InstanceState, ListedInstance, Unavailable
from .interfaces import Instance

__all__ = ["InstanceDirectory"]

LIST_INTERVAL = milliseconds(1000)

_log = logbook.Logger("laburnumhatch.membership")


class InstanceDirectory:
    """Entry instances that are held to be live.

    Parameters
    ----------
    clock : Clock
    instance_list : InstanceList
    own : Instance
        This instance.
    on_change : callable, optional
        Called with the live instances after each change.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        instance_list: InstanceList,
        own: Instance,
        on_change: Callable[[tuple[Instance, ...]], None] | None = None,
    ) -> None:
        self._clock = clock
        self._instance_list = instance_list
        self._own = own
        self._on_change = on_change
        self._live: tuple[Instance, ...] = (own,)
        self._timer: Cancellable | None = None
        self._running = False

    def live(self) -> tuple[Instance, ...]:
        """Return the live instances in order of name, this one included."""
        return self._live

    def start(self) -> None:
        """Start following the platform's list."""
        self._running = True
        self._poll()

    def stop(self) -> None:
        """Stop following."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _poll(self) -> None:
        poll = Deferred.fromCoroutine(self._fetch())
        poll.addErrback(lambda failure: _log.error("list: {}", failure.getTraceback()))
        poll.addBoth(self._schedule)

    def _schedule(self, _: Any) -> None:
        if self._running:
            self._timer = self._clock.call_later(LIST_INTERVAL, self._poll)

    async def _fetch(self) -> None:
        listed = await self._instance_list.fetch()
        if isinstance(listed, Unavailable):
            return
        live = {i.name: _instance(i) for i in listed if i.state is InstanceState.LIVE}
        live[self._own.name] = self._own
        self._set(tuple(live[name] for name in sorted(live)))

    def _set(self, live: tuple[Instance, ...]) -> None:
        if live == self._live:
            return
        self._live = live
        if self._on_change is not None:
            self._on_change(live)


def _instance(listed: ListedInstance) -> Instance:
    return Instance(
        listed.name, listed.host, listed.peer_port, listed.admin_port, listed.data_centre
    )
