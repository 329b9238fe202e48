"""Instances to which an instance passes requests on whose upstreams it doesn't reach.

Each instance tells the leader where it takes such requests and which services it doesn't reach
itself. Instances that don't reach a service get a list of others from the leader.
"""

import random
from collections.abc import Callable, Collection
from datetime import timedelta

import logbook

from ..clocks import Clock, milliseconds
from ..links import ManagedLinks
from .messages import ReachReport, RelayPeer, RelayPeerList

__all__ = ["RelayDirectory"]

# Instances that the leader names to one that doesn't reach a service.
MAX_LISTED_PEERS = 64
# Least time between two lists: in a cut, many instances report one service after the other.
UPDATE_INTERVAL = milliseconds(100)
# Time for which an instance gets no requests after a connection to it has failed.
AVOIDANCE = milliseconds(1000)
# Weight of another data centre in the choice of an instance, in requests in flight.
REMOTE_WEIGHT = 2
MAX_PORT = 65_535

_log = logbook.Logger("laburnumhatch.member")


class RelayDirectory:
    """Instances that take requests from this one, and what they don't reach.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    own_report : ReachReport
        Where this instance takes requests from others.
    leader_name : callable
        Returns the member name of the present leader.
    is_leader : callable
        Returns whether this member leads.

    Attributes
    ----------
    unreachable : frozenset of str
        Services that this instance doesn't reach.
    """

    def __init__(
        self,
        clock: Clock,
        links: ManagedLinks,
        own_report: ReachReport,
        leader_name: Callable[[], str],
        is_leader: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._links = links
        self._own = own_report
        self._leader_name = leader_name
        self._is_leader = is_leader
        # By member: the last reports, which are kept for the time when this member leads.
        self._reports: dict[str, ReachReport] = {}
        self._peers: dict[str, RelayPeer] = {}
        self._in_flight: dict[str, int] = {}
        self._avoided_until: dict[str, timedelta] = {}
        self._updated_at = timedelta(days=-1)
        self._is_update_scheduled = False
        self._random = random.Random()
        # The leader that knows the last report of this instance.
        self._reported_to = ""
        self.unreachable: frozenset[str] = frozenset()
        links.add_handler(ReachReport, self._handle_report)
        links.add_handler(RelayPeerList, self._handle_peers)
        links.add_connect_handler(self._on_connected)

    def set_unreachable(self, services: frozenset[str]) -> None:
        """Tell the leader which services this instance doesn't reach, unless it knows."""
        if services == self.unreachable and self._reported_to == self._leader_name():
            return
        self.unreachable = services
        self._own = ReachReport(
            self._own.host, self._own.port, self._own.data_centre, tuple(sorted(services))
        )
        self._report()

    def withdraw(self) -> None:
        """Take no more requests from others, because this instance stops."""
        self._own = ReachReport(self._own.host, 0, self._own.data_centre, self._own.unreachable)
        self._report()

    def choose(self, service: str, excluded: Collection[str]) -> RelayPeer | None:
        """Return an instance that reaches a service, or None if none is known.

        Parameters
        ----------
        service : str
        excluded : collection of str
            Member names of instances that are not to be chosen.
        """
        now = self._clock.now()
        candidates = [
            peer
            for peer in self._candidates()
            if service not in peer.unreachable
            and peer.member not in excluded
            and (peer.host, peer.port) != (self._own.host, self._own.port)
            and now >= self._avoided_until.get(peer.member, now)
        ]
        return min(candidates, key=self._rank, default=None)

    def note_started(self, member: str) -> None:
        """Count a request that is passed on to an instance."""
        self._in_flight[member] = self._in_flight.get(member, 0) + 1

    def note_ended(self, member: str, *, is_unreachable: bool) -> None:
        """Count the end of a request at an instance, which may not have been reached."""
        self._in_flight[member] -= 1
        if not self._in_flight[member]:
            del self._in_flight[member]
        if is_unreachable:
            self._avoided_until[member] = self._clock.now() + AVOIDANCE

    def _rank(self, peer: RelayPeer) -> tuple[int, float]:
        remote_weight = REMOTE_WEIGHT if peer.data_centre != self._own.data_centre else 0
        return self._in_flight.get(peer.member, 0) + remote_weight, self._random.random()

    def _candidates(self) -> list[RelayPeer]:
        return self._connected_peers() if self._is_leader() else list(self._peers.values())

    def _connected_peers(self) -> list[RelayPeer]:
        """Return the connected instances that take requests, as known to the leader."""
        connected = self._links.connected_peers()
        self._reports = {m: report for m, report in self._reports.items() if m in connected}
        return [
            RelayPeer(member, r.host, r.port, r.data_centre, r.unreachable)
            for member, r in self._reports.items()
            if r.port
        ]

    def _report(self) -> None:
        leader = self._leader_name()
        is_reported = self._is_leader() or self._links.send(leader, self._own)
        self._reported_to = leader if is_reported else ""
        if self._is_leader():
            self._schedule_update()

    def _schedule_update(self) -> None:
        """Name other instances to those that need them, at most once in `UPDATE_INTERVAL`."""
        if not self._is_update_scheduled:
            self._is_update_scheduled = True
            due_at = self._updated_at + UPDATE_INTERVAL
            self._clock.call_later(
                max(due_at - self._clock.now(), timedelta()), self._update_followers
            )

    def _update_followers(self) -> None:
        self._is_update_scheduled = False
        self._updated_at = self._clock.now()
        needy = [member for member, report in self._reports.items() if report.unreachable]
        if not needy or not self._is_leader():
            return
        own = self._own
        peers = self._connected_peers()
        if own.port:
            peers.append(
                RelayPeer(self._leader_name(), own.host, own.port, own.data_centre, own.unreachable)
            )
        # Those that reach all services come first.
        self._random.shuffle(peers)
        peers.sort(key=lambda peer: len(peer.unreachable))
        # The same message for all is encoded once.
        message = RelayPeerList(tuple(peers[:MAX_LISTED_PEERS]))
        for member in needy:
            self._links.send(member, message)

    def _on_connected(self, peer: str) -> None:
        if not self._is_leader():
            self._links.send(peer, self._own)

    def _handle_report(self, peer: str, report: ReachReport) -> None:
        if not 0 <= report.port <= MAX_PORT:
            _log.warning("ignored a report of {} with the port {}", peer, report.port)
            return
        self._reports[peer] = report
        if self._is_leader():
            self._schedule_update()

    def _handle_peers(self, peer: str, peers: RelayPeerList) -> None:
        if peer == self._leader_name():
            self._peers = {p.member: p for p in peers.peers if 0 < p.port <= MAX_PORT}
