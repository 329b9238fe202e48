"""Ownership grants, with fencing tokens, that an upstream stand-in holds."""

from dataclasses import dataclass, field
from datetime import timedelta

from pydantic import Field

from ..clocks import Clock, milliseconds
from ..settings import CheckedModel

__all__ = ["GrantMessage", "GrantStore", "KeyGrant", "SlotGrant"]

MAX_SLOT = 2**20
KEY_HASH = r"^[0-9a-f]{16}$"


class SlotRange(CheckedModel):
    """Slots from `first` to `last` inclusive, and the epoch of their grant."""

    first: int = Field(ge=0, lt=MAX_SLOT)
    last: int = Field(ge=0, lt=MAX_SLOT)
    epoch: int = Field(ge=0)


class SlotGrant(SlotRange):
    """Grant of a range of slots for a limited time, or until revocation if no time is given."""

    valid_ms: int | None = Field(default=None, ge=0)


class KeyRevocation(CheckedModel):
    """Hash of a single key, and the epoch of its grant."""

    hash: str = Field(pattern=KEY_HASH)
    epoch: int = Field(ge=0)


class KeyGrant(KeyRevocation):
    """Grant of a single key for a limited time, or until revocation if no time is given."""

    valid_ms: int | None = Field(default=None, ge=0)


class GrantMessage(CheckedModel):
    """Body of ``POST /grants``.

    Attributes
    ----------
    clock : str or None
        Identifier of the server clock that `until_ms` refers to.
    until_ms : int or None
        Expiry time of the grants on that clock, regardless of when the message arrives. It
        replaces the ``valid_ms`` of each grant.
    """

    service: str
    clock: str | None = None
    until_ms: int | None = None
    grants: tuple[SlotGrant, ...] = ()
    keys: tuple[KeyGrant, ...] = ()
    revoked: tuple[SlotRange, ...] = ()
    revoked_keys: tuple[KeyRevocation, ...] = ()


@dataclass(slots=True)
class _StoredGrant:
    epoch: int
    expires: timedelta | None


SlotOrKeyHash = int | str


@dataclass
class GrantStore:
    """Current grants and lowest accepted epochs, by slot and by key hash.

    Parameters
    ----------
    clock : Clock
    honours_expiry : bool
        Whether grants expire; otherwise only fencing tokens are compared.

    Notes
    -----
    An entry for a key takes precedence over the entry for its slot. A revocation with epoch `e`
    rejects every epoch up to `e`, so that a duplicated or delayed grant cannot restore the revoked
    one. Epochs are learnt only from grants and revocations: a request for a single key whose
    grant has not arrived yet must not fence the slot that contains the key.
    """

    clock: Clock
    honours_expiry: bool = True
    min_accepted_epochs: dict[SlotOrKeyHash, int] = field(default_factory=dict)
    _held: dict[SlotOrKeyHash, _StoredGrant] = field(default_factory=dict)

    def apply(self, message: GrantMessage) -> int | None:
        """Apply a message, or return the newer epoch if it supersedes one of the grants.

        The revocations are applied in either case; the grants are applied all or none.
        """
        self._revoke(message)
        granted = _expand_grants(message)
        lowest_epochs = [
            self.min_accepted_epochs.get(slot_or_key, 0) for slot_or_key, epoch, _ in granted
        ]
        newer_epochs = [
            n for n, (_, epoch, _) in zip(lowest_epochs, granted, strict=True) if n > epoch
        ]
        if newer_epochs:
            return max(newer_epochs)
        for slot_or_key, epoch, valid_ms in granted:
            self._grant(slot_or_key, epoch, valid_ms, message.until_ms)
        return None

    def check_token(self, slot: int, key_hash: str | None, epoch: int) -> int | None:
        """Return None if a request may run, and the lowest accepted epoch otherwise.

        Parameters
        ----------
        slot : int
        key_hash : str or None
            16 hexadecimal digits, or None if the request has no key.
        epoch : int
            Fencing token of the request.
        """
        known_key = key_hash is not None and key_hash in self.min_accepted_epochs
        slot_or_key: SlotOrKeyHash = key_hash if known_key and key_hash is not None else slot
        grant = self._held.get(slot_or_key)
        if grant is None or grant.epoch != epoch or self._is_expired(grant):
            return self.min_accepted_epochs.get(slot_or_key, 0)
        return None

    def _grant(
        self, slot_or_key: SlotOrKeyHash, epoch: int, valid_ms: int | None, until_ms: int | None
    ) -> None:
        expires = None
        if until_ms is not None and self.honours_expiry:
            expires = milliseconds(until_ms)
        elif valid_ms is not None and self.honours_expiry:
            expires = self.clock.now() + milliseconds(valid_ms)
        self.min_accepted_epochs[slot_or_key] = epoch
        self._held[slot_or_key] = _StoredGrant(epoch, expires)

    def _revoke(self, message: GrantMessage) -> None:
        revoked: list[tuple[SlotOrKeyHash, int]] = [
            (slot, r.epoch) for r in message.revoked for slot in range(r.first, r.last + 1)
        ]
        revoked += [(key.hash, key.epoch) for key in message.revoked_keys]
        for slot_or_key, epoch in revoked:
            lowest = max(self.min_accepted_epochs.get(slot_or_key, 0), epoch + 1)
            self.min_accepted_epochs[slot_or_key] = lowest
            grant = self._held.get(slot_or_key)
            if grant is not None and grant.epoch < lowest:
                del self._held[slot_or_key]

    def _is_expired(self, grant: _StoredGrant) -> bool:
        return grant.expires is not None and self.clock.now() >= grant.expires


def _expand_grants(message: GrantMessage) -> list[tuple[SlotOrKeyHash, int, int | None]]:
    granted: list[tuple[SlotOrKeyHash, int, int | None]] = [
        (slot, grant.epoch, grant.valid_ms)
        for grant in message.grants
        for slot in range(grant.first, grant.last + 1)
    ]
    granted += [(key.hash, key.epoch, key.valid_ms) for key in message.keys]
    return granted
