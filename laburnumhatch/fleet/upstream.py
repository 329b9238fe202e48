"""One upstream as it describes itself."""

from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

__all__ = ["Upstream", "UpstreamLife"]


class UpstreamLife(NamedTuple):
    """One life of an upstream, from its start to its end.

    Attributes
    ----------
    name : str
        The upstream's identifier, which a restart may keep.
    born : int
        Unix time of the start, milliseconds. Only compared for equality.
    """

    name: str
    born: int


@dataclass(frozen=True, slots=True)
class Upstream:
    """A server of a service.

    Attributes
    ----------
    life : UpstreamLife
    service : str
    host : str
        IP number.
    port : int
    data_centre : str
    slots : int
        Requests that it runs at a time.
    is_draining : bool
        Whether it announced its shutdown.
    slow_for : timedelta
        How much longer it is slow after its start.
    """

    life: UpstreamLife
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool
    slow_for: timedelta

    @property
    def name(self) -> str:
        """Identifier of the upstream."""
        return self.life.name
