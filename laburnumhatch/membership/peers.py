"""Choice of the instances to which an instance keeps streams."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import combinations

import xxhash

from .interfaces import Instance

__all__ = ["FULL_MESH_LIMIT", "STREAMS_PER_DATA_CENTRE_PAIR", "choose_peers"]

# Largest number of instances that form a full mesh.
FULL_MESH_LIMIT = 24
# Number of streams between each pair of data centres.
STREAMS_PER_DATA_CENTRE_PAIR = 2


def choose_peers(instances: Iterable[Instance], own: Instance) -> tuple[Instance, ...]:
    """Return the instances to which `own` keeps streams, sorted by name.

    Parameters
    ----------
    instances : iterable of Instance
        The known instances; `own` may be among them.
    own : Instance
        The instance that chooses.

    Returns
    -------
    tuple of Instance

    Notes
    -----
    The choice is symmetric: if two instances know the same set of instances, either each chooses
    the other or neither does. Up to `FULL_MESH_LIMIT` instances form a full mesh. Beyond that,
    the instances of a data centre form a ring ordered by the hash of their names, and each
    chooses the instances at distances 1, 2, 4, ... in both directions, as in Chord [1]_. Each
    pair of data centres is connected by `STREAMS_PER_DATA_CENTRE_PAIR` streams, whose endpoints
    are distributed evenly around the rings. With `n` instances in each of `d` data centres, the
    degree is at most ``2 * log2(n) + ceil(2 * (d - 1) / n) + 1``, and a message that each
    instance forwards once reaches all instances in at most ``2 * log2(n) + 2`` hops while all
    data centres are connected directly. The cost is a sort of the instances.

    References
    ----------
    .. [1] I. Stoica et al., "Chord: A Scalable Peer-to-Peer Lookup Service for Internet
       Applications", SIGCOMM 2001.
    """
    known = {i.name: i for i in instances}
    known[own.name] = own
    if len(known) <= FULL_MESH_LIMIT:
        return tuple(known[name] for name in sorted(known) if name != own.name)
    rings = _rings(known.values())
    chosen = _ring_peers(rings[own.data_centre], own) | _gateway_peers(rings, own)
    return tuple(known[name] for name in sorted(chosen - {own.name}))


def _rings(instances: Iterable[Instance]) -> dict[str, list[Instance]]:
    rings: dict[str, list[Instance]] = defaultdict(list)
    for instance in instances:
        rings[instance.data_centre].append(instance)
    for ring in rings.values():
        ring.sort(key=lambda i: (xxhash.xxh3_64_intdigest(i.name.encode()), i.name))
    return rings


def _ring_peers(ring: Sequence[Instance], own: Instance) -> set[str]:
    position = ring.index(own)
    peers: set[str] = set()
    distance = 1
    while distance < len(ring):
        peers.add(ring[(position + distance) % len(ring)].name)
        peers.add(ring[(position - distance) % len(ring)].name)
        distance *= 2
    return peers


def _gateway_peers(rings: dict[str, list[Instance]], own: Instance) -> set[str]:
    peers: set[str] = set()
    data_centres = sorted(rings)
    # Next unused position on each ring, so that the endpoints are spread over the ring.
    next_positions = dict.fromkeys(data_centres, 0)
    for first, second in combinations(data_centres, 2):
        for _ in range(STREAMS_PER_DATA_CENTRE_PAIR):
            endpoints = [
                rings[centre][next_positions[centre] % len(rings[centre])]
                for centre in (first, second)
            ]
            next_positions[first] += 1
            next_positions[second] += 1
            if own in endpoints:
                peers.update(endpoint.name for endpoint in endpoints)
    return peers
