"""Lease arithmetic: how long a lease may be used, and how long others wait for its end."""

from datetime import timedelta

from .row import GroupRow
from .rules import Rules
from .timing import LeaseTiming

__all__ = [
    "authority_end",
    "takeover_wait_to_write",
    "extension_end",
    "lease_end",
    "lease_validity",
    "needs_non_standby_wait",
    "server_validity",
    "inherited_leases_end",
]

ZERO_DURATION = timedelta()
# The row holds the wait in whole milliseconds, rounded down; the margin makes up for that.
ROUNDING_MARGIN = timedelta(milliseconds=1)


def authority_end(
    renewed_at: timedelta, extended_until: timedelta, timing: LeaseTiming
) -> timedelta:
    """Return the instant until which a coordinator may grant leases.

    Parameters
    ----------
    renewed_at : timedelta
        Instant at which the last successful renewal was sent.
    extended_until : timedelta
        End of the extension by the standbys' consent.
    timing : LeaseTiming
    """
    return max(renewed_at + timing.usable_duration(timing.authority_duration), extended_until)


def extension_end(asked_at: timedelta, renewed_at: timedelta, timing: LeaseTiming) -> timedelta:
    """Return the end of an extension of authority that all standbys have consented to.

    Parameters
    ----------
    asked_at : timedelta
        Instant at which the standbys were asked.
    renewed_at : timedelta
        Instant at which the last successful renewal by the table was sent. It bounds the total
        time for which authority is extended.
    timing : LeaseTiming
    """
    return min(
        asked_at + timing.usable_duration(timing.promise_duration),
        renewed_at + timing.usable_duration(timing.max_hold_duration),
    )


def lease_validity(now: timedelta, authority: timedelta, timing: LeaseTiming) -> timedelta:
    """Return the duration of a routing lease granted now; zero or less if none can be granted."""
    return min(timing.max_lease_duration, authority - now)


def lease_end(requested: timedelta, validity: timedelta, timing: LeaseTiming) -> timedelta:
    """Return the end of a routing lease, counted from when it was requested."""
    return requested + timing.usable_duration(validity)


def server_validity(now: timedelta, authority: timedelta, timing: LeaseTiming) -> timedelta:
    """Return the duration of a grant to a server, which the server counts from its receipt.

    The server receives the grant within ``timing.server_call_timeout`` or not at all.
    """
    return timing.usable_duration(authority - now) - timing.server_call_timeout


def needs_non_standby_wait(previous: GroupRow, member: str) -> bool:
    """Return whether the former coordinator may hold consent that `member` doesn't know of."""
    return bool(previous.standbys) and member not in previous.standbys


def inherited_leases_end(
    now: timedelta,
    previous: GroupRow,
    member: str,
    promised_until: timedelta,
    granted_until: timedelta,
    timing: LeaseTiming,
    rules: Rules,
) -> timedelta:
    """Return when the authority that earlier coordinators hold beyond one renewal has ended.

    Parameters
    ----------
    now : timedelta
        Instant of the reply to the write that made `member` the coordinator.
    previous : GroupRow
        The row that the write replaced.
    member : str
    promised_until : timedelta
        End of the member's last promise as a standby.
    granted_until : timedelta
        End of the longest lease that the member granted in an earlier term.
    timing : LeaseTiming
    rules : Rules

    Notes
    -----
    A coordinator holds authority for ``timing.authority_duration`` from before a read or write that
    took effect before the takeover, hence before `now`; a successor waits for that in any case. By
    consent the coordinator may hold authority for longer, but never beyond the promise of any
    standby named in its row. A standby knows its own promise; any other successor waits for the
    longest hold. The wait for coordinators before the former one is in ``previous.takeover_wait``.
    """
    waits = [ZERO_DURATION]
    if rules.inherit_takeover_wait:
        waits.append(timing.wait_duration(previous.takeover_wait))
    if rules.remember_own_promises:
        waits.append(promised_until - now)
    if rules.remember_own_grants:
        waits.append(granted_until - now)
    if rules.wait_as_non_standby and needs_non_standby_wait(previous, member):
        waits.append(timing.wait_duration(timing.max_hold_duration))
    return now + max(waits)


def takeover_wait_to_write(
    now: timedelta,
    previous_takeover_wait: timedelta,
    ends: tuple[timedelta, ...],
    is_non_standby: bool,
    timing: LeaseTiming,
    rules: Rules,
) -> timedelta:
    """Return the `GroupRow.takeover_wait` for a row that is about to be written.

    Parameters
    ----------
    now : timedelta
        An instant no later than the sending of the write.
    previous_takeover_wait : timedelta
        Takeover wait of the previous row, which is still due in full.
    ends : tuple of timedelta
        Instants at which the leases and promises known to the writer end.
    is_non_standby : bool
        Whether the writer takes over without being a standby in the row that it replaces.
    timing : LeaseTiming
    rules : Rules

    Notes
    -----
    A successor waits for the authority of one renewal in any case, so `ends` need only hold
    instants beyond that. The successor counts the wait from the reply to its own write, which is
    later than `now`.
    """
    wait = max([previous_takeover_wait, *(end - now for end in ends)])
    if is_non_standby and rules.wait_as_non_standby:
        wait = max(wait, timing.max_hold_duration)
    return wait + ROUNDING_MARGIN if wait > ZERO_DURATION else ZERO_DURATION
