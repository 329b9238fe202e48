"""Look-up of owners, which runs on the path of every request."""

from datetime import timedelta

from ..clocks import milliseconds
from ..results import ResultCode
from .owner import NoOwner, Owner
from .row import GroupRow
from .state import LONG_AGO, RoutingLease

__all__ = ["Lookup", "build_lookup", "empty_lookup"]

RETRY_AFTER = milliseconds(500)


class Lookup:
    """The owners of one group's slots and keys under one routing lease.

    Parameters
    ----------
    service : str
    first_slot : int
    servers : tuple of (str or None)
        For each slot, its owner, or None if requests may not be sent.
    epochs : tuple of int
    keys : dict of int to tuple of (str or None, int)
        Owner and epoch of each key hash that has its own entry or is moving.
    expires : timedelta

    Notes
    -----
    A look-up takes one array access, and one dictionary access if any key has its own entry.
    """

    __slots__ = ("service", "first_slot", "servers", "epochs", "keys", "expires")

    def __init__(
        self,
        service: str,
        first_slot: int,
        servers: tuple[str | None, ...],
        epochs: tuple[int, ...],
        keys: dict[int, tuple[str | None, int]],
        expires: timedelta,
    ) -> None:
        self.service = service
        self.first_slot = first_slot
        self.servers = servers
        self.epochs = epochs
        self.keys = keys
        self.expires = expires

    def owner_of(self, key_hash: int, slot: int, now: timedelta) -> Owner | NoOwner:
        """Return the owner of a key hash that lies in `slot`."""
        if now >= self.expires:
            detail = "the instance's lease on the key's owner has ended"
            return NoOwner(ResultCode.LEASE_EXPIRED, detail, RETRY_AFTER)
        offset = slot - self.first_slot
        key_entry = self.keys.get(key_hash) if self.keys else None
        server, epoch = (
            key_entry if key_entry is not None else (self.servers[offset], self.epochs[offset])
        )
        if server is None:
            detail = f"slot {slot} is moving to another server"
            return NoOwner(ResultCode.KEY_MOVING, detail, RETRY_AFTER)
        return Owner(self.service, slot, server, epoch, self.expires, key_hash)

    def is_current(self, owner: Owner, now: timedelta) -> bool:
        """Return whether `owner` is still valid under the current lease."""
        return now < self.expires and self.covers(owner.key_hash, owner.slot, owner.epoch)

    def covers(self, key_hash: int, slot: int, epoch: int) -> bool:
        """Return whether the lease covers a key under `epoch`, without regard to its end."""
        key_entry = self.keys.get(key_hash) if self.keys else None
        if key_entry is not None:
            return key_entry[0] is not None and key_entry[1] == epoch
        offset = slot - self.first_slot
        if not 0 <= offset < len(self.servers):
            return False
        return self.servers[offset] is not None and self.epochs[offset] == epoch


def empty_lookup() -> Lookup:
    """Return the look-up of an instance that holds no lease."""
    return Lookup("", 0, (), (), {}, LONG_AGO)


def build_lookup(service: str, lease: RoutingLease) -> Lookup:
    """Return the look-up for a routing lease, in time linear in the number of slots."""
    row = lease.row
    if row is None:
        return empty_lookup()
    names: tuple[str | None, ...] = (*row.servers, None)
    servers = [names[owner] for owner in row.owners]
    for slot in lease.closed_slots:
        servers[slot - row.first_slot] = None
    return Lookup(
        service,
        row.first_slot,
        tuple(servers),
        row.epochs,
        _key_owners(row, lease),
        lease.expires,
    )


def _key_owners(row: GroupRow, lease: RoutingLease) -> dict[int, tuple[str | None, int]]:
    keys: dict[int, tuple[str | None, int]] = {
        key.key_hash: (row.servers[key.server], key.epoch) for key in row.keys if key.server >= 0
    }
    keys.update((key_hash, (None, 0)) for key_hash in lease.closed_keys)
    return keys
