"""Rendezvous (highest random weight) hashing over instances."""

import heapq
from collections.abc import Iterable, Sequence

import xxhash

from .interfaces import Instance

__all__ = ["PROBERS_PER_TARGET", "choose_instances", "probers_of"]

# Number of instances that probe each target.
PROBERS_PER_TARGET = 2


def choose_instances(instances: Iterable[Instance], subject: str, count: int) -> list[Instance]:
    """Return the `count` instances with the highest rendezvous weight for `subject`.

    Notes
    -----
    Every process that knows the same instances makes the same choice, and adding or removing an
    instance changes only the choices that contain it [1]_. The cost is one hash per instance.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
       IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return heapq.nlargest(count, instances, key=lambda i: (_weight(i, subject), i.name))


def probers_of(
    instances: Sequence[Instance], service: str, target: str, data_centre: str
) -> list[Instance]:
    """Return the instances that probe a target.

    They are chosen from the target's data centre if at least `PROBERS_PER_TARGET` instances are
    live there, otherwise from all data centres.

    Parameters
    ----------
    instances : sequence of Instance
        The live instances.
    service, target : str
    data_centre : str
        Data centre of the target.
    """
    near = [i for i in instances if i.data_centre == data_centre]
    candidates = near if len(near) >= PROBERS_PER_TARGET else instances
    return choose_instances(candidates, f"{service}/{target}", PROBERS_PER_TARGET)


def _weight(instance: Instance, subject: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{instance.name}".encode())
