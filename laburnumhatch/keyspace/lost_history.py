"""Leases that are restored from a record which is older than the last one that was written.

The store may come back from an older copy. What a leader wrote since is gone, also who was granted
which keys and under which tokens, while the upstreams still go by it.
"""

from datetime import timedelta

from .lease import (
    MAX_APPLICATION_DELAY,
    NEVER,
    UNKNOWN_OWNER,
    FormerOwner,
    LeaseTiming,
    Phase,
    RangeLease,
)
from .ownership_map import OwnershipMap
from .row import RecordedRange, ServiceRecord
from .service_leases import ServiceLeases

__all__ = [
    "UNKNOWN_OWNER",
    "adopt_outdated_record",
    "extend_for_unknown_renewals",
    "skip_lost_tokens",
    "unknown_leases_end",
]

# Number of fencing tokens that are skipped for each generation of the store. Within the seconds
# that a copy is older, far fewer are allocated.
TOKENS_PER_GENERATION = 1_000_000


def unknown_leases_end(timing: LeaseTiming, authority_ended_at: timedelta) -> timedelta:
    """Return when no lease and no late grant of a leader is left whose authority has ended."""
    return max(
        timing.latest_expiry(authority_ended_at, timing.max_lease_duration),
        authority_ended_at + MAX_APPLICATION_DELAY,
    )


def skip_lost_tokens(leases: ServiceLeases, generations: int) -> None:
    """Skip the tokens that may have been allocated in lost records of earlier generations."""
    if generations > 0:
        leases.allocate_tokens(generations * TOKENS_PER_GENERATION)


def adopt_outdated_record(
    leases: ServiceLeases,
    record: ServiceRecord,
    generation: int,
    timing: LeaseTiming,
    authority_ended_at: timedelta,
    known_map: OwnershipMap | None = None,
) -> None:
    """Restore the leases from a record that was written in an earlier generation of the store.

    Parameters
    ----------
    leases : ServiceLeases
    record : ServiceRecord
        The record; an empty one if the store holds none.
    generation : int
        Present generation of the store.
    timing : LeaseTiming
    authority_ended_at : timedelta
        Instant by which no leader whose records are lost has authority.
    known_map : OwnershipMap or None
        The map that this instance last received from a leader, if any. Its owners are more recent
        than the recorded ones.

    Notes
    -----
    Any upstream may hold any key, under a token that is not recorded, so there is nobody to be
    fenced or told to release. The last known owners stay a hint for requests, which an upstream
    that doesn't hold the key refuses. They are granted their keys anew, under tokens above all that
    can have been used, once every unknown lease has ended.
    """
    leases.last_token = record.last_token
    skip_lost_tokens(leases, generation - record.generation)
    until = unknown_leases_end(timing, authority_ended_at)
    leases.leases = []
    owned = known_map.ranges if known_map is not None else sorted(record.ranges, key=_first_key)
    for known in owned:
        token = leases.allocate_tokens(2)
        lease = RangeLease(known.first, known.last, known.owner, token, Phase.UNRECORDED)
        lease.former = FormerOwner(UNKNOWN_OWNER, 0, until, until)
        lease.is_confirmed = True
        leases.leases.append(lease)


def extend_for_unknown_renewals(
    leases: ServiceLeases, timing: LeaseTiming, last_grant_at: timedelta
) -> timedelta:
    """Take account of another leader that may have renewed the recorded leases.

    Parameters
    ----------
    leases : ServiceLeases
        The leases as the leader of the record knows them.
    timing : LeaseTiming
    last_grant_at : timedelta
        Instant by which the other leader sent its last grant. It renewed recorded owners under
        their recorded tokens, and did nothing for ranges with a recorded former owner.

    Returns
    -------
    timedelta
        Latest expiry of these leases.
    """
    end = timing.latest_expiry(last_grant_at, timing.max_lease_duration)
    for lease in leases.leases:
        former = lease.former
        if former is None and lease.phase is Phase.UNRECORDED and lease.held_until == NEVER:
            # The recorded owner's leases had ended, and it is not known any more who it was.
            lease.former = FormerOwner(UNKNOWN_OWNER, 0, end, end)
        elif former is None:
            lease.held_until = max(lease.held_until, end)
            lease.unanswered_grant_until = max(lease.unanswered_grant_until, end)
            if not lease.is_token_acknowledged:
                lease.new_token_deadline = last_grant_at + MAX_APPLICATION_DELAY
        elif lease.phase is Phase.UNRECORDED:
            former.expires_at = max(former.expires_at, end)
            former.unanswered_grant_until = max(former.unanswered_grant_until, end)
            former.needs_fencing = former.incarnation != UNKNOWN_OWNER
    return end


def _first_key(recorded: RecordedRange) -> int:
    return recorded.first
