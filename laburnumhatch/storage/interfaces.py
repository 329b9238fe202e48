"""Interfaces of the platform's table, object store and instance list."""

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
        1 at creation; each write increments it.
    writer : str
        Unique identifier of the write that created this version.
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
    """Failure of a call without effect: a read, or a write that was not done; it can be retried."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Failure of a write without a conclusive reply; it may have taken effect or still do so."""

    reason: str


@dataclass(frozen=True, slots=True)
class Written:
    """Success of a write, which created `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Failure of a conditional write that found another version; nothing was written.

    Attributes
    ----------
    current : Row or None
        The current row; None if the row does not exist.
    """

    current: Row | None


class Table(Protocol):
    """The platform's transactional table."""

    async def read(self, key: str) -> Row | Absent | Unavailable:
        """Return the current row; the read is linearizable."""

    async def write(
        self, key: str, value: bytes, expected_version: int, writer: str
    ) -> Written | Conflict | Unavailable | OutcomeUnknown:
        """Write a row if its version is `expected_version`, or if it is absent for 0."""


class ObjectStore(Protocol):
    """The platform's store of immutable objects."""

    async def get(self, name: str) -> bytes | Absent | Unavailable:
        """Return the content of an object."""

    async def put(self, name: str, content: bytes) -> Written | Unavailable | OutcomeUnknown:
        """Store an object; storing the same content again is idempotent."""


class InstanceState(StrEnum):
    """State of an instance according to the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's instance list, which lags behind the actual state.

    It is read from and written to JSON by the names of its fields.

    Attributes
    ----------
    name : str
    host : str
        IP address.
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
        """Return the platform's current list."""
