"""Arithmetic of leases: how long each may be counted on, and waited for."""

from datetime import timedelta

from .row import GroupRow
from .rules import Rules
from .timing import LeaseTiming

__all__ = [
    "authority_end",
    "debt_to_write",
    "extension_end",
    "lease_end",
    "lease_validity",
    "needs_stranger_wait",
    "server_validity",
    "owed_end",
]

NOTHING = timedelta()
ROUNDING = timedelta(milliseconds=1)


def authority_end(renewed: timedelta, extended: timedelta, timing: LeaseTiming) -> timedelta:
    """Return the instant until which a coordinator may grant.

    Parameters
    ----------
    renewed : timedelta
        Instant at which the last renewal that succeeded was sent.
    extended : timedelta
        End of the extension by the standbys' consent.
    timing : LeaseTiming
    """
    return max(renewed + timing.held(timing.authority), extended)


def extension_end(asked: timedelta, renewed: timedelta, timing: LeaseTiming) -> timedelta:
    """Return the end of an extension that all standbys consented to.

    Parameters
    ----------
    asked : timedelta
        Instant at which the standbys were asked.
    renewed : timedelta
        Instant at which the last renewal by the table was sent; bounds the hold.
    timing : LeaseTiming
    """
    return min(asked + timing.held(timing.promise), renewed + timing.held(timing.hold_cap))


def lease_validity(now: timedelta, authority: timedelta, timing: LeaseTiming) -> timedelta:
    """Return the duration of a routing lease granted now; zero or less for none."""
    return min(timing.lease, authority - now)


def lease_end(requested: timedelta, valid: timedelta, timing: LeaseTiming) -> timedelta:
    """Return the end of a routing lease, counted from when it was requested."""
    return requested + timing.held(valid)


def server_validity(now: timedelta, authority: timedelta, timing: LeaseTiming) -> timedelta:
    """Return the duration of a grant to a server, which counts from the receipt.

    The server receives the grant within ``timing.server_call`` or never.
    """
    return timing.held(authority - now) - timing.server_call


def needs_stranger_wait(previous: GroupRow, member: str) -> bool:
    """Return whether the former coordinator may hold leases by consent unknown to `member`."""
    return bool(previous.standbys) and member not in previous.standbys


def owed_end(
    now: timedelta,
    previous: GroupRow,
    member: str,
    promised: timedelta,
    granted: timedelta,
    timing: LeaseTiming,
    rules: Rules,
) -> timedelta:
    """Return the end of all that earlier coordinators hold beyond one renewal's authority.

    Parameters
    ----------
    now : timedelta
        Instant of the reply to the write that made `member` coordinator.
    previous : GroupRow
        The row that the write replaced.
    member : str
    promised : timedelta
        End of the member's last promise as a standby.
    granted : timedelta
        End of the longest lease that the member granted in an earlier term.
    timing : LeaseTiming
    rules : Rules

    Notes
    -----
    A coordinator holds authority for ``timing.authority`` from before a read or write that took
    effect before the takeover, hence before `now`; a successor waits for that in any case. By
    consent the coordinator holds more, but never beyond the promise of each standby it names: a
    standby knows its own promise, others wait for the longest hold. What is owed to coordinators
    before the former one is in ``previous.debt``.
    """
    waits = [NOTHING]
    if rules.inherit_debt:
        waits.append(timing.awaited(previous.debt))
    if rules.remember_own_promises:
        waits.append(promised - now)
    if rules.remember_own_grants:
        waits.append(granted - now)
    if rules.wait_as_stranger and needs_stranger_wait(previous, member):
        waits.append(timing.awaited(timing.hold_cap))
    return now + max(waits)


def debt_to_write(
    now: timedelta,
    previous_debt: timedelta,
    ends: tuple[timedelta, ...],
    stranger: bool,
    timing: LeaseTiming,
    rules: Rules,
) -> timedelta:
    """Return the debt for a row that is about to be written.

    Parameters
    ----------
    now : timedelta
        Instant at which the write is sent, or earlier.
    previous_debt : timedelta
        Debt that still has to be waited for in full.
    ends : tuple of timedelta
        Instants at which leases and promises known to the writer end.
    stranger : bool
        Whether the writer takes over without having been a standby.
    timing : LeaseTiming
    rules : Rules

    Notes
    -----
    A successor waits for the authority of one renewal in any case, so only what goes beyond it
    need be in `ends`. It counts from the reply to its own write, which is later than `now`.
    """
    owed = max([previous_debt, *(end - now for end in ends)])
    if stranger and rules.wait_as_stranger:
        owed = max(owed, timing.hold_cap)
    return owed + ROUNDING if owed > NOTHING else NOTHING
