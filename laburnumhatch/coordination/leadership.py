"""Who leads, by one row of the shared store."""

from dataclasses import dataclass
from datetime import timedelta

import logbook
import msgspec

from ..clocks import milliseconds
from .store import StoredRow

__all__ = ["LeaderRecord", "Leadership", "LeadershipTiming", "decode_leader", "encode_leader"]

_log = logbook.Logger("laburnumhatch.member")


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader as the store names it.

    Attributes
    ----------
    member : str
        Name of the instance and of its start, ``NAME/BOOT``.
    host : str
        IP number.
    port : int
        Of its streams.
    term : int
        Grows with each change of leader.
    has_resigned : bool
        Whether it has sent its last order, so that nobody has to wait for it.
    write : int
        Number of the member's write, by which it knows one whose answer was lost.
    long_holds : bool
        Whether grants with the longest hold may still be in force.
    renewed_by : timedelta or None
        What the store's clock showed at most when the row was sent; None where it wasn't known.
    """

    member: str
    host: str
    port: int
    term: int
    has_resigned: bool
    write: int = 0
    long_holds: bool = False
    renewed_by: timedelta | None = None


@dataclass(frozen=True, slots=True)
class LeadershipTiming:
    """Times of leadership.

    Attributes
    ----------
    authority_duration : timedelta
        How long a leader may act after it sent its last renewal that was acknowledged. Shorter
        than a lease, so that a successor renews the leases before they end.
    renew_interval : timedelta
    clock_margin : timedelta
        What a successor waits beyond the authority, for clocks that differ in rate.
    poll_interval : timedelta
        Between two looks at the row where the leader isn't heard.
    """

    authority_duration: timedelta = milliseconds(1300)
    renew_interval: timedelta = milliseconds(350)
    clock_margin: timedelta = milliseconds(100)
    poll_interval: timedelta = milliseconds(300)


class Leadership:
    """What a member knows of the leader's row.

    Attributes
    ----------
    row : StoredRow or None
        As last seen; None before the first look and where it is absent.
    record : LeaderRecord or None
        Its content; None where there is none or it can't be read.
    is_leader : bool
        Whether this member wrote the row.
    renewed_at : timedelta
        When the last write that was acknowledged was sent.
    """

    def __init__(self, member: str, timing: LeadershipTiming) -> None:
        self._member = member
        self._timing = timing
        self._observed_at: timedelta | None = None
        self._expired_version = -1
        self.row: StoredRow | None = None
        self.record: LeaderRecord | None = None
        self.is_leader = False
        self.renewed_at = timedelta(days=-1)

    @property
    def authority_ends_at(self) -> timedelta:
        """Instant up to which this member may act as the leader."""
        return self.renewed_at + self._timing.authority_duration

    def has_authority(self, now: timedelta) -> bool:
        """Return whether this member may act as the leader now."""
        return self.is_leader and now < self.authority_ends_at

    def observe_row(
        self, row: StoredRow | None, now: timedelta, store_time: timedelta | None = None
    ) -> None:
        """Take the row as a read or a failed write showed it.

        Parameters
        ----------
        row : StoredRow or None
        now : timedelta
        store_time : timedelta, optional
            What the store's clock showed at the read. With it, the end of the leader's authority is
            known at the first look, as after the loss of all instances.
        """
        if row is not None and store_time is not None:
            self._note_store_time(row, store_time)
        if self._observed_at is not None and _version(row) <= _version(self.row):
            return
        self.row = row
        self.record = decode_leader(row.value) if row is not None else None
        self._observed_at = now
        if self.is_leader and (self.record is None or self.record.member != self._member):
            self.is_leader = False

    def _note_store_time(self, row: StoredRow, store_time: timedelta) -> None:
        record = decode_leader(row.value)
        if record is None or record.renewed_by is None:
            return
        end = record.renewed_by + self._timing.authority_duration + self._timing.clock_margin
        if store_time > end:
            self._expired_version = max(self._expired_version, row.version)

    def observe_renewal(self, version: int, now: timedelta) -> None:
        """Take the leader's own word that it renewed the row as `version`."""
        if self.row is not None and version > self.row.version:
            self.row = StoredRow(self.row.key, self.row.value, version)
            self._observed_at = now

    def confirm_write(self, row: StoredRow, sent_at: timedelta, now: timedelta) -> None:
        """Take a write of this member that took effect."""
        self.row = row
        self.record = decode_leader(row.value)
        self._observed_at = now
        self.is_leader = self.record is not None and not self.record.has_resigned
        self.renewed_at = max(self.renewed_at, sent_at)

    def may_take_over(self, now: timedelta) -> bool:
        """Return whether the leader's authority has ended for certain."""
        if self.is_leader or self._observed_at is None:
            return False
        if self.record is None or self.record.has_resigned:
            return True
        if self.row is not None and self.row.version <= self._expired_version:
            return True
        return now > self._observed_at + self._timing.authority_duration + self._timing.clock_margin

    def next_record(
        self,
        host: str,
        port: int,
        write_number: int,
        *,
        is_resigning: bool = False,
        long_holds: bool = False,
        renewed_by: timedelta | None = None,
    ) -> LeaderRecord:
        """Return the row that this member would write now."""
        term = self.record.term if self.record is not None else 0
        if not self.is_leader:
            term += 1
        return LeaderRecord(
            self._member, host, port, term, is_resigning, write_number, long_holds, renewed_by
        )


def encode_leader(record: LeaderRecord) -> bytes:
    """Return the row's value."""
    return msgspec.json.encode(record)


def decode_leader(value: bytes) -> LeaderRecord | None:
    """Return the record in a row's value, or None where it can't be read."""
    try:
        return msgspec.json.decode(value, type=LeaderRecord)
    except msgspec.MsgspecError as e:
        _log.error("the leader's row can't be read and counts as absent: {}", e)
        return None


def _version(row: StoredRow | None) -> int:
    return row.version if row is not None else -1
