"""What an entry instance knows of a key's owner."""

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
        The fencing token; grows with every change of the slot's owner.
    expires : timedelta
        Instant of the instance's clock at which the lease ends. A lease is renewed long before;
        look the owner up again to see whether the same epoch holds for longer.
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
    """Why no request for a key may go out now.

    Attributes
    ----------
    code : ResultCode
        ``NO_OWNER``, ``LEASE_EXPIRED`` or ``KEY_MOVING``.
    detail : str
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
        """Return whether a request may still go out under `owner`.

        Called immediately before the bytes are written.
        """

    def request_started(self, owner: Owner) -> None:
        """Note that a request under `owner` is in flight, so that a revocation waits for it."""

    def request_ended(self, owner: Owner) -> None:
        """Note that the upstream can no longer be running the request."""
