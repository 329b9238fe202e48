"""Description of an upstream as it registers itself."""

from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

__all__ = ["Upstream", "UpstreamLife"]


class UpstreamLife(NamedTuple):
    """Incarnation of an upstream: its run from one start to its end.

    Attributes
    ----------
    name : str
        Identifier of the upstream, which a restart may keep.
    born : int
        Unix time of the start in milliseconds; only compared for equality.
    """

    name: str
    born: int


@dataclass(frozen=True, slots=True)
class Upstream:
    """Server of a service.

    Attributes
    ----------
    life : UpstreamLife
    service : str
    host : str
        IP address.
    port : int
    data_centre : str
    slots : int
        Number of requests that it runs concurrently.
    is_draining : bool
        Whether the upstream has announced its shutdown.
    slow_for : timedelta
        Remaining warm-up time, during which the upstream is slow.
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
