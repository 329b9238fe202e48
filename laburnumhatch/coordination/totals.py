"""Encoding of loads and limits that the leader sends to each instance."""

import struct
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from ..keyspace import KeyLimits
from ..placement.loads import LoadTracker, UpstreamTotals
from .messages import KeyLimit

__all__ = ["pack_key_limits", "pack_totals", "unpack_key_limits", "unpack_totals"]

# Requests in flight, service time in milliseconds, share of declined requests times 255.
_ENTRY = struct.Struct("<HHB")
MAX_UINT16 = 65_535


def pack_totals(load_tracker: LoadTracker, names: Iterable[str], now: timedelta) -> bytes:
    """Return the encoded totals of the named upstreams, in order."""
    packed = bytearray()
    for name in names:
        load = load_tracker.load_of(name)
        packed += _ENTRY.pack(
            min(load.in_flight, MAX_UINT16),
            min(round(load.service_time_s * 1000), MAX_UINT16),
            round(min(load.declined_share(now), 1.0) * 255),
        )
    return bytes(packed)


def unpack_totals(
    packed: bytes, positions: Mapping[str, int]
) -> Callable[[str], UpstreamTotals | None]:
    """Return a function that returns the totals of an upstream, or None for an unknown one.

    Parameters
    ----------
    packed : bytes
    positions : mapping of str to int
        Position of each upstream, by name.

    Raises
    ------
    ValueError
        If the number of totals differs from the number of upstreams.
    """
    if len(packed) != _ENTRY.size * len(positions):
        raise ValueError(f"{len(packed)} bytes of totals for {len(positions)} upstreams")

    def find(name: str) -> UpstreamTotals | None:
        position = positions.get(name)
        if position is None:
            return None
        in_flight, service_ms, declined = _ENTRY.unpack_from(packed, position * _ENTRY.size)
        service_time = timedelta(milliseconds=service_ms)
        return UpstreamTotals(name, in_flight, service_time, declined / 255)

    return find


def pack_key_limits(limits: Mapping[str, KeyLimits]) -> tuple[KeyLimit, ...]:
    """Return the message fields for the limits of all services."""
    return tuple(
        KeyLimit(service, key, priority, round(share * 1000))
        for service, service_limits in limits.items()
        for (key, priority), share in service_limits.shares.items()
    )


def unpack_key_limits(limits: Iterable[KeyLimit]) -> dict[str, KeyLimits]:
    """Return the limits by service."""
    shares: dict[str, dict[tuple[int, int], float]] = {}
    for limit in limits:
        by_key = shares.setdefault(limit.service, {})
        by_key[limit.key, limit.priority] = limit.share_per_mille / 1000
    return {service: KeyLimits(by_key) for service, by_key in shares.items()}
