"""Subset of the targets of a service that one entry instance uses."""

import xxhash

from ..routing import Service, Target

__all__ = ["MIN_SUBSET_SIZE", "choose_subset", "subset_size"]

MIN_SUBSET_SIZE = 64
# Mean number of instances that use each target.
INSTANCES_PER_TARGET = 20


def subset_size(target_count: int, instance_count: int) -> int:
    """Return the number of targets that one instance uses.

    Examples
    --------
    >>> subset_size(8, 8), subset_size(1_000, 1_700), subset_size(100_000, 1_700)
    (8, 64, 1177)
    """
    needed = -(-INSTANCES_PER_TARGET * target_count // max(1, instance_count))
    return min(target_count, max(MIN_SUBSET_SIZE, needed))


def choose_subset(
    service: Service, instance: str, data_centre: str, size: int
) -> tuple[Target, ...]:
    """Return the targets that an instance uses, those of its data centre first.

    Parameters
    ----------
    service : Service
    instance, data_centre : str
        Name and data centre of the entry instance.
    size : int
        Number of targets to return.

    Notes
    -----
    Half of the targets come from the instance's own data centre, or fewer if it has fewer, and
    the rest from the other data centres. Within each part, the targets are ranked by a hash of
    the names of instance and target, so that the subsets of the instances differ. The cost is
    O(n log n) for n targets, once per configuration.
    """
    if size >= len(service.targets):
        ranked = list(service.targets)
    else:
        ranked = sorted(service.targets, key=lambda target: _weight(instance, target))
    local_targets = [target for target in ranked if target.data_centre == data_centre]
    remote_targets = [target for target in ranked if target.data_centre != data_centre]
    local_count = min(len(local_targets), max(size // 2, size - len(remote_targets)))
    return (*local_targets[:local_count], *remote_targets[: size - local_count])


def _weight(instance: str, target: Target) -> int:
    return xxhash.xxh3_64_intdigest(f"{instance}\0{target.name}".encode())
