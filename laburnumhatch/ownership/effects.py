"""Effects that the ownership decisions return, and events that they handle."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..planning.interfaces import Move
from .grants import GrantAnswer, GrantSet
from .messages import OwnershipMessage
from .row import GroupRow

__all__ = [
    "AwaitDrain",
    "Drained",
    "Effect",
    "Event",
    "LeaseChanged",
    "MessageArrived",
    "MovesPlanned",
    "ReadRow",
    "RowRead",
    "SendMessage",
    "ServerAnswered",
    "StopRequested",
    "SendGrants",
    "Tick",
    "WriteAnswered",
    "WriteOutcome",
    "WriteRow",
]


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the group's row."""


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the group's row if the version in the table is one less than the row's version."""

    row: GroupRow


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the instance called `instance`."""

    instance: str
    message: OwnershipMessage


@dataclass(frozen=True, slots=True)
class SendGrants:
    """Send grants and revocations to a server."""

    server: str
    grants: GrantSet


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The routing lease of this instance has changed."""


@dataclass(frozen=True, slots=True)
class AwaitDrain:
    """Report `Drained` once no request is in flight that the lease no longer covers.

    Attributes
    ----------
    version : int
        Only requests under owners from before this version are awaited.
    coordinator : str
        Instance that revoked the owners; empty if a newer row was adopted instead.
    """

    version: int
    coordinator: str = ""


Effect = ReadRow | WriteRow | SendMessage | SendGrants | LeaseChanged | AwaitDrain


@dataclass(frozen=True, slots=True)
class Tick:
    """A periodic timer fired."""


@dataclass(frozen=True, slots=True)
class RowRead:
    """A read of the row ended.

    Attributes
    ----------
    sent_at : timedelta
        Instant at which the read was sent.
    is_available : bool
        False if the table did not answer with a usable row or with its absence.
    row : GroupRow or None
        None if the row is absent.
    """

    sent_at: timedelta
    is_available: bool
    row: GroupRow | None = None


class WriteOutcome(Enum):
    """Outcome of a conditional write."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """A write ended; `current` is the row in the table after a conflict, if known."""

    writer: str
    sent_at: timedelta
    outcome: WriteOutcome
    current: GroupRow | None = None


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message from another instance, or from this one, arrived."""

    instance: str
    message: OwnershipMessage


@dataclass(frozen=True, slots=True)
class ServerAnswered:
    """A server answered, or failed to answer, a `SendGrants`."""

    server: str
    sent_at: timedelta
    grants: GrantSet
    answer: GrantAnswer


@dataclass(frozen=True, slots=True)
class MovesPlanned:
    """The planner requested moves.

    Attributes
    ----------
    servers : tuple of str
        Names of the servers that the moves refer to by index.
    moves : tuple of Move
    lost : frozenset of str
        Servers that are considered lost.
    """

    servers: tuple[str, ...]
    moves: tuple[Move, ...]
    lost: frozenset[str]


@dataclass(frozen=True, slots=True)
class Drained:
    """The requests that an `AwaitDrain` waited for have ended."""

    version: int
    coordinator: str


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The instance is stopping."""


Event = (
    Tick
    | RowRead
    | WriteAnswered
    | MessageArrived
    | ServerAnswered
    | MovesPlanned
    | Drained
    | StopRequested
)
