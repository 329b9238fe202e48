"""What the ownership decisions ask to be done, and what they are told."""

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
    """Write the group's row if the version that stands is one less than the row's."""

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
    """Report `Drained` once no request runs that the lease no longer covers.

    Attributes
    ----------
    version : int
        Only owners from before this version count.
    coordinator : str
        Instance that revoked them; empty where a newer row was adopted.
    """

    version: int
    coordinator: str = ""


Effect = ReadRow | WriteRow | SendMessage | SendGrants | LeaseChanged | AwaitDrain


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class RowRead:
    """A read ended.

    Attributes
    ----------
    sent_at : timedelta
        Instant at which the read was sent.
    is_available : bool
        False where the table did not answer.
    row : GroupRow or None
        None where the row is absent.
    """

    sent_at: timedelta
    is_available: bool
    row: GroupRow | None = None


class WriteOutcome(Enum):
    """What became of a conditional write."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """A write ended; `current` is the row that stands after a conflict."""

    writer: str
    sent_at: timedelta
    outcome: WriteOutcome
    current: GroupRow | None = None


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message of another instance, or of this one, arrived."""

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
    """The planner asks for moves.

    Attributes
    ----------
    servers : tuple of str
        Names that the moves' indices stand for.
    moves : tuple of Move
    lost : frozenset of str
        Servers that are held to be gone.
    """

    servers: tuple[str, ...]
    moves: tuple[Move, ...]
    lost: frozenset[str]


@dataclass(frozen=True, slots=True)
class Drained:
    """The answer to `AwaitDrain`."""

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
