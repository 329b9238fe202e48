"""Lookup of the upstream that owns a key, in the ownership map of this instance."""

from typing import TYPE_CHECKING

from ..clocks import milliseconds
from ..fleet import Upstream, UpstreamIncarnation
from ..keyspace import MapRange

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = [
    "find_owner",
    "is_awaiting_lease_expiry",
    "is_owner_evacuated",
    "suspend_denied_range",
]

# Time for which a draining upstream still gets requests for the keys that it holds.
DRAINING_OWNER_GRACE = milliseconds(700)
# The same for evacuated ones, counted from when this instance learned it. Many owners hand over at
# a time. It takes up to about 2 s to learn it, and requests must end 5 s after the order was given.
EVACUATED_OWNER_GRACE = milliseconds(2200)


def find_owner(
    gateway: "Gateway", service: str, key: int, request: object
) -> Upstream | UpstreamIncarnation | None:
    """Return the upstream that owns a key.

    Returns an `UpstreamIncarnation` if the owner accepts no requests, and None if the key has no
    owner or `request` must wait because the owner has denied to hold the key.
    """
    key_range = _find_range(gateway, service, key)
    if key_range is None or not key_range.is_held:
        return None
    if gateway.suspended_ranges.is_suspended(service, key_range, request):
        return None
    upstream = gateway.member.registry_view.upstreams.get(key_range.owner.name)
    if upstream is None or upstream.incarnation != key_range.owner:
        return key_range.owner
    if gateway.draining_duration(upstream) > DRAINING_OWNER_GRACE:
        return key_range.owner
    if gateway.evacuation_duration(upstream) > EVACUATED_OWNER_GRACE:
        return key_range.owner
    return upstream


def is_owner_evacuated(gateway: "Gateway", service: str, key: int) -> bool:
    """Return whether a key is still held by an upstream that should have handed it over."""
    key_range = _find_range(gateway, service, key)
    if key_range is None or not key_range.is_held:
        return False
    upstream = gateway.member.registry_view.upstreams.get(key_range.owner.name)
    return upstream is not None and gateway.evacuation_duration(upstream) > EVACUATED_OWNER_GRACE


def is_awaiting_lease_expiry(gateway: "Gateway", service: str, key: int) -> bool:
    """Return whether a key without an owner gets one only when a former lease has expired.

    Owners whose record is lost may be in the map as a hint meanwhile.
    """
    key_range = _find_range(gateway, service, key)
    return key_range is not None and key_range.awaits_lease_expiry


def suspend_denied_range(gateway: "Gateway", service: str, key: int, upstream: Upstream) -> None:
    """Suspend the range of a key if its owner, according to the map, denies that it holds it."""
    key_range = _find_range(gateway, service, key)
    if key_range is not None and key_range.owner == upstream.incarnation:
        gateway.suspended_ranges.suspend(service, key_range)


def _find_range(gateway: "Gateway", service: str, key: int) -> MapRange | None:
    ownership_map = gateway.member.ownership_maps.get(service)
    return ownership_map.find(key) if ownership_map is not None else None
