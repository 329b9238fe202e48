"""Compact encoding of the loads of all upstreams, which the leader sends to each instance."""

import struct
from collections.abc import Iterable, Sequence
from datetime import timedelta

from ..placement.loads import LoadTracker, UpstreamTotals

__all__ = ["pack_totals", "unpack_totals"]

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


def unpack_totals(packed: bytes, names: Sequence[str]) -> list[UpstreamTotals]:
    """Return the totals of the named upstreams.

    Raises
    ------
    ValueError
        If the number of totals differs from the number of upstreams.
    """
    if len(packed) != _ENTRY.size * len(names):
        raise ValueError(f"{len(packed)} bytes of totals for {len(names)} upstreams")
    return [
        UpstreamTotals(name, in_flight, timedelta(milliseconds=service_ms), declined / 255)
        for name, (in_flight, service_ms, declined) in zip(
            names, _ENTRY.iter_unpack(packed), strict=True
        )
    ]
