"""Orders to upstreams about the keys that they hold."""

import msgspec

from ..clocks.duration_text import format_duration
from ..keyspace import GrantOrder, ReleaseOrder

__all__ = ["GRANT_PATH", "RELEASE_PATH", "encode_grant", "encode_release"]

GRANT_PATH = b"/grant"
RELEASE_PATH = b"/release"


class _Grant(msgspec.Struct, omit_defaults=True):
    first: int = msgspec.field(name="from")
    # The last key of the range, itself included.
    last: int = msgspec.field(name="target")
    fence: int
    # How long the upstream may serve the keys, counted from the arrival of the call.
    hold_time: str
    # Token by which the upstream takes over the last owner's state.
    handover: str | None = None


class _Release(msgspec.Struct):
    first: int = msgspec.field(name="from")
    last: int = msgspec.field(name="target")
    fence: int


def encode_grant(order: GrantOrder) -> bytes:
    """Return the body of a grant, which the same order repeated renews."""
    return msgspec.json.encode(
        _Grant(order.first, order.last, order.fence, format_duration(order.hold), order.handover)
    )


def encode_release(order: ReleaseOrder) -> bytes:
    """Return the body of a release."""
    return msgspec.json.encode(_Release(order.first, order.last, order.fence))
