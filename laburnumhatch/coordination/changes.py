"""Differences between the state that an instance received and the current state."""

from bisect import bisect_left
from collections.abc import Mapping

from ..fleet import Upstream, UpstreamIncarnation
from ..keyspace import MapRange, OwnershipMap
from .messages import ListedUpstream, MapChanges, MapSpan, RegistryChanges

__all__ = ["apply_map", "apply_registry", "map_changes", "registry_changes"]

Upstreams = Mapping[str, Upstream]


def registry_changes(
    previous: Upstreams | None, version: int, upstreams: Upstreams
) -> RegistryChanges:
    """Return the changes of the registry, or all upstreams if there is no previous state."""
    previous_upstreams = previous or {}
    changed = tuple(
        _to_message(u) for name, u in upstreams.items() if previous_upstreams.get(name) != u
    )
    removed = tuple(name for name in previous_upstreams if name not in upstreams)
    return RegistryChanges(version, previous is None, changed, removed)


def apply_registry(upstreams: Upstreams, changes: RegistryChanges) -> dict[str, Upstream]:
    """Return the upstreams after applying the changes."""
    current = {} if changes.is_full else dict(upstreams)
    for name in changes.removed:
        current.pop(name, None)
    for listed in changes.changed:
        current[listed.name] = _from_message(listed)
    return current


def map_changes(previous: OwnershipMap | None, current: OwnershipMap) -> MapChanges:
    """Return the changes of an ownership map, or all ranges if there is no previous map."""
    previous_ranges = {r.first: r for r in previous.ranges} if previous is not None else {}
    firsts = {r.first for r in current.ranges}
    changed = tuple(
        _to_span(r) for r in current.ranges if _differs(previous_ranges.get(r.first), r)
    )
    removed = tuple(first for first in previous_ranges if first not in firsts)
    return MapChanges(current.service, current.version, previous is None, changed, removed)


def apply_map(previous: OwnershipMap | None, changes: MapChanges) -> OwnershipMap:
    """Return a service's ownership map after applying the changes."""
    is_incremental = previous is not None and not changes.is_full
    ranges = list(previous.ranges) if previous is not None and is_incremental else []
    starts = [r.first for r in ranges]  # kept in step with `ranges`
    for first in changes.removed:
        position = bisect_left(starts, first)
        if position < len(starts) and starts[position] == first:
            del starts[position], ranges[position]
    for span in changes.changed:
        current = _from_span(span)
        position = bisect_left(starts, span.first)
        if position < len(starts) and starts[position] == span.first:
            ranges[position] = current
        else:
            starts.insert(position, span.first)
            ranges.insert(position, current)
    return OwnershipMap(changes.service, changes.version, tuple(ranges), tuple(starts))


def _differs(previous: MapRange | None, current: MapRange) -> bool:
    # Unchanged ranges are mostly the same object, and comparing identities is faster.
    return previous is not current and previous != current


def _from_span(span: MapSpan) -> MapRange:
    owner = UpstreamIncarnation(span.owner, span.started_at_ms)
    return MapRange(span.first, span.last, owner, span.is_held, span.awaits_lease_expiry)


def _to_span(current: MapRange) -> MapSpan:
    return MapSpan(
        current.first,
        current.last,
        current.owner.name,
        current.owner.started_at_ms,
        current.is_held,
        current.awaits_lease_expiry,
    )


def _to_message(upstream: Upstream) -> ListedUpstream:
    return ListedUpstream(
        upstream.name,
        upstream.incarnation.started_at_ms,
        upstream.service,
        upstream.host,
        upstream.port,
        upstream.data_centre,
        upstream.slots,
        upstream.is_draining,
        upstream.warmup_remaining,
        upstream.is_kept,
    )


def _from_message(listed: ListedUpstream) -> Upstream:
    return Upstream(
        UpstreamIncarnation(listed.name, listed.started_at_ms),
        listed.service,
        listed.host,
        listed.port,
        listed.data_centre,
        listed.slots,
        listed.is_draining,
        listed.warmup_remaining,
        listed.is_kept,
    )
