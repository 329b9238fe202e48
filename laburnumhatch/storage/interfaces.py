"""What the product asks of the platform's table, object store and instance list."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

__all__ = [
    "Absent",
    "Conflict",
    "InstanceList",
    "InstanceState",
    "ListedInstance",
    "ObjectStore",
    "OutcomeUnknown",
    "Row",
    "Table",
    "Unavailable",
    "Written",
]


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Attributes
    ----------
    key : str
    version : int
        1 at creation, one more with every write.
    writer : str
        Unique identifier of the write that made this version.
    value : bytes
    """

    key: str
    version: int
    writer: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Absent:
    """The row or object does not exist."""

    key: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call did not take effect, or was only a read, and may be tried again."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A write whose reply did not come; it may have taken effect, now or later."""

    reason: str


@dataclass(frozen=True, slots=True)
class Written:
    """A write that took effect and made `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional write that found another version; nothing was written.

    Attributes
    ----------
    current : Row or None
        The row that stands; None where it is absent.
    """

    current: Row | None


class Table(Protocol):
    """The platform's transactional table."""

    async def read(self, key: str) -> Row | Absent | Unavailable:
        """Return the latest row; the read is linearizable."""

    async def write(
        self, key: str, value: bytes, expected_version: int, writer: str
    ) -> Written | Conflict | Unavailable | OutcomeUnknown:
        """Write a row if its version is `expected_version`; 0 means that it must be absent."""


class ObjectStore(Protocol):
    """The platform's store of immutable objects."""

    async def get(self, name: str) -> bytes | Absent | Unavailable:
        """Return an object's bytes."""

    async def put(self, name: str, content: bytes) -> Written | Unavailable | OutcomeUnknown:
        """Store an object; storing the same content again is idempotent."""


class InstanceState(StrEnum):
    """State that the platform's list gives an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list of instances, which lags behind reality.

    Attributes
    ----------
    name : str
    host : str
        IP number.
    peer_port, admin_port : int
    data_centre : str
    state : InstanceState
    """

    name: str
    host: str
    peer_port: int
    admin_port: int
    data_centre: str
    state: InstanceState


class InstanceList(Protocol):
    """The platform's list of entry instances."""

    async def fetch(self) -> tuple[ListedInstance, ...] | Unavailable:
        """Return the list as the platform knows it now."""
