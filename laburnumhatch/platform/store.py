"""Client of the platform's store of rows."""

import base64
import binascii
from collections.abc import Callable, Sequence
from typing import Annotated
from urllib.parse import urlencode

import logbook
import msgspec

from ..clocks import Clock, milliseconds
from ..clocks.duration_text import parse_duration
from ..coordination.store import (
    Committed,
    Expectation,
    NewRow,
    NotExecuted,
    Rejected,
    RowsRead,
    StoredRow,
    Unanswered,
    generation_of,
    version_in_generation,
)
from ..documents import decode_document
from ..transport import HttpCaller, Response
from .headers import STORE_GENERATION, find_header, parse_store_generation

__all__ = ["PlatformStore"]

OK = 200
CONDITION_FAILED = 412
UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
# Maximum number of rows in one answer, according to the store's documentation.
PAGE_ROWS = 500
# Longer than the slowest answer time that the users' site files configure, 87 times 8 ms.
CALL_TIMEOUT = milliseconds(900)
NUMBER_MASK = version_in_generation(1, 0) - 1

_log = logbook.Logger("laburnumhatch.platform")


_Version = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MASK)]


class _Row(msgspec.Struct):
    key: str
    # Version of the row.
    ver: _Version
    # Content in Base64.
    value: str | None = None


class _Page(msgspec.Struct):
    rows: list[_Row]
    # Time of the store's monotonic clock.
    now: str
    # Whether further rows follow this page.
    truncated: bool = False


class _UncheckedPage(msgspec.Struct):
    """A page whose rows are decoded one by one."""

    rows: list[msgspec.Raw]
    now: str
    truncated: bool = False


class _Condition(msgspec.Struct):
    table: str
    # Partition of the row.
    part: str
    key: str
    # Version that the row must have; 0 if the row must be absent.
    ver: int


class _Put(msgspec.Struct):
    table: str
    part: str
    key: str
    # Content in Base64.
    value: str


class _Transaction(msgspec.Struct):
    expected: list[_Condition]
    put: list[_Put]
    remove: list[_Condition] = []


class _CommitAnswer(msgspec.Struct):
    # Version of the rows that were written.
    ver: _Version
    # Time of the store's monotonic clock.
    now: str


class _RejectionAnswer(msgspec.Struct):
    # Current state of the rows that the transaction has conditions for.
    rows: list[_Row] = []


_row_decoder = msgspec.json.Decoder(_Row)
_unchecked_page_decoder = msgspec.json.Decoder(_UncheckedPage)
_page_decoder = msgspec.json.Decoder(_Page)
_commit_decoder = msgspec.json.Decoder(_CommitAnswer)
_rejection_decoder = msgspec.json.Decoder(_RejectionAnswer)


