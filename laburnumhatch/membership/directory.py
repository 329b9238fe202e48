"""Directory of the live entry instances, from the platform's list and from heartbeats."""

import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Cancellable, Clock, milliseconds
from ..links.dialer import PeerAddress
from ..links.interfaces import ManagedLinks
from ..storage import InstanceList, ListedInstance, Unavailable
from .interfaces import Instance
from .messages import Heartbeat, Introduction
from .peers import choose_peers
from .view import (
    HeardInstance,
    dialled_instances,
    live_instances,
    running_instances,
    silent_instances,
)

__all__ = ["InstanceDirectory"]

LIST_INTERVAL = milliseconds(1000)
# Minimum time between two fetches of the list, per listed instance, so that all instances together
# make at most 100 fetches a second.
LIST_INTERVAL_PER_INSTANCE = milliseconds(10)
HEARTBEAT_INTERVAL = milliseconds(250)
# Time without a message after which the state of an instance is discarded; if it is listed, it is
# still known from the list.
FORGET_AFTER = timedelta(minutes=10)

_log = logbook.Logger("laburnumhatch.membership")


class InstanceDirectory:
    """Directory of the live entry instances.

    It polls the platform's list, exchanges heartbeats with the peers, and chooses the peers to
    which this instance keeps streams.

    Parameters
    ----------
    clock : Clock
    instance_list : InstanceList
    own_instance : Instance
        This instance.
    links : ManagedLinks
    seeds : sequence of Instance, optional
        Instances to dial even while the platform's list cannot be read.
    on_change : callable, optional
        Called with the live instances whenever they change.
    jitter : callable, optional
        Returns a random number in [0, 1); it spreads the fetches over time.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        instance_list: InstanceList,
        own_instance: Instance,
        links: ManagedLinks,
        seeds: Sequence[Instance] = (),
        on_change: Callable[[tuple[Instance, ...]], None] | None = None,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._instance_list = instance_list
        self._own_instance = own_instance
        self._links = links
        self._seeds = seeds
        self._on_change = on_change
        self._jitter = jitter
        self._is_leaving = False
        self._listed: tuple[ListedInstance, ...] = ()
        self._heard: dict[str, HeardInstance] = {}
        self._silent: frozenset[str] = frozenset()
        self._live: tuple[Instance, ...] = (own_instance,)
        self._dialled: tuple[Instance, ...] = ()
        self._peers: frozenset[str] = frozenset()
        self._last_tick_at = timedelta()
        self._timers: dict[str, Cancellable] = {}
        self._is_running = False
        links.add_handler(Introduction, self._on_introduction)
        links.add_handler(Heartbeat, self._on_heartbeat)
        links.add_connect_handler(self._on_connected)

    def live(self) -> tuple[Instance, ...]:
        """Return the live instances sorted by name, including this one.

        Instances that are leaving are excluded; see `running`.
        """
        return self._live

    def running(self) -> tuple[Instance, ...]:
        """Return the running instances sorted by name, including those that are leaving."""
        return running_instances(self._heard, self._own_instance, self._clock.now())

    def start(self) -> None:
        """Start polling the platform's list and sending heartbeats."""
        self._is_running = True
        self._last_tick_at = self._clock.now()
        self._update()
        self._poll()
        self._tick()

    def stop(self) -> None:
        """Stop polling the platform's list and sending heartbeats."""
        self._is_running = False
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()

    def announce_leaving(self) -> None:
        """Tell the peers that this instance is leaving and takes on no new work."""
        self._is_leaving = True
        self._send_heartbeats()

    def _on_connected(self, name: str) -> None:
        self._links.send(name, Introduction(self._own_instance, self._is_leaving))

    def _on_introduction(self, name: str, message: Introduction) -> None:
        if message.instance.name != name:
            _log.error(
                "ignored the introduction on the stream of {}: it names the sender {}",
                name,
                message.instance.name,
            )
            return
        self._heard[name] = HeardInstance(message.instance, message.is_leaving, self._clock.now())
        self._update()

    def _on_heartbeat(self, name: str, message: Heartbeat) -> None:
        known = self._heard.get(name)
        if known is None:
            return
        self._heard[name] = replace(
            known, is_leaving=message.is_leaving, last_heard_at=self._clock.now()
        )
        if message.is_leaving != known.is_leaving or name in self._silent:
            self._update()

    def _tick(self) -> None:
        now = self._clock.now()
        pause = now - self._last_tick_at - HEARTBEAT_INTERVAL
        self._last_tick_at = now
        if pause > HEARTBEAT_INTERVAL:
            self._allow_for_pause(pause)
        self._send_heartbeats()
        if silent_instances(self._heard, now) != self._silent:
            self._update()
        if self._is_running:
            self._timers["tick"] = self._clock.call_later(HEARTBEAT_INTERVAL, self._tick)

    def _allow_for_pause(self, pause: timedelta) -> None:
        # A paused process receives nothing, so the pause doesn't count as silence of the others.
        _log.warning("process was paused for {}; extending heartbeat timeouts", pause)
        for name, heard in self._heard.items():
            self._heard[name] = replace(heard, last_heard_at=heard.last_heard_at + pause)

    def _send_heartbeats(self) -> None:
        heartbeat = Heartbeat(self._is_leaving)
        for name in self._links.connected_peers():
            self._links.send(name, heartbeat)

    def _poll(self) -> None:
        poll = Deferred.fromCoroutine(self._fetch())
        poll.addErrback(
            lambda f: _log.error("failed to fetch the instance list: {}", f.getTraceback())
        )
        poll.addBoth(self._schedule_poll)

    def _schedule_poll(self, _: Any) -> None:
        if self._is_running:
            min_interval = LIST_INTERVAL_PER_INSTANCE * max(len(self._listed), 1)
            interval = max(LIST_INTERVAL, min_interval) * (1.0 + 0.2 * self._jitter())
            self._timers["poll"] = self._clock.call_later(interval, self._poll)

    async def _fetch(self) -> None:
        listed = await self._instance_list.fetch()
        if not isinstance(listed, Unavailable) and listed != self._listed:
            self._listed = listed
            self._update()

    def _update(self) -> None:
        now = self._clock.now()
        self._forget(now)
        self._silent = silent_instances(self._heard, now)
        dialled = dialled_instances(self._listed, self._heard, self._seeds, self._own_instance, now)
        if dialled != self._dialled:
            self._dialled = dialled
            self._choose_peers()
        live = live_instances(self._listed, self._heard, self._peers, self._own_instance, now)
        if live == self._live:
            return
        _log.info("live instances changed to: {}", ", ".join(i.name for i in live))
        self._live = live
        if self._on_change is not None:
            self._on_change(live)

    def _choose_peers(self) -> None:
        peers = choose_peers(self._dialled, self._own_instance)
        self._peers = frozenset(peer.name for peer in peers)
        self._links.set_peers(PeerAddress(i.name, i.host, i.peer_port) for i in peers)

    def _forget(self, now: timedelta) -> None:
        for name, heard in list(self._heard.items()):
            if now - heard.last_heard_at > FORGET_AFTER:
                del self._heard[name]
