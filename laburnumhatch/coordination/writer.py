"""Conditional writes by which a member becomes the leader, renews its term and resigns."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..keyspace import LeaseTiming
from .leader import Leader
from .leadership import Leadership, encode_leader
from .reader import LEADER_KEY, LEADER_TABLE, StoreReader
from .store import (
    Committed,
    Expectation,
    NewRow,
    NotExecuted,
    Rejected,
    RowStore,
    StoredRow,
    Unanswered,
)
from .store_clock import StoreClock
from .tenure import Tenure

__all__ = ["LeadershipWriter"]

# Time between a write and the next one if there are further changes.
REWRITE_DELAY = milliseconds(10)
LONG_AGO = timedelta(days=-1)

_log = logbook.Logger("laburnumhatch.member")


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    """A write that was sent and whose answer is outstanding or lost.

    Attributes
    ----------
    sent_at : timedelta
    tenure : Tenure or None
        The tenure in which it was sent; None for an attempt to take over.
    covered_changes : mapping of str to int
        Change counts that it covers, by service.
    former_lease_duration : timedelta
        Longest lease duration of the grants that the leader before may have sent recently.
    """

    sent_at: timedelta
    tenure: Tenure | None
    covered_changes: Mapping[str, int]
    former_lease_duration: timedelta


class LeadershipWriter:
    """Writes the leader's row together with the changes of ownership.

    Parameters
    ----------
    clock : Clock
    store : RowStore
    reader : StoreReader
        Reader that is notified whether the store answers.
    leadership : Leadership
    host : str
    port : int
        Address on which this member accepts streams.
    lease_timing : LeaseTiming
    store_clock : StoreClock
    on_leader_row : callable
        Called with the leader's row, or None if it is absent, after a write was rejected.
    on_elected : callable
        Called when a write has made this member the leader.

    Attributes
    ----------
    tenure : Tenure or None
        The period of leadership while this member leads, otherwise None.
    last_sent_at : timedelta
        When the last write was sent.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: RowStore,
        reader: StoreReader,
        leadership: Leadership,
        host: str,
        port: int,
        lease_timing: LeaseTiming,
        store_clock: StoreClock,
        on_leader_row: Callable[[StoredRow | None], None],
        on_elected: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._reader = reader
        self._leadership = leadership
        self._host = host
        self._port = port
        self._lease_timing = lease_timing
        self._store_clock = store_clock
        self._on_leader_row = on_leader_row
        self._on_elected = on_elected
        self._write_count = 0
        self._pending: dict[int, _PendingWrite] = {}
        self._is_writing = False
        self._is_stopped = False
        self.tenure: Tenure | None = None
        self.last_sent_at = LONG_AGO

    @property
    def leader(self) -> Leader | None:
        """The leader's work, once this member leads and has read the recorded owners of keys."""
        return self.tenure.leader if self.tenure is not None else None

    def take_over(self) -> None:
        """Try to become the leader unless a write is in progress.

        The caller has checked that no other leader can have authority.
        """
        if self.tenure is None:
            self._start_write()

    def write(self) -> None:
        """Write as the leader unless a write is in progress, after which remaining changes follow.

        A member that doesn't lead, or not any more, writes nothing: it would take the leadership.
        """
        leadership = self._leadership
        if (
            self.tenure is not None
            and leadership.is_leader
            and not leadership.awaits_witnesses
            and self._may_renew()
        ):
            self._start_write()

    def _may_renew(self) -> bool:
        """Return whether all rows that the store has lost can be written with the leader's row.

        The leader's row alone would tell a successor that the rows of owners are recent.
        """
        return self.leader is None or self.leader.generation == self._store.generation

    def _start_write(self) -> None:
        if self._is_writing or self._is_stopped or not self._leadership.is_row_known:
            return
        self._is_writing = True
        writing = Deferred.fromCoroutine(self._write_once())
        writing.addErrback(
            lambda f: _log.error(
                "failed to write the leader's row or apply the result: {}", f.getTraceback()
            )
        )
        writing.addBoth(lambda _: self._on_write_finished())

    def forget_pending(self) -> None:
        """Take no write that was sent so far for done, because the store has lost history."""
        self._pending.clear()

    def confirm_row(self, row: StoredRow, write_number: int) -> None:
        """Confirm a write of this member by its row, since the answer may have been lost."""
        if write_number in self._pending:
            self._acknowledge(row, write_number)

    async def resign(self) -> None:
        """Record in the store that this member has sent its last order as the leader."""
        self._is_stopped = True
        while self._is_writing:
            pause: Deferred[None] = Deferred()
            self._clock.call_later(REWRITE_DELAY, pause.callback, None)
            await pause
        leadership, row = self._leadership, self._leadership.row
        if row is None or not leadership.is_leader or leadership.awaits_witnesses:
            return
        if not self._may_renew():
            leadership.is_leader = False
            return
        new = NewRow(LEADER_TABLE, LEADER_KEY, self._next_row(is_resigning=True))
        expected = Expectation(LEADER_TABLE, LEADER_KEY, row.version)
        result = await self._store.write([expected], [new])
        _log.info("resigned as leader: {}", type(result).__name__)
        self._leadership.is_leader = False

    def resume(self) -> None:
        """Allow this member to become the leader again after it has resigned."""
        self._is_stopped = False

    def _on_write_finished(self) -> None:
        self._is_writing = False
        # Does not retry while the store is unavailable; the next renewal tries again.
        if self._reader.is_store_available and self.leader is not None and self.leader.is_dirty:
            self._clock.call_later(REWRITE_DELAY, self.write)

    async def _write_once(self) -> None:
        sent_at = self.last_sent_at = self._clock.now()
        tenure = self.tenure
        if tenure is None:
            self._leadership.consider_predecessor(sent_at)
        row = self._leadership.row
        expected = [Expectation(LEADER_TABLE, LEADER_KEY, row.version if row is not None else 0)]
        rows = [NewRow(LEADER_TABLE, LEADER_KEY, self._next_row())]
        covered_changes: Mapping[str, int] = {}
        if self.leader is not None:
            lease_expectations, lease_rows, covered_changes = self.leader.rows_to_write()
            expected += lease_expectations
            rows += lease_rows
        write_number = self._write_count
        self._pending[write_number] = _PendingWrite(
            sent_at, tenure, covered_changes, self._max_former_lease_duration()
        )
        result = await self._store.write(expected, rows)
        match result:
            case Committed(version=version, time=time):
                self._reader.note_availability(True)
                self._store_clock.update(time, sent_at, self._clock.now())
                if write_number in self._pending:
                    self._acknowledge(StoredRow(LEADER_KEY, rows[0].value, version), write_number)
            case Rejected(rows=rows_found):
                self._handle_rejection(rows_found)
            case NotExecuted(reason=reason):
                self._pending.pop(write_number, None)
                self._reader.note_availability(False, reason)
            case Unanswered(reason=reason):
                self._reader.note_availability(False, reason)

    def _next_row(self, *, is_resigning: bool = False) -> bytes:
        self._write_count += 1
        self._leadership.generation = self._store.generation
        record = self._leadership.next_record(
            self._host,
            self._port,
            self._write_count,
            is_resigning=is_resigning,
            # Before the record is read, nothing is known of the former leader's leases.
            long_holds=self.leader is None or self.leader.has_long_holds,
            renewed_by=self._store_clock.store_time_at_most(self._clock.now()),
        )
        return encode_leader(record)

    def _max_former_lease_duration(self) -> timedelta:
        row, record = self._leadership.row, self._leadership.record
        has_no_leader = row is None if record is None else record.has_resigned
        if has_no_leader and (record is None or not record.long_holds):
            return self._lease_timing.lease_duration
        # The former leader may have lost the store and then granted the longest lease duration.
        return self._lease_timing.max_lease_duration

    def _handle_rejection(self, rows_found: tuple[StoredRow, ...]) -> None:
        if self.leader is not None:
            for row in rows_found:
                if row.key != LEADER_KEY:
                    self.leader.set_row_version(row.key, row.version)
        self._on_leader_row(next((row for row in rows_found if row.key == LEADER_KEY), None))

    def _acknowledge(self, row: StoredRow, write_number: int) -> None:
        write = self._pending[write_number]
        self._pending = {n: w for n, w in self._pending.items() if n > write_number}
        if write.tenure is not self.tenure:
            # A late renewal elects nobody. Its sender knows no more which leases it has granted.
            self._leadership.observe_row(row, self._clock.now())
            return
        self._leadership.confirm_write(row, write.sent_at, self._clock.now())
        if self.leader is not None:
            self.leader.confirm_written(write.covered_changes, row.version)
        elif self.tenure is None and self._leadership.is_leader and not self._is_stopped:
            self.tenure = Tenure(write.former_lease_duration)
            self._on_elected()
