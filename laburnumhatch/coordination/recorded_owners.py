"""The owners of keys that a new leader reads from the rows of its predecessors."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

import logbook

from ..keyspace import LeaseTiming, OwnershipMap, ServiceLeases, decode_record
from ..keyspace.lost_history import adopt_outdated_record, unknown_leases_end
from ..keyspace.row import ServiceRecord, decode_last_token
from ..keyspace.service_leases import adopt_record
from .store import StoredRow, generation_of

__all__ = ["RecordedOwners", "restore_owners"]

LONG_AGO = timedelta(days=-1)

_log = logbook.Logger("laburnumhatch.leader")


@dataclass(slots=True)
class RecordedOwners:
    """The leases of the services that have a row, and what else the rows tell.

    Attributes
    ----------
    generation : int
        Generation of the store in which the rows were read.
    services : dict of str to ServiceLeases
    unreadable : set of str
        Services whose row tells nothing. Their keys can't be granted, under any token.
    unrecorded_until : timedelta
        Instant until which leases may be left of which there is no record.
    long_holds_until : timedelta
        Instant until which leases with the longest duration may be left.
    """

    generation: int
    services: dict[str, ServiceLeases] = field(default_factory=dict)
    unreadable: set[str] = field(default_factory=set)
    unrecorded_until: timedelta = LONG_AGO
    long_holds_until: timedelta = LONG_AGO


def restore_owners(
    rows: Iterable[StoredRow],
    generation: int,
    timing: LeaseTiming,
    lease_duration: timedelta,
    lost_authority_ends_at: timedelta | None,
    local_time_after: Callable[[timedelta], timedelta | None],
    known_maps: Mapping[str, OwnershipMap],
    now: timedelta,
) -> RecordedOwners:
    """Restore the leases from rows that were read after the election.

    Parameters
    ----------
    rows : iterable of StoredRow
        The rows of all services that have one.
    generation : int
        Present generation of the store.
    timing : LeaseTiming
    lease_duration : timedelta
        Longest lease duration of the grants that a former leader may have sent recently.
    lost_authority_ends_at : timedelta or None
        Instant by which no leader whose rows the store has lost has authority, if it has lost any.
    local_time_after : callable
        Returns the local instant by which the store's clock has certainly passed a given time, or
        None if the store's time is unknown.
    known_maps : mapping of str to OwnershipMap
        The maps that this member last received from a leader, by service. They tell more recent
        owners than rows that the store has brought back from a copy.
    now : timedelta

    Notes
    -----
    The leases of a row that is older than the present generation are counted from now, when the
    authority of all former leaders is over. `lost_authority_ends_at` may be the end of an earlier
    loss: the last leader may have acted after the row, and before it could write its own.
    """
    owners = RecordedOwners(generation)
    unknown_end = unknown_leases_end(timing, now)
    if lost_authority_ends_at is not None:
        owners.unrecorded_until = unknown_leases_end(timing, lost_authority_ends_at)
    if lease_duration > timing.lease_duration:
        owners.long_holds_until = timing.latest_expiry(now, lease_duration)
    for row in rows:
        record = _decode(row)
        if record is None:
            owners.unreadable.add(row.key)
            continue
        leases = owners.services[row.key] = ServiceLeases(row.key, row_version=row.version)
        if record.generation >= generation_of(row.version):
            adopt_record(leases, record, timing, lease_duration, local_time_after, now)
            continue
        _log.warning(
            "the ownership record of service {} does not tell the last owners: its keys are "
            "granted anew once no unknown lease can be left",
            row.key,
        )
        adopt_outdated_record(leases, record, generation, timing, now, known_maps.get(row.key))
        owners.unrecorded_until = max(owners.unrecorded_until, unknown_end)
        owners.long_holds_until = max(owners.long_holds_until, unknown_end)
    _log.info("restored the leases of {} services", len(owners.services))
    return owners


def _decode(row: StoredRow) -> ServiceRecord | None:
    """Return a row's record, without ranges if only its last token can be read."""
    try:
        return decode_record(row.value)
    except ValueError as e:
        last_token = decode_last_token(row.value)
        _log.error(
            "the ownership record of service {} can't be decoded: {}; its last token is {}",
            row.key,
            e,
            last_token,
        )
    # The tokens of an earlier generation, of which there is none.
    return None if last_token is None else ServiceRecord(last_token, (), -1)
