"""Exclusive ownership of key ranges through leases that the upstreams enforce."""

from .balance import KeyMove, plan_moves
from .effects import (
    CallResult,
    ConnectionRefused,
    GrantOrder,
    GrantRefused,
    NoAnswer,
    OrderAcknowledged,
    ReleaseOrder,
    UpstreamReplaced,
)
from .hot_keys import KeyLimits
from .lease import LeaseTiming, Phase, RangeLease
from .ownership_map import MapRange, OwnershipMap
from .row import ServiceRecord, decode_record, encode_record, record_of
from .service_leases import ServiceLeases

__all__ = [
    "CallResult",
    "ConnectionRefused",
    "GrantOrder",
    "GrantRefused",
    "KeyLimits",
    "KeyMove",
    "LeaseTiming",
    "MapRange",
    "NoAnswer",
    "OrderAcknowledged",
    "OwnershipMap",
    "Phase",
    "RangeLease",
    "ReleaseOrder",
    "ServiceLeases",
    "ServiceRecord",
    "UpstreamReplaced",
    "decode_record",
    "encode_record",
    "plan_moves",
    "record_of",
]
