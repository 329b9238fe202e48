"""In-memory platform services with injectable failures."""

from dataclasses import dataclass, field

from .interfaces import (
    Absent,
    Conflict,
    ListedInstance,
    OutcomeUnknown,
    Row,
    Unavailable,
    Written,
)

__all__ = ["MemoryInstanceList", "MemoryObjectStore", "MemoryTable"]


@dataclass
class MemoryTable:
    """In-memory table.

    Attributes
    ----------
    rows : dict of str to Row
        Rows by key.
    down : bool
        Whether every call fails with `Unavailable`.
    lost_replies : int
        Number of following writes that take effect but return `OutcomeUnknown`.
    lost_writes : int
        Number of following writes that return `OutcomeUnknown` without effect.
    reads, writes : int
        Number of calls so far, including those that failed.
    """

    rows: dict[str, Row] = field(default_factory=dict)
    down: bool = False
    lost_replies: int = 0
    lost_writes: int = 0
    reads: int = 0
    writes: int = 0

    async def read(self, key: str) -> Row | Absent | Unavailable:
        """Return the current row."""
        self.reads += 1
        if self.down:
            return Unavailable("the table is down")
        return self.rows.get(key) or Absent(key)

    async def write(
        self, key: str, value: bytes, expected_version: int, writer: str
    ) -> Written | Conflict | Unavailable | OutcomeUnknown:
        """Write a row if its version is `expected_version`."""
        self.writes += 1
        if self.down:
            return Unavailable("the table is down")
        if self.lost_writes > 0:
            self.lost_writes -= 1
            return OutcomeUnknown("the write was lost")
        current = self.rows.get(key)
        current_version = current.version if current is not None else 0
        if current_version != expected_version:
            return Conflict(current)
        self.rows[key] = Row(key, current_version + 1, writer, value)
        if self.lost_replies > 0:
            self.lost_replies -= 1
            return OutcomeUnknown("the reply was lost")
        return Written(current_version + 1)


@dataclass
class MemoryObjectStore:
    """In-memory object store; every call fails with `Unavailable` while it is `down`."""

    objects: dict[str, bytes] = field(default_factory=dict)
    down: bool = False

    async def get(self, name: str) -> bytes | Absent | Unavailable:
        """Return the content of an object."""
        if self.down:
            return Unavailable("the object store is down")
        return self.objects.get(name, Absent(name))

    async def put(self, name: str, content: bytes) -> Written | Unavailable | OutcomeUnknown:
        """Store an object."""
        if self.down:
            return Unavailable("the object store is down")
        self.objects[name] = content
        return Written(1)


@dataclass
class MemoryInstanceList:
    """In-memory instance list; every call fails with `Unavailable` while it is `down`."""

    instances: tuple[ListedInstance, ...] = ()
    down: bool = False

    async def fetch(self) -> tuple[ListedInstance, ...] | Unavailable:
        """Return the list."""
        if self.down:
            return Unavailable("the instance list is down")
        return self.instances
