"""Updates from the leader to the other instances, sent as differences."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ..fleet import Upstream
from ..keyspace import OwnershipMap
from ..links import Links
from .changes import map_changes, registry_changes
from .messages import LeaderUpdate, MapChanges, RegistryChanges

__all__ = ["Broadcaster"]


@dataclass(slots=True)
class _PeerState:
    """The state that was sent to one instance over its current stream."""

    registry_version: int | None = None
    upstreams: Mapping[str, Upstream] | None = None
    maps: dict[str, OwnershipMap] = field(default_factory=dict)


class Broadcaster:
    """Sends updates to all connected instances.

    Parameters
    ----------
    links : Links

    Notes
    -----
    Messages on a stream arrive in order or not at all, so the receiver's state equals what was
    sent. Instances in the same state receive the same message, which is built only once.
    """

    def __init__(self, links: Links) -> None:
        self._links = links
        self._peer_states: dict[str, _PeerState] = {}

    def forget(self, peer: str) -> None:
        """Send an instance the full state with the next update, because its stream is new."""
        self._peer_states.pop(peer, None)

    def forget_all(self) -> None:
        """Send all instances the full state with the next update."""
        self._peer_states.clear()

    def send(
        self,
        update: LeaderUpdate,
        registry_version: int,
        upstreams: Mapping[str, Upstream],
        maps: Mapping[str, OwnershipMap],
    ) -> None:
        """Send an update, completed by the changes that each instance hasn't received yet.

        Parameters
        ----------
        update : LeaderUpdate
            Update without changes of the registry and the ownership maps.
        registry_version : int
        upstreams : mapping of str to Upstream
        maps : mapping of str to OwnershipMap
        """
        updates_by_state: dict[tuple[object, ...], LeaderUpdate] = {}
        peers = self._links.connected_peers()
        for disconnected in self._peer_states.keys() - set(peers):
            del self._peer_states[disconnected]
        for peer in peers:
            peer_state = self._peer_states.setdefault(peer, _PeerState())
            state = (
                peer_state.registry_version,
                *((service, peer_state.maps.get(service)) for service in maps),
            )
            # Compares maps by identity, since comparing their ranges would be slower.
            key = tuple(id(x[1]) if isinstance(x, tuple) else x for x in state)
            message = updates_by_state.get(key)
            if message is None:
                message = updates_by_state[key] = replace(
                    update,
                    registry_changes=self._registry_changes(
                        peer_state, registry_version, upstreams
                    ),
                    map_changes=self._map_changes(peer_state, maps),
                )
            if self._links.send(peer, message):
                peer_state.registry_version = registry_version
                peer_state.upstreams = upstreams
                peer_state.maps = dict(maps)

    def _registry_changes(
        self, peer_state: _PeerState, version: int, upstreams: Mapping[str, Upstream]
    ) -> RegistryChanges | None:
        if peer_state.registry_version == version:
            return None
        return registry_changes(peer_state.upstreams, version, upstreams)

    def _map_changes(
        self, peer_state: _PeerState, maps: Mapping[str, OwnershipMap]
    ) -> tuple[MapChanges, ...]:
        return tuple(
            map_changes(peer_state.maps.get(service), current)
            for service, current in maps.items()
            if peer_state.maps.get(service) is not current
        )
