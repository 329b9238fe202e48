"""Effect of evacuated data centres on the upstreams."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace

from .upstream import Upstream

__all__ = ["mark_evacuated", "spared_services"]


def spared_services(upstreams: Iterable[Upstream], data_centres: Collection[str]) -> set[str]:
    """Return the services that would have no upstream left if data centres were evacuated.

    An upstream that is draining doesn't count as left: it takes no new requests.
    """
    affected, served = set(), set()
    for upstream in upstreams:
        if upstream.data_centre in data_centres:
            affected.add(upstream.service)
        elif not upstream.is_draining:
            served.add(upstream.service)
    return affected - served


def mark_evacuated(
    upstreams: Mapping[str, Upstream], data_centres: Collection[str]
) -> dict[str, Upstream]:
    """Return the upstreams with `is_evacuated` as the evacuated data centres require.

    The result depends on the arguments only, so that all instances decide alike.
    """
    spared = spared_services(upstreams.values(), data_centres) if data_centres else set()
    marked = {}
    for name, upstream in upstreams.items():
        is_evacuated = upstream.data_centre in data_centres and upstream.service not in spared
        if is_evacuated != upstream.is_evacuated:
            upstream = replace(upstream, is_evacuated=is_evacuated)
        marked[name] = upstream
    return marked
