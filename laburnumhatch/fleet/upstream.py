"""Description of an upstream as it registers itself."""

from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

__all__ = ["Upstream", "UpstreamIncarnation"]


class UpstreamIncarnation(NamedTuple):
    """Incarnation of an upstream: its run from one start to its end.

    Attributes
    ----------
    name : str
        Identifier of the upstream, which a restart may keep.
    started_at_ms : int
        Unix time of the start in milliseconds; only compared for equality.
    """

    name: str
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class Upstream:
    """Server of a service.

    Attributes
    ----------
    incarnation : UpstreamIncarnation
    service : str
    host : str
        IP address.
    port : int
    data_centre : str
    slots : int
        Number of requests that it runs concurrently.
    is_draining : bool
        Whether the upstream has announced its shutdown.
    warmup_remaining : timedelta
        Remaining warm-up time, during which the upstream is slow.
    is_kept : bool
        Whether the registry doesn't list it at the moment, but may have lost its entry.
    is_evacuated : bool
        Whether it gets no new work, because the operator has its data centre evacuated.
    """

    incarnation: UpstreamIncarnation
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool
    warmup_remaining: timedelta
    is_kept: bool = False
    is_evacuated: bool = False

    @property
    def name(self) -> str:
        """Identifier of the upstream."""
        return self.incarnation.name
