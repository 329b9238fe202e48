"""The leader's news to the other instances, as differences to what each was told."""

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
    """What one instance was told on its present stream."""

    registry_version: int | None = None
    upstreams: Mapping[str, Upstream] | None = None
    maps: dict[str, OwnershipMap] = field(default_factory=dict)


class Broadcaster:
    """Sends news to all connected instances.

    Parameters
    ----------
    links : Links

    Notes
    -----
    Messages on one stream arrive in order or not at all, so what was sent is what the other end
    knows. Instances that were told the same get the same message, which is made once.
    """

    def __init__(self, links: Links) -> None:
        self._links = links
        self._peer_states: dict[str, _PeerState] = {}

    def forget(self, peer: str) -> None:
        """Tell an instance everything next time, as after its stream was opened anew."""
        self._peer_states.pop(peer, None)

    def forget_all(self) -> None:
        """Tell all instances everything next time."""
        self._peer_states.clear()

    def send(
        self,
        update: LeaderUpdate,
        registry_version: int,
        upstreams: Mapping[str, Upstream],
        maps: Mapping[str, OwnershipMap],
    ) -> None:
        """Send news, completed by what each instance was not told yet.

        Parameters
        ----------
        update : LeaderUpdate
            Without registry and maps.
        registry_version : int
        upstreams : mapping of str to Upstream
        maps : mapping of str to OwnershipMap
        """
        updates_by_state: dict[tuple[object, ...], LeaderUpdate] = {}
        peers = self._links.connected()
        for disconnected in self._peer_states.keys() - set(peers):
            del self._peer_states[disconnected]
        for peer in peers:
            peer_state = self._peer_states.setdefault(peer, _PeerState())
            state = (
                peer_state.registry_version,
                *((service, peer_state.maps.get(service)) for service in maps),
            )
            # Maps are compared by identity here, which their ranges' equality would only slow down.
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
