"""Owner of a key as an entry instance knows it."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from ..results import ResultCode

__all__ = ["NoOwner", "Owner", "OwnershipView"]


@dataclass(frozen=True, slots=True)
class Owner:
    """The server that owns a key, under a routing lease.

    Attributes
    ----------
    service : str
    slot : int
    server : str
        Name of the target.
    epoch : int
        The fencing token. It grows with every change of the slot's owner.
    expires : timedelta
        Instant of the instance's clock at which the lease ends. Leases are renewed long before
        their end, so a new look-up may return the same epoch with a later end.
    key_hash : int
        Hash of the key that was looked up.
    """

    service: str
    slot: int
    server: str
    epoch: int
    expires: timedelta
    key_hash: int = -1


@dataclass(frozen=True, slots=True)
class NoOwner:
    """Reason why no request for a key may be sent now.

    Attributes
    ----------
    code : ResultCode
        ``NO_OWNER``, ``LEASE_EXPIRED`` or ``KEY_MOVING``.
    detail : str
        Text for the caller.
    retry_after : timedelta or None
    """

    code: ResultCode
    detail: str
    retry_after: timedelta | None = None


class OwnershipView(Protocol):
    """The routing leases of one entry instance."""

    def owner_of(self, service: str, key: str) -> Owner | NoOwner:
        """Return the owner of a key as of now."""

    def is_current(self, owner: Owner) -> bool:
        """Return whether a request may still be sent under `owner`.

        It is called immediately before the request is written to the connection.
        """

    def request_started(self, owner: Owner) -> None:
        """Record that a request under `owner` is in flight, so that revocations wait for it."""

    def request_ended(self, owner: Owner) -> None:
        """Record that the upstream can no longer be running the request."""
