"""The leader's news to the other instances, as differences to what each was told."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ..fleet import Upstream
from ..keyspace import OwnershipMap
from ..links import Links
from .changes import map_changes, registry_changes
from .messages import MapChanges, News, RegistryChanges

__all__ = ["Broadcaster"]


@dataclass(slots=True)
class _Told:
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
        self._told: dict[str, _Told] = {}

    def forget(self, peer: str) -> None:
        """Tell an instance everything next time, as after its stream was opened anew."""
        self._told.pop(peer, None)

    def forget_all(self) -> None:
        """Tell all instances everything next time."""
        self._told.clear()

    def send(
        self,
        news: News,
        registry_version: int,
        upstreams: Mapping[str, Upstream],
        maps: Mapping[str, OwnershipMap],
    ) -> None:
        """Send news, completed by what each instance was not told yet.

        Parameters
        ----------
        news : News
            Without registry and maps.
        registry_version : int
        upstreams : mapping of str to Upstream
        maps : mapping of str to OwnershipMap
        """
        made: dict[tuple[object, ...], News] = {}
        peers = self._links.connected()
        for gone in self._told.keys() - set(peers):
            del self._told[gone]
        for peer in peers:
            told = self._told.setdefault(peer, _Told())
            state = (
                told.registry_version,
                *((service, told.maps.get(service)) for service in maps),
            )
            # Maps are compared by identity here, which their ranges' equality would only slow down.
            key = tuple(id(x[1]) if isinstance(x, tuple) else x for x in state)
            message = made.get(key)
            if message is None:
                message = made[key] = replace(
                    news,
                    registry=self._registry(told, registry_version, upstreams),
                    maps=self._maps(told, maps),
                )
            if self._links.send(peer, message):
                told.registry_version = registry_version
                told.upstreams = upstreams
                told.maps = dict(maps)

    def _registry(
        self, told: _Told, version: int, upstreams: Mapping[str, Upstream]
    ) -> RegistryChanges | None:
        if told.registry_version == version:
            return None
        return registry_changes(told.upstreams, version, upstreams)

    def _maps(self, told: _Told, maps: Mapping[str, OwnershipMap]) -> tuple[MapChanges, ...]:
        return tuple(
            map_changes(told.maps.get(service), found)
            for service, found in maps.items()
            if told.maps.get(service) is not found
        )
