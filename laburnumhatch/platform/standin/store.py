"""Stand-in of the platform's store of rows, with fault injection."""

import base64
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs

import msgspec

from ...clocks import Clock, milliseconds
from ...clocks.duration_text import format_duration
from ...coordination.store import StoredRow
from ...transport import CallerRequest
from ..headers import STORE_GENERATION

__all__ = ["StandinStore", "StoreCopy", "StoreFaults"]

# Delay of each answer without faults.
ANSWER_DELAY = milliseconds(4)
# Bounds of the delay after which a write without an answer is executed.
MIN_LATE_DELAY_S = 1.0
MAX_LATE_DELAY_S = 6.0
# Tables that the instances may only read.
READ_ONLY_TABLES = frozenset({"op", "servers"})


@dataclass(slots=True)
class StoreFaults:
    """Injected faults of the store.

    Attributes
    ----------
    is_down : bool
        Whether every call is answered with status 503.
    is_silent : bool
        Whether calls are neither answered nor executed.
    slowdown : float
        Factor by which the delay of each answer grows.
    lost_share : float
        Share of the writes that are executed without an answer.
    late_share : float
        Share of the writes that are executed seconds later without an answer, if their conditions
        still hold.
    """

    is_down: bool = False
    is_silent: bool = False
    slowdown: float = 1.0
    lost_share: float = 0.0
    late_share: float = 0.0

    @property
    def is_fault_free(self) -> bool:
        """Whether no fault is injected."""
        return self == StoreFaults()


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of the rows of a store, by table and key, and of the last version it had given out."""

    rows: dict[tuple[str, str], StoredRow]
    version: int


class _RowName(msgspec.Struct, frozen=True):
    table: str
    part: str
    key: str


class _Condition(_RowName, frozen=True):
    ver: int


class _Put(_RowName, frozen=True):
    value: str


class _Transaction(msgspec.Struct):
    expected: list[_Condition] = []
    put: list[_Put] = []
    remove: list[_RowName] = []


class StandinStore:
    """Store that keeps its rows in memory.

    Parameters
    ----------
    clock : Clock
    random_source : random.Random

    Attributes
    ----------
    faults : StoreFaults
    generation : int
        Number in all answers, which rises each time the store comes back from a copy.
    """

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self._clock = clock
        self._random_source = random_source
        self._rows: dict[tuple[str, str], StoredRow] = {}
        self._version = 0
        self.faults = StoreFaults()
        self.generation = 1

    def copy(self) -> StoreCopy:
        """Return a copy, from which `restore` brings the store back."""
        return StoreCopy(dict(self._rows), self._version)

    def restore(self, copied: StoreCopy) -> None:
        """Come back from a copy: what the instances wrote since is lost.

        The operator and the upstreams write their rows again.
        """
        lost = self._rows
        self._rows, self._version = dict(copied.rows), copied.version
        self.generation += 1
        for table, key in [name for name in self._rows if name[0] in READ_ONLY_TABLES]:
            del self._rows[table, key]
        for (table, key), row in lost.items():
            if table in READ_ONLY_TABLES:
                self.put(table, key, row.value)

    def get(self, table: str, key: str) -> StoredRow | None:
        """Return a row, or None if it is absent."""
        return self._rows.get((table, key))

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row without conditions, as the operator and the upstreams do."""
        self._version += 1
        self._rows[table, key] = StoredRow(key, value, self._version)

    def remove(self, table: str, key: str) -> None:
        """Remove a row if it exists."""
        self._version += 1
        self._rows.pop((table, key), None)

    def handle(self, request: CallerRequest) -> None:
        """Execute and answer an HTTP call, subject to the injected faults."""
        faults = self.faults
        if faults.is_silent:
            return
        if faults.is_down:
            self._answer(request, 503, {})
            return
        path, _, query = request.target.decode().partition("?")
        if path == "/rows-get" and request.method == b"GET":
            self._read(request, {name: values[0] for name, values in parse_qs(query).items()})
        elif path == "/rows-tx" and request.method == b"POST":
            self._write(request)
        else:
            self._answer(request, 404, {})

    def _read(self, request: CallerRequest, query: dict[str, str]) -> None:
        start, end = query.get("from", ""), query.get("target")
        limit = int(query.get("limit", "500"))
        found = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"] and start <= key and (end is None or key < end)
        ]
        rows = [_encode_row(row) for row in found[:limit]]
        self._answer(request, 200, {"rows": rows, "truncated": len(found) > limit})

    def _write(self, request: CallerRequest) -> None:
        transaction = msgspec.json.decode(bytes(request.body), type=_Transaction)
        if any(name.table in READ_ONLY_TABLES for name in (*transaction.put, *transaction.remove)):
            self._answer(request, 403, {})
            return
        draw = self._random_source.random()
        if draw < self.faults.late_share:
            delay = timedelta(
                seconds=self._random_source.uniform(MIN_LATE_DELAY_S, MAX_LATE_DELAY_S)
            )
            self._clock.call_later(delay, self._execute, transaction)
            return
        status, body = self._execute(transaction)
        if draw >= 1.0 - self.faults.lost_share:
            request.abort_response()
        else:
            self._answer(request, status, body)

    def _execute(self, transaction: _Transaction) -> tuple[int, dict[str, Any]]:
        found = [self._rows.get((c.table, c.key)) for c in transaction.expected]
        versions = [row.version if row is not None else 0 for row in found]
        if versions != [condition.ver for condition in transaction.expected]:
            return 412, {"rows": [_encode_row(row) for row in found if row is not None]}
        self._version += 1
        for put in transaction.put:
            row = StoredRow(put.key, base64.b64decode(put.value), self._version)
            self._rows[put.table, put.key] = row
        for name in transaction.remove:
            self._rows.pop((name.table, name.key), None)
        return 200, {}

    def _answer(self, request: CallerRequest, status: int, body: dict[str, Any]) -> None:
        content = msgspec.json.encode(
            {**body, "ver": self._version, "now": format_duration(self._clock.now())}
        )
        fields = [
            (b"content-type", b"application/json"),
            (STORE_GENERATION, b"%d" % self.generation),
        ]
        send: Callable[[], None] = lambda: request.respond(status, fields, content)  # noqa: E731
        self._clock.call_later(ANSWER_DELAY * self.faults.slowdown, send)


def _encode_row(row: StoredRow) -> dict[str, Any]:
    return {"key": row.key, "ver": row.version, "value": base64.b64encode(row.value).decode()}
