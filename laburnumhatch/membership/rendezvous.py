"""Rendezvous hashing over instances."""

import heapq
from collections.abc import Iterable, Sequence

import xxhash

from .interfaces import Instance

__all__ = ["PROBERS", "choose_instances", "probers_of"]

# Instances that probe one target.
PROBERS = 2


def choose_instances(instances: Iterable[Instance], subject: str, count: int) -> list[Instance]:
    """Return the `count` instances with the highest hash together with `subject`.

    Notes
    -----
    All who know the same instances choose alike, and an instance that comes or goes changes only
    the choices that it takes part in [1]_. One hash for each instance.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
       IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return heapq.nlargest(count, instances, key=lambda i: (_weight(i, subject), i.name))


def probers_of(
    instances: Sequence[Instance], service: str, target: str, data_centre: str
) -> list[Instance]:
    """Return the instances that probe a target: of its data centre, where two live there.

    Parameters
    ----------
    instances : sequence of Instance
        The live instances.
    service, target : str
    data_centre : str
        Where the target runs.
    """
    near = [i for i in instances if i.data_centre == data_centre]
    candidates = near if len(near) >= PROBERS else instances
    return choose_instances(candidates, f"{service}/{target}", PROBERS)


def _weight(instance: Instance, subject: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{instance.name}".encode())
