"""Grant and release orders to upstreams, and their results."""

from dataclasses import dataclass
from datetime import timedelta

from ..fleet import UpstreamIncarnation

__all__ = [
    "CallResult",
    "ConnectionRefused",
    "GrantOrder",
    "GrantRefused",
    "NoAnswer",
    "OrderAcknowledged",
    "ReleaseOrder",
    "UpstreamReplaced",
]


@dataclass(frozen=True, slots=True)
class GrantOrder:
    """Order that grants or renews a lease on a range of keys.

    Attributes
    ----------
    upstream : UpstreamIncarnation
        The upstream that receives the order.
    first, last : int
        Range of keys, both ends included.
    fencing_token : int
        Fencing token. The upstream refuses the order if it has seen a higher token for any of the
        keys.
    lease_duration : timedelta
        Duration of the lease, which the upstream counts from the arrival of the order.
    handover_token : str or None
        Token that identifies the state of the previous owner.
    """

    upstream: UpstreamIncarnation
    first: int
    last: int
    fencing_token: int
    lease_duration: timedelta
    handover_token: str | None


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """Order to give up a range of keys.

    The upstream answers once the requests that it is running for these keys have ended.
    """

    upstream: UpstreamIncarnation
    first: int
    last: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class OrderAcknowledged:
    """The upstream carried out the order; the answer to a release may hold a handover token."""

    handover: str | None = None


@dataclass(frozen=True, slots=True)
class GrantRefused:
    """The upstream refused the grant because it has seen a higher fencing token."""


@dataclass(frozen=True, slots=True)
class UpstreamReplaced:
    """Another upstream answers at the address, so the addressed upstream process has ended."""


@dataclass(frozen=True, slots=True)
class ConnectionRefused:
    """The connection was refused.

    This doesn't prove that the upstream has ended: a network that resets connections looks the
    same, and the upstream may still hold its keys.
    """


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer arrived, so the order may have been carried out already or may still be.

    `never_sent` is True if the order was certainly not sent.
    """

    never_sent: bool = False


CallResult = OrderAcknowledged | GrantRefused | UpstreamReplaced | ConnectionRefused | NoAnswer
