"""Leader election through one row of the shared store."""

from dataclasses import dataclass, replace
from datetime import timedelta

import logbook
import msgspec

from ..clocks import milliseconds
from ..documents import decode_document
from .store import StoredRow, generation_of
from .store_clock import StoreClock
from .witnesses import instance_of

__all__ = [
    "LeaderRecord",
    "Leadership",
    "LeadershipTiming",
    "LostHistory",
    "decode_leader",
    "encode_leader",
]

# Terms of each generation of the store begin above those of the generations before, of which some
# may be lost.
TERMS_PER_GENERATION = 1_000_000
NEVER = timedelta(days=-1)

_log = logbook.Logger("laburnumhatch.member")


@dataclass(frozen=True, slots=True)
class LostHistory:
    """Loss of rows, by which leases may be in force of which there is no record.

    Attributes
    ----------
    authority_ends_by : timedelta or None
        Store's time by which no leader whose row is lost has authority; None if the store's time
        was unknown.
    """

    authority_ends_by: timedelta | None


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader's row, stored as JSON with these field names.

    Attributes
    ----------
    member : str
        Instance name and an identifier of this run of its process, ``NAME/BOOT``.
    host : str
        IP address.
    port : int
        Port on which the leader accepts streams.
    term : int
        Number that increases with each change of leader.
    has_resigned : bool
        Whether the leader has sent its last order, so that a successor needn't wait.
    write : int
        Number of the member's write. It identifies a write whose answer was lost.
    long_holds : bool
        Whether leases with the longest duration may still be in force.
    renewed_by : timedelta or None
        Upper bound of the store's time when the row was sent; None if the store's time was unknown.
    generation : int
        Generation of the store for which the row was written.
    lost_history : LostHistory or None
        The loss that the leader and its successors have to consider; None if nothing is lost.
    no_moves_before : timedelta or None
        Store's time before which the leader and its successors may move no keys, because a former
        leader that doesn't know them may lead on; None if there is none.
    """

    member: str
    host: str
    port: int
    term: int
    has_resigned: bool
    write: int = 0
    long_holds: bool = False
    renewed_by: timedelta | None = None
    generation: int = 0
    lost_history: LostHistory | None = None
    no_moves_before: timedelta | None = None


@dataclass(frozen=True, slots=True)
class LeadershipTiming:
    """Durations of leadership.

    Attributes
    ----------
    authority_duration : timedelta
        Time for which a leader may act after it sent the last renewal that was acknowledged. It is
        shorter than a lease, so that a successor can renew the leases before they expire.
    renew_interval : timedelta
        Time between two renewals of the row.
    clock_margin : timedelta
        Additional time that a successor waits, because clocks may differ in rate.
    resumption_limit : timedelta
        Time after the last acknowledged renewal within which a leader may lead on although the
        store has come back from an older copy, if no later leader is known. A leader that doesn't
        know its predecessor moves no keys within this time. It covers the outages of a few seconds
        in which a store is restored.
    takeover_retry_interval : timedelta
        Time between two attempts to take over. A random duration of up to the same length is added.
    """

    authority_duration: timedelta = milliseconds(1300)
    renew_interval: timedelta = milliseconds(350)
    clock_margin: timedelta = milliseconds(100)
    resumption_limit: timedelta = milliseconds(5000)
    takeover_retry_interval: timedelta = milliseconds(300)


class Leadership:
    """State of the leader election as known to one member.

    When the store comes back from an older copy, its row tells a former state: a later leader may
    have authority although its row is gone. So the authority of any leader is waited for from then
    on, whatever the row says. A leader that has authority itself knows that there is no later one,
    and writes its row again at once. One whose authority is over for a few seconds asks the others
    first. Later leaders learn of the loss from the row. So do those after a leader that had not
    read the recorded owners before the loss: it knows of no later leader, but not what the ones
    before it have granted.

    Parameters
    ----------
    member : str
    timing : LeadershipTiming
    store_clock : StoreClock
    is_first_start : bool
        Whether there can't have been a leader before this process started.

    Attributes
    ----------
    row : StoredRow or None
        The leader's row as last observed; None if it is absent or wasn't read yet.
    record : LeaderRecord or None
        The content of the row; None if the row is absent or can't be decoded.
    is_leader : bool
        Whether this member wrote the row and hasn't resigned.
    renewed_at : timedelta
        When the last acknowledged write of this member was sent.
    generation : int
        Generation of the store.
    lost_authority_ends_at : timedelta or None
        Instant by which no leader whose row is lost has authority; None if no row is lost.
    awaits_witnesses : bool
        Whether this member, whose authority is over, leads on if no other member knows of a later
        leader. It may not act before.
    no_moves_before : timedelta
        Instant before which this member may move no keys as the leader.
    knows_owners : bool
        Whether this member has read the recorded owners of keys since it became the leader.
    highest_term, led_term : int
        Highest term that this member has known, and the last one in which it led.
    """

    def __init__(
        self,
        member: str,
        timing: LeadershipTiming,
        store_clock: StoreClock,
        *,
        is_first_start: bool,
    ) -> None:
        self._member = member
        self._timing = timing
        self._store_clock = store_clock
        # Whether the absence of the row means that it is lost.
        self._must_row_exist = not is_first_start
        self._observed_at: timedelta | None = None
        self._expired_version = -1
        self._generation_began_at: timedelta | None = None
        # Generation that began with the loss of which `lost_authority_ends_at` tells.
        self._lost_generation: int | None = None
        self._is_row_known = False
        # Generation for which the row was written.
        self._row_generation = 0
        # Generation in which this member last renewed its row, and the one in which it leads on.
        self._led_generation = 0
        self._resumed_generation: int | None = None
        # After it leads on, it acts once no unknown leader has authority.
        self._acts_from = NEVER
        # Members of which this one has received updates.
        self._known_leaders: set[str] = set()
        self.awaits_witnesses = False
        self.no_moves_before = NEVER
        self.knows_owners = False
        self.highest_term = self.led_term = 0
        self.generation = 0
        self.lost_authority_ends_at: timedelta | None = None
        self.row: StoredRow | None = None
        self.record: LeaderRecord | None = None
        self.is_leader = False
        self.renewed_at = timedelta(days=-1)

    @property
    def authority_ends_at(self) -> timedelta:
        """Instant until which this member may act as the leader."""
        return self.renewed_at + self._timing.authority_duration

    @property
    def authority_duration(self) -> timedelta:
        """Time for which a leader may act after it sent a renewal that was acknowledged."""
        return self._timing.authority_duration

    def has_authority(self, now: timedelta) -> bool:
        """Return whether this member may act as the leader now."""
        return self.is_leader and self._acts_from <= now < self.authority_ends_at

    @property
    def is_row_known(self) -> bool:
        """Whether the row, on whose version a write depends, is known in this generation."""
        return self._is_row_known

    @property
    def is_row_current(self) -> bool:
        """Whether the row was written in the generation in which it was read."""
        return self.row is not None and (self._row_generation >= generation_of(self.row.version))

    def begin_generation(self, generation: int, now: timedelta) -> None:
        """Forget the row, because the store has come back from an older copy."""
        self.generation = generation
        self.row = None
        self._is_row_known = False
        self._must_row_exist = True
        self._begin_without_history(now)

    def observe_row(
        self, row: StoredRow | None, now: timedelta, store_time: timedelta | None = None
    ) -> None:
        """Update the state with the row that a read or a rejected write returned.

        Parameters
        ----------
        row : StoredRow or None
        now : timedelta
        store_time : timedelta, optional
            The store's time at the read. It allows a new member to detect at its first read that
            the leader's authority has ended, as after the loss of all instances.
        """
        if row is not None and store_time is not None:
            self._detect_expiry(row, store_time)
        if self._is_row_known and _version(row) <= _version(self.row):
            return
        record = decode_leader(row.value) if row is not None else None
        if record is not None:
            self.highest_term = max(self.highest_term, record.term)
        self.row, self._is_row_known = row, True
        self._row_generation = record.generation if record is not None else 0
        self._observed_at = now
        if row is not None:
            self.generation = generation_of(row.version)
        if record is not None and not self.is_row_current:
            self._begin_without_history(now)
            # The recorded leader may still lead, also if it has resigned according to the row.
            self.record = self.record or replace(record, has_resigned=False)
        elif row is None and self._must_row_exist:
            self._begin_without_history(now)
        else:
            self.record = record
            self.lost_authority_ends_at = self._lost_authority_end(record, now)
            if self.is_leader and (record is None or record.member != self._member):
                self.is_leader = self.awaits_witnesses = False

    def _begin_without_history(self, now: timedelta) -> None:
        if self._generation_began_at is None or not self._is_row_known:
            self._generation_began_at = now
        self._end_authority_without_history(now)

    def _end_authority_without_history(self, now: timedelta) -> None:
        """Await the witnesses, or count with a lost leader, unless this member may still lead."""
        if self._has_resumed:
            return
        if self.has_authority(now):
            if not self.knows_owners and self._lost_generation != self.generation:
                # No other leader has authority, but what former ones have granted may be lost.
                self.lost_authority_ends_at = now
                self._lost_generation = self.generation
            return
        if self._may_resume(now):
            self.awaits_witnesses = True
            return
        self.is_leader = self.awaits_witnesses = False
        began_at = now if self._generation_began_at is None else self._generation_began_at
        self.lost_authority_ends_at = began_at + self._timing.authority_duration
        self._lost_generation = self.generation

    def _lost_authority_end(self, record: LeaderRecord | None, now: timedelta) -> timedelta | None:
        if record is None or record.lost_history is None:
            return None
        ends_by = record.lost_history.authority_ends_by
        ends_at = self._store_clock.local_time_after(ends_by) if ends_by is not None else None
        return ends_at if ends_at is not None else now + self._timing.authority_duration

    def step_down_without_history(self, now: timedelta) -> None:
        """End a leadership of an earlier generation whose authority is over.

        A later leader may have been elected, whose row is lost. It leads on if the other members
        show in time that there was none.
        """
        if self.is_leader and not self.is_row_current:
            self._end_authority_without_history(now)

    @property
    def _has_resumed(self) -> bool:
        return self.is_leader and self._resumed_generation == self.generation

    def _may_resume(self, now: timedelta) -> bool:
        """Return whether other members can still show that nobody was elected after this one.

        A leader that didn't know this member can have moved keys only after `resumption_limit`, and
        one of the present generation has its row in the store. The others may elect one soon.
        """
        began_at = self._generation_began_at
        return (
            self.is_leader
            and self.knows_owners
            and began_at is not None
            and self.generation == self._led_generation + 1
            and began_at - self.renewed_at
            < self._timing.resumption_limit - self._timing.clock_margin
            and now - began_at < self._timing.authority_duration
        )

    def resume(self) -> None:
        """Lead on in this generation, because no member has known a later leader.

        A leader that this member doesn't know may have authority for a while, but can't renew it.
        """
        if self._generation_began_at is not None:
            self._acts_from = self._generation_began_at + self._timing.authority_duration
        self.awaits_witnesses = False
        self._resumed_generation = self.generation

    def note_leader_known(self, member: str) -> None:
        """Record that an update of a leader has arrived, so that it knows this member."""
        self._known_leaders.add(member)

    def consider_predecessor(self, now: timedelta) -> None:
        """Set `no_moves_before` before a takeover.

        The recorded leader may lead on without asking this member, unless it knows this member, has
        resigned, or was an earlier process of this instance. The same may hold for leaders before
        it, of which the row tells.
        """
        record = self.record
        self.no_moves_before = NEVER
        limit = self._timing.resumption_limit
        if record is None and self.row is not None:
            # The row can't be decoded.
            self.no_moves_before = now + limit
            return
        if record is None or not self.is_row_current:
            # Without a record of the present generation, no key is moved for longer anyway.
            return
        if record.no_moves_before is not None:
            self.no_moves_before = self._local_time_after(record.no_moves_before, now + limit)
        if record.has_resigned or self._is_known_to(record.member):
            return
        may_resume_until = now + limit
        if record.renewed_by is not None:
            may_resume_until = self._local_time_after(record.renewed_by + limit, may_resume_until)
        self.no_moves_before = max(self.no_moves_before, may_resume_until)

    def _is_known_to(self, leader: str) -> bool:
        """Return whether a leader knows this member, or can't be running any more."""
        is_former_self = instance_of(leader) == instance_of(self._member) and leader != self._member
        return is_former_self or leader in self._known_leaders

    def _local_time_after(self, store_time: timedelta, latest: timedelta) -> timedelta:
        """Return a local instant by which the store's time has passed, `latest` if unknown."""
        instant = self._store_clock.local_time_after(store_time)
        return latest if instant is None else instant

    def _detect_expiry(self, row: StoredRow, store_time: timedelta) -> None:
        record = decode_leader(row.value)
        if record is None or record.renewed_by is None:
            return
        if record.generation < generation_of(row.version):
            # A later renewal may be lost.
            return
        end = record.renewed_by + self._timing.authority_duration + self._timing.clock_margin
        if store_time > end:
            self._expired_version = max(self._expired_version, row.version)

    def observe_renewal(self, version: int, now: timedelta) -> None:
        """Record the leader's announcement that it renewed the row, which now has `version`."""
        if self.row is not None and version > self.row.version:
            self.row = StoredRow(self.row.key, self.row.value, version)
            self._observed_at = now

    def confirm_write(self, row: StoredRow, sent_at: timedelta, now: timedelta) -> None:
        """Record a write of this member that took effect."""
        self.row, self._is_row_known = row, True
        self.record = decode_leader(row.value)
        self._row_generation = self.record.generation if self.record is not None else 0
        self._observed_at = now
        self._led_generation = generation_of(row.version)
        if self.record is not None:
            self.led_term = self.record.term
            self.highest_term = max(self.highest_term, self.led_term)
        self.knows_owners = self.knows_owners and self.is_leader
        self.is_leader = self.record is not None and not self.record.has_resigned
        self.renewed_at = max(self.renewed_at, sent_at)

    def may_take_over(self, now: timedelta) -> bool:
        """Return whether the leader's authority has certainly ended."""
        if self.is_leader or self._observed_at is None or not self._is_row_known:
            return False
        waiting_time = self._timing.authority_duration + self._timing.clock_margin
        if self._generation_began_at is not None and not self.is_row_current:
            # A late write of an earlier generation may have replaced the row of a leader that has
            # authority, unless this row was there when the generation began.
            is_first = self._observed_at <= self._generation_began_at + self._timing.clock_margin
            since = self._generation_began_at if is_first else self._observed_at
            return now > since + waiting_time
        if self.row is None or (self.record is not None and self.record.has_resigned):
            return True
        if self.row.version <= self._expired_version:
            return True
        return now > self._observed_at + waiting_time

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
        """Return the record that this member writes next."""
        lost_history = None
        if self.lost_authority_ends_at is not None:
            lost_history = LostHistory(
                self._store_clock.store_time_at_most(self.lost_authority_ends_at)
            )
        if self.record is not None:
            term = self.record.term
        else:
            term = self.highest_term if self.row is not None else 0
        if not self.is_leader:
            term += 1
        return LeaderRecord(
            self._member,
            host,
            port,
            max(term, self.generation * TERMS_PER_GENERATION),
            is_resigning,
            write_number,
            long_holds,
            renewed_by,
            self.generation,
            lost_history,
            self._no_moves_before_in_store_time(),
        )

    def _no_moves_before_in_store_time(self) -> timedelta | None:
        if self.no_moves_before == NEVER:
            return None
        return self._store_clock.store_time_at_most(self.no_moves_before)


_decoder = msgspec.json.Decoder(LeaderRecord)


def encode_leader(record: LeaderRecord) -> bytes:
    """Return the value of the row that holds a record."""
    return msgspec.json.encode(record)


def decode_leader(value: bytes) -> LeaderRecord | None:
    """Return the record that a row's value holds, or None if it can't be decoded."""
    try:
        return decode_document(_decoder.decode, value)
    except ValueError as e:
        _log.error("the leader's row can't be decoded, so its leader is unknown: {}", e)
        return None


def _version(row: StoredRow | None) -> int:
    return row.version if row is not None else -1
