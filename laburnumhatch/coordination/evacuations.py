"""The evacuated data centres as known to this instance, and their exchange with the others."""

from collections.abc import Callable
from datetime import timedelta

import logbook

from ..clocks import Clock, milliseconds
from ..fleet import RegistryView, spared_services
from ..links import ManagedLinks
from .messages import EvacuationUpdate

__all__ = ["Evacuations"]

# Time between two messages to an instance that was sent the same before. With the leader's read
# interval it keeps what the others know younger than `MAX_EVACUATIONS_AGE` of the reader.
RESEND_INTERVAL = milliseconds(700)
# Time after the store has come back from an older copy in which no evacuation ends: the operator
# writes the lost rows again, as upstreams do.
GENERATION_GRACE = milliseconds(2300)
LONG_AGO = timedelta(days=-1)

_log = logbook.Logger("laburnumhatch.member")


class Evacuations:
    """The evacuated data centres, read from the store or received from the leader.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    registry_view : RegistryView
        Marks the upstreams concerned.
    leader_name : callable
        Returns the member name of the last known leader.
    is_leader : callable
        Returns whether this member leads.
    on_upstreams_changed : callable
        Called when upstreams have become evacuated, or are no longer.
    on_news : callable
        Called when other data centres are evacuated than before, which the leader passes on.

    Attributes
    ----------
    data_centres : frozenset of str
        Names from the store, with those that are ignored.
    as_of : timedelta
        Instant as of which they are known.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        links: ManagedLinks,
        registry_view: RegistryView,
        leader_name: Callable[[], str],
        is_leader: Callable[[], bool],
        on_upstreams_changed: Callable[[], None],
        on_news: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._links = links
        self._registry_view = registry_view
        self._leader_name = leader_name
        self._is_leader = is_leader
        self._on_upstreams_changed = on_upstreams_changed
        self._on_news = on_news
        # The leader from which the present knowledge was received; empty if it was read.
        self._source = ""
        # When each instance was last sent the present data centres over its current stream.
        self._sent_at: dict[str, timedelta] = {}
        self._kept_until = LONG_AGO
        self._logged_unknown: frozenset[str] = frozenset()
        self._logged_spared: frozenset[str] = frozenset()
        self.data_centres: frozenset[str] = frozenset()
        self.as_of = LONG_AGO
        links.add_handler(EvacuationUpdate, self._handle_update)

    def handle_read(self, data_centres: frozenset[str], sent_at: timedelta) -> None:
        """Use the data centres that a read found, unless the leader's are newer."""
        if not self._source or sent_at >= self.as_of:
            self._use(data_centres, sent_at, "")

    def begin_grace(self) -> None:
        """Keep the data centres evacuated for a while, because the store has lost rows."""
        self._kept_until = self._clock.now() + GENERATION_GRACE

    def forget_peer(self, peer: str) -> None:
        """Send an instance the data centres with the next update, because its stream is new."""
        self._sent_at.pop(peer, None)

    def forget_peers(self) -> None:
        """Send all instances the data centres with the next update."""
        self._sent_at.clear()

    def update_followers(self) -> None:
        """Send the data centres to the instances that need them now, as the leader."""
        if self.as_of == LONG_AGO:
            return
        now = self._clock.now()
        peers = self._links.connected_peers()
        self._sent_at = {p: t for p, t in self._sent_at.items() if p in peers}
        update = EvacuationUpdate(tuple(sorted(self.data_centres)), now - self.as_of)
        for peer in peers:
            is_due = now - self._sent_at.get(peer, LONG_AGO) >= RESEND_INTERVAL
            if is_due and self._links.send(peer, update):
                self._sent_at[peer] = now

    def log_effects(self) -> None:
        """Log which data centres have no upstreams, and which services are served on, if changed.

        Before any upstream is known, nothing can be said of them.
        """
        upstreams = self._registry_view.upstreams.values()
        if not upstreams:
            return
        unknown = self.data_centres - {upstream.data_centre for upstream in upstreams}
        for name in sorted(unknown - self._logged_unknown):
            _log.warning("data centre {!r} is to be evacuated and has no upstreams: ignored", name)
        spared = frozenset(spared_services(upstreams, self.data_centres))
        for service in sorted(spared - self._logged_spared):
            _log.warning(
                "all upstreams of service {} are to be evacuated: it is served on with all of them",
                service,
            )
        for service in sorted(self._logged_spared - spared):
            _log.info("service {} is no longer served on with evacuated upstreams", service)
        self._logged_unknown, self._logged_spared = unknown, spared

    def _handle_update(self, peer: str, update: EvacuationUpdate) -> None:
        """Use what the leader knows, unless this instance has read or received something newer.

        The messages of one leader arrive in order, so the last one holds, whatever time they took.
        """
        if self._is_leader() or peer != self._leader_name():
            return
        as_of = self._clock.now() - update.age
        if peer == self._source or as_of >= self.as_of:
            self._use(frozenset(update.data_centres), as_of, peer)

    def _use(self, data_centres: frozenset[str], as_of: timedelta, source: str) -> None:
        self.as_of, self._source = as_of, source
        if self._clock.now() < self._kept_until:
            data_centres |= self.data_centres
        former, self.data_centres = self.data_centres, data_centres
        if data_centres == former:
            return
        origin = f"received from {source}" if source else "read from the store"
        for name in sorted(data_centres - former):
            _log.info("data centre {!r} is evacuated, {}", name, origin)
        for name in sorted(former - data_centres):
            _log.info("data centre {!r} is no longer evacuated, {}", name, origin)
        self.forget_peers()
        if self._registry_view.evacuate(data_centres):
            self._on_upstreams_changed()
        else:
            self.log_effects()
        self._on_news()
