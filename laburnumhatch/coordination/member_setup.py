"""Fixed properties of a running instance as a member of the cluster."""

import math
from dataclasses import dataclass

from ..fleet import FeatureMode

__all__ = ["MemberSetup"]


@dataclass(frozen=True, slots=True)
class MemberSetup:
    """Fixed properties of the running instance.

    Attributes
    ----------
    name : str
        Instance name and an identifier of this run of its process, ``NAME/BOOT``.
    host : str
        IP address.
    port : int
        Port on which it accepts streams.
    cores : float
        Processing power of its machine, in cores of the usual speed.
    is_first_start : bool
        Whether all instances start for the first time, so that there was no leader before.
    adaptive_concurrency : str
        Whether estimates of what upstreams take well are used: ``auto``, ``on`` or ``off``.
    link_mbps : float
        Bandwidth of its machine's link, in Mbit/s.
    """

    name: str
    host: str
    port: int
    cores: float = 1.0
    is_first_start: bool = False
    adaptive_concurrency: FeatureMode = "off"
    link_mbps: float = math.inf