class PlatformStore:
    """Client of the platform's store of rows, which uses only the empty partition.

    Parameters
    ----------
    caller : HttpCaller
        Sends the HTTP calls.
    clock : Clock
    host : str
        IP address.
    port : int

    Attributes
    ----------
    call_counts : dict of (str, str) to int
        Number of calls so far, by path and outcome.
    generation : int
        Highest generation of the store that an answer has shown.
    """

    def __init__(self, caller: HttpCaller, clock: Clock, host: str, port: int) -> None:
        self._caller = caller
        self._clock = clock
        self._host = host
        self._port = port
        self._generation_handlers: list[Callable[[int], None]] = []
        self._has_answered = False
        # The last error of a row that was left out, by table; each is logged once.
        self._row_errors: dict[str, str] = {}
        self.call_counts: dict[tuple[str, str], int] = {}
        self.generation = 0

    def add_generation_handler(self, handler: Callable[[int], None]) -> None:
        """Call ``handler(generation)`` when an answer shows that a new generation has begun."""
        self._generation_handlers.append(handler)

    async def read(
        self, table: str, *, skips_invalid_rows: bool = False
    ) -> RowsRead | NotExecuted | Unanswered:
        """Return all rows of a table, ordered by key.

        Parameters
        ----------
        table : str
        skips_invalid_rows : bool, optional
            Whether a row without a valid key and version is left out, and not the whole answer
            invalid.

        Notes
        -----
        A table of more than one page is read page by page, so its rows are not a consistent
        snapshot.
        """
        rows: list[StoredRow] = []
        start = ""
        while True:
            generation = self.generation
            query = {"table": table, "part": "", "from": start}
            page = await self._read_page(query, skips_invalid_rows=skips_invalid_rows)
            if not isinstance(page, _Page):
                return page
            if rows and generation != self.generation:
                return Unanswered("the store's generation changed between two pages")
            rows += [self._decode_row(row) for row in page.rows]
            if not page.truncated or not page.rows:
                return RowsRead(tuple(rows), parse_duration(page.now))
            start = page.rows[-1].key + "\0"

    async def read_row(self, table: str, key: str) -> RowsRead | NotExecuted | Unanswered:
        """Return the row with a key, or no row if it is absent."""
        page = await self._read_page(
            {"table": table, "part": "", "from": key, "target": key + "\0"}
        )
        if not isinstance(page, _Page):
            return page
        rows = tuple(self._decode_row(row) for row in page.rows)
        return RowsRead(rows, parse_duration(page.now))

    async def write(
        self, expected: Sequence[Expectation], rows: Sequence[NewRow]
    ) -> Committed | Rejected | NotExecuted | Unanswered:
        """Write rows in one transaction if all expectations hold."""
        generation, is_known = self.generation, self._has_answered
        if any(e.version and generation_of(e.version) != generation for e in expected):
            return NotExecuted("a row that the write expects is of an earlier generation")
        body = msgspec.json.encode(
            _Transaction(
                [_Condition(e.table, "", e.key, e.version & NUMBER_MASK) for e in expected],
                [_Put(r.table, "", r.key, base64.b64encode(r.value).decode()) for r in rows],
            )
        )
        response = await self._call(b"POST", "/rows-tx", body)
        if not isinstance(response, Response):
            return response
        try:
            if response.status == OK and is_known and generation != self.generation:
                # Versions are given out again, so the condition may have held by chance.
                return Unanswered("the store's generation changed during the write")
            if response.status == OK:
                commit = decode_document(_commit_decoder.decode, response.body)
                version = version_in_generation(self.generation, commit.ver)
                return Committed(version, parse_duration(commit.now))
            if response.status == CONDITION_FAILED:
                rejection = decode_document(_rejection_decoder.decode, response.body)
                return Rejected(tuple(self._decode_row(row) for row in rejection.rows))
        except ValueError as e:
            return Unanswered(f"the answer is invalid: {e}")
        return self._classify_error(response)

    async def _read_page(
        self, query: dict[str, str], *, skips_invalid_rows: bool = False
    ) -> _Page | NotExecuted | Unanswered:
        parameters = {name: value for name, value in query.items() if value or name == "part"}
        response = await self._call(
            b"GET", f"/rows-get?{urlencode(parameters)}&limit={PAGE_ROWS}", b""
        )
        if not isinstance(response, Response):
            return response
        if response.status != OK:
            return self._classify_error(response)
        try:
            try:
                page = decode_document(_page_decoder.decode, response.body)
            except ValueError:
                if not skips_invalid_rows:
                    raise
                page = self._decode_valid_rows(query["table"], response.body)
            parse_duration(page.now)
            return page
        except ValueError as e:
            return Unanswered(f"the answer is invalid: {e}")

    def _decode_valid_rows(self, table: str, body: bytes) -> _Page:
        unchecked = decode_document(_unchecked_page_decoder.decode, body)
        rows = []
        for raw in unchecked.rows:
            try:
                rows.append(decode_document(_row_decoder.decode, bytes(raw)))
            except ValueError as e:
                if self._row_errors.get(table) != str(e):
                    self._row_errors[table] = str(e)
                    _log.warning("ignoring an invalid row of the table {}: {}", table, e)
        return _Page(rows, unchecked.now, unchecked.truncated)

    async def _call(
        self, method: bytes, path: str, body: bytes
    ) -> Response | NotExecuted | Unanswered:
        response = await self._caller.call(
            self._host, self._port, method, path.encode(), body, CALL_TIMEOUT
        )
        outcome = (
            str(response.status) if isinstance(response, Response) else type(response).__name__
        )
        label = (path.partition("?")[0], outcome)
        self.call_counts[label] = self.call_counts.get(label, 0) + 1
        if isinstance(response, Response):
            is_current = self._observe_generation(response)
            return response if is_current else Unanswered("an answer of an earlier generation")
        if response.was_not_sent:
            return NotExecuted(response.reason)
        return Unanswered(response.reason)

    def _observe_generation(self, response: Response) -> bool:
        """Update the generation from an answer; return False if the answer is of an earlier one."""
        is_first, self._has_answered = not self._has_answered, True
        shown = parse_store_generation(find_header(response.fields, STORE_GENERATION))
        if shown is None or shown == self.generation:
            return True
        if is_first:
            _log.info("the store is in generation {}", shown)
            self.generation = shown
        elif shown > self.generation:
            _log.warning("the store has come back from an older copy, generation {}", shown)
            self.generation = shown
            for handler in self._generation_handlers:
                handler(shown)
        return shown == self.generation

    def _classify_error(self, response: Response) -> NotExecuted | Unanswered:
        if response.status in (UNAVAILABLE, TOO_MANY_REQUESTS):
            return NotExecuted(f"status {response.status}")
        return Unanswered(f"status {response.status}: {response.body[:200]!r}")

    def _decode_row(self, row: _Row) -> StoredRow:
        try:
            value = base64.b64decode(row.value or "", validate=True)
        except (binascii.Error, ValueError):
            # Invalid Base64 becomes an empty value, which the decoder of the content then reports.
            value = b""
        return StoredRow(row.key, value, version_in_generation(self.generation, row.ver))
