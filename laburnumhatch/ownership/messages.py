"""Messages between entry instances about ownership."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = [
    "Consent",
    "ConsentRequest",
    "CoordinatorNotice",
    "Handover",
    "KeyLoad",
    "LeaseGrant",
    "LeaseOffer",
    "LeaseRefusal",
    "LeaseRequest",
    "LoadReport",
    "OWNERSHIP_MESSAGES",
    "OwnershipMessage",
    "PromiseQuery",
    "PromiseReply",
    "Revocation",
    "RevocationAck",
    "RowCopy",
    "SlotLoad",
]


@dataclass(frozen=True, slots=True)
class RowCopy:
    """A group's row as read from the table."""

    version: int
    writer: str
    value: bytes


@dataclass(frozen=True, slots=True)
class OwnershipMessage:
    """Fields that every message carries.

    Attributes
    ----------
    service : str
    group : int
    member : str
        The sender, as ``NAME/INCARNATION``.
    """

    service: str
    group: int
    member: str


@dataclass(frozen=True, slots=True)
class LeaseRequest(OwnershipMessage):
    """An entry instance asks for a routing lease.

    Attributes
    ----------
    number : int
        Identifies the request in the answer.
    version : int
        Version of the row that the instance already has.
    acked_version : int
        No request of the instance runs under an owner from before this version.
    """

    number: int
    version: int
    acked_version: int


@dataclass(frozen=True, slots=True)
class LeaseGrant(OwnershipMessage):
    """A coordinator grants a routing lease.

    Attributes
    ----------
    holder : str
        Member that sent the request. Another member that receives the grant forwards it.
    number : int
    version : int
        Version of the row that the lease is for.
    validity : timedelta
        Duration of the lease, counted from the sending of the request.
    closed_slots, closed_keys : tuple of int
        Slots and key hashes that are moving; the lease does not cover them.
    row : RowCopy or None
        The row, if the holder has another version.
    """

    holder: str
    number: int
    version: int
    validity: timedelta
    closed_slots: tuple[int, ...]
    closed_keys: tuple[int, ...]
    row: RowCopy | None


@dataclass(frozen=True, slots=True)
class LeaseRefusal(OwnershipMessage):
    """An instance that can't grant a lease reports what it knows of the coordinator.

    Attributes
    ----------
    number : int
    has_heard_coordinator : bool
        Whether the sender has lately had a message from `coordinator`.
    coordinator : str
        Coordinator in the latest row that the sender knows; empty if it knows none.
    row : RowCopy or None
        That row, if the instance that asked has another version.
    """

    number: int
    has_heard_coordinator: bool
    coordinator: str
    row: RowCopy | None


@dataclass(frozen=True, slots=True)
class LeaseOffer(OwnershipMessage):
    """A coordinator announces that slots have completed a move and a new lease covers them.

    Attributes
    ----------
    version : int
        Version of the row that the lease is for.
    """

    version: int


@dataclass(frozen=True, slots=True)
class CoordinatorNotice(OwnershipMessage):
    """A new coordinator announces itself with its row."""

    row: RowCopy


@dataclass(frozen=True, slots=True)
class Revocation(OwnershipMessage):
    """A coordinator forbids requests to the former owners of these slots and keys."""

    version: int
    slots: tuple[int, ...]
    keys: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RevocationAck(OwnershipMessage):
    """An instance confirms that it runs no request under the owners revoked by `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class ConsentRequest(OwnershipMessage):
    """A coordinator that can't reach the table asks a standby to promise not to move anything.

    Attributes
    ----------
    standby : str
        Member that is asked.
    number : int
    version : int
        Latest version of the row that the coordinator knows of.
    is_write_unresolved : bool
        Whether another write of the coordinator may have taken effect.
    since_renewal : timedelta
        Time since the coordinator's last renewal by the table.
    """

    standby: str
    number: int
    version: int
    is_write_unresolved: bool
    since_renewal: timedelta


@dataclass(frozen=True, slots=True)
class Consent(OwnershipMessage):
    """A standby's answer to a `ConsentRequest`."""

    number: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class PromiseQuery(OwnershipMessage):
    """A new coordinator that was not a standby asks a former standby for its last promise.

    Attributes
    ----------
    standby : str
        Member named in the former row.
    row : RowCopy
        The new coordinator's row.
    """

    standby: str
    row: RowCopy


@dataclass(frozen=True, slots=True)
class PromiseReply(OwnershipMessage):
    """A former standby replies when its last promise ends, and gives earlier coordinators no other.

    Attributes
    ----------
    version : int
        Version of the row in the query.
    remaining : timedelta
        Time until the last promise ends.
    """

    version: int
    remaining: timedelta


@dataclass(frozen=True, slots=True)
class Handover(OwnershipMessage):
    """A coordinator that is stopping asks another instance to take over at once."""

    version: int


@dataclass(frozen=True, slots=True)
class SlotLoad:
    """Load of a slot in seconds of server work a second."""

    slot: int
    load: float


@dataclass(frozen=True, slots=True)
class KeyLoad:
    """Load of a key in seconds of server work a second."""

    key_hash: int
    load: float


@dataclass(frozen=True, slots=True)
class LoadReport(OwnershipMessage):
    """Load that one entry instance sent to the slots of a group.

    Attributes
    ----------
    slots : tuple of SlotLoad
        Load of each slot, that of all its keys included.
    keys : tuple of KeyLoad
        The hottest keys.
    """

    slots: tuple[SlotLoad, ...]
    keys: tuple[KeyLoad, ...]


OWNERSHIP_MESSAGES: tuple[type, ...] = (
    Consent,
    ConsentRequest,
    CoordinatorNotice,
    Handover,
    LeaseGrant,
    LeaseRefusal,
    LeaseRequest,
    LoadReport,
    PromiseQuery,
    PromiseReply,
    Revocation,
    RevocationAck,
    LeaseOffer,
)
