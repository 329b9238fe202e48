"""Interface of the shared store, which holds rows and supports transactions."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

__all__ = [
    "Committed",
    "Expectation",
    "NewRow",
    "NotExecuted",
    "Rejected",
    "RowStore",
    "RowsRead",
    "StoredRow",
    "Unanswered",
]


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row; `version` increases with each transaction that changes the row."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows of a table at one instant; `time` is the store's monotonic time, if known."""

    rows: tuple[StoredRow, ...]
    time: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Expectation:
    """The version that a row must have for a write to take effect; 0 if it must be absent."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class NewRow:
    """A row to be written."""

    table: str
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Committed:
    """All rows were written with `version`; `time` is the store's monotonic time, if known."""

    version: int
    time: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """Nothing was written because an expectation failed; `rows` are the current rows."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The store answered that it did not carry out the call."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer arrived; a write may have taken effect or may still do so."""

    reason: str


class RowStore(Protocol):
    """Rows in tables; transactions over them are linearizable."""

    async def read(self, table: str) -> RowsRead | NotExecuted | Unanswered:
        """Return all rows of a table."""

    async def read_row(self, table: str, key: str) -> RowsRead | NotExecuted | Unanswered:
        """Return one row, or no rows if it is absent."""

    async def write(
        self, expected: Sequence[Expectation], rows: Sequence[NewRow]
    ) -> Committed | Rejected | NotExecuted | Unanswered:
        """Write the rows in one transaction if all expectations hold."""
