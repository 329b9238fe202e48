"""What the product asks of a store of rows with transactions."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

__all__ = [
    "Committed",
    "Expectation",
    "NotDone",
    "NewRow",
    "Rejected",
    "RowStore",
    "RowsRead",
    "StoredRow",
    "Unanswered",
]


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row; `version` grows with each transaction of the store that changes the row."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows of a table as of one moment; `time` is what the store's steady clock showed."""

    rows: tuple[StoredRow, ...]
    time: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Expectation:
    """A version that a row must have; 0 where it must be absent."""

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
    """All rows were written, under `version`, at `time` by the store's steady clock."""

    version: int
    time: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """Nothing was written; `rows` are the expected rows as they stand."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True)
class NotDone:
    """The store answered that it did nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer came; a write may have taken effect, or may yet."""

    reason: str


class RowStore(Protocol):
    """Rows in tables; transactions over them are linearizable."""

    async def read(self, table: str) -> RowsRead | NotDone | Unanswered:
        """Return all rows of a table."""

    async def read_row(self, table: str, key: str) -> RowsRead | NotDone | Unanswered:
        """Return one row; no row where it is absent."""

    async def write(
        self, expected: Sequence[Expectation], rows: Sequence[NewRow]
    ) -> Committed | Rejected | NotDone | Unanswered:
        """Write rows if all expectations hold."""
