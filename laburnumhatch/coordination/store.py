"""Interface of the shared store, which holds rows and supports transactions.

The store may come back from an older copy of itself. It then begins a new generation, in which it
gives out its version numbers again. A version here holds the generation as well, so that versions
never go back and none is given out twice.
"""

from collections.abc import Callable, Sequence
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
    "generation_of",
    "version_in_generation",
]

# Number of bits of a version that hold the store's own number of it.
NUMBER_BITS = 40


def version_in_generation(generation: int, number: int) -> int:
    """Return the version that the store numbers `number` in a generation.

    Examples
    --------
    >>> version_in_generation(1, 1) > version_in_generation(0, 999_999)
    True
    >>> version_in_generation(0, 7)
    7
    """
    return (generation << NUMBER_BITS) | number


def generation_of(version: int) -> int:
    """Return the generation of the store in which a version was read or written.

    Examples
    --------
    >>> generation_of(version_in_generation(3, 12))
    3
    """
    return version >> NUMBER_BITS


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
    """Rows in tables; transactions over them are linearizable.

    Attributes
    ----------
    generation : int
        Generation of the store as far as an answer has shown it.
    """

    generation: int

    def add_generation_handler(self, handler: Callable[[int], None]) -> None:
        """Call ``handler(generation)`` when an answer shows that a new generation has begun.

        It is called before the answer is returned. No later result holds rows of an earlier
        generation, and a write that was sent in one counts as unanswered.
        """

    async def read(self, table: str) -> RowsRead | NotExecuted | Unanswered:
        """Return all rows of a table."""

    async def read_row(self, table: str, key: str) -> RowsRead | NotExecuted | Unanswered:
        """Return one row, or no rows if it is absent."""

    async def write(
        self, expected: Sequence[Expectation], rows: Sequence[NewRow]
    ) -> Committed | Rejected | NotExecuted | Unanswered:
        """Write the rows in one transaction if all expectations hold."""
