"""Bodies of the calls that grant keys to upstreams and release them."""

import msgspec

from ..clocks.duration_text import format_duration
from ..keyspace import GrantOrder, ReleaseOrder

__all__ = ["GRANT_PATH", "RELEASE_PATH", "encode_grant", "encode_release"]

GRANT_PATH = b"/grant"
RELEASE_PATH = b"/release"


class _Grant(msgspec.Struct, omit_defaults=True):
    first: int = msgspec.field(name="from")
    # Last key of the range, inclusive.
    last: int = msgspec.field(name="target")
    # Fencing token of the grant.
    fence: int
    # Duration of the lease, counted from the arrival of the call.
    hold_time: str
    # Token by which the upstream takes over the state of the previous owner.
    handover: str | None = None


class _Release(msgspec.Struct):
    first: int = msgspec.field(name="from")
    last: int = msgspec.field(name="target")
    fence: int


def encode_grant(order: GrantOrder) -> bytes:
    """Return the body of a grant; the same body sent again renews the lease."""
    return msgspec.json.encode(
        _Grant(
            order.first,
            order.last,
            order.fencing_token,
            format_duration(order.lease_duration),
            order.handover_token,
        )
    )


def encode_release(order: ReleaseOrder) -> bytes:
    """Return the body of a release."""
    return msgspec.json.encode(_Release(order.first, order.last, order.fencing_token))
