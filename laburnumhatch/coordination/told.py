"""What the leader told this instance, brought up to date message by message."""

from dataclasses import dataclass, field

from ..fleet import Upstream
from ..keyspace import OwnershipMap
from ..placement.loads import UpstreamTotal
from .changes import apply_map, apply_registry
from .messages import News
from .totals import unpack_totals

__all__ = ["LeaderTold"]


@dataclass(slots=True)
class LeaderTold:
    """What the leader's messages on the present stream add up to.

    Attributes
    ----------
    upstreams : dict of str to Upstream
    maps : dict of str to OwnershipMap
    registry_version : int
        Of the leader's list of upstreams.
    is_used : bool
        Whether the instance goes by it, rather than by what it read itself since.
    """

    upstreams: dict[str, Upstream] = field(default_factory=dict)
    maps: dict[str, OwnershipMap] = field(default_factory=dict)
    registry_version: int = 0
    is_used: bool = False

    def take(self, news: News) -> None:
        """Take the changes in a message."""
        for changes in news.maps:
            self.maps[changes.service] = apply_map(self.maps.get(changes.service), changes)
        if news.registry is not None:
            self.upstreams = apply_registry(self.upstreams, news.registry)
            self.registry_version = news.registry.version

    def totals(self, news: News) -> list[UpstreamTotal] | None:
        """Return the loads in a message; None where they belong to another list of upstreams."""
        if news.totals is None or news.totals.registry != self.registry_version:
            return None
        return unpack_totals(news.totals.packed, sorted(self.upstreams))
