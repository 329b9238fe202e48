"""Durations by which leases are kept."""

from dataclasses import dataclass
from datetime import timedelta

from ..clocks import milliseconds

__all__ = ["LeaseTiming"]


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of the ownership protocol.

    Attributes
    ----------
    authority_duration : timedelta
        How long a coordinator may grant after it sent a renewal that succeeded.
    renew_interval : timedelta
        Time between two renewals.
    server_grant_interval : timedelta
        Time between two renewals of a server's grants.
    max_lease_duration : timedelta
        Longest routing lease.
    lease_request_interval : timedelta
        Time between an entry instance's requests for a lease.
    promise_duration : timedelta
        How long a standby that consents moves nothing.
    max_hold_duration : timedelta
        Longest time a coordinator goes on by consent alone.
    silence_timeout : timedelta
        Time without word from the coordinator before the first standby takes over.
    candidate_stagger : timedelta
        Further time for each candidate after the first.
    retry_interval : timedelta
        Time before an unsettled call is repeated.
    isolation_timeout : timedelta
        How long a coordinator may fail to reach the table before a standby that does takes over.
    server_call_timeout : timedelta
        Longest time until a server has received a call, or never will.
    settle_delay : timedelta
        Time after the last move until a row is written only to say that it is settled.
    max_clock_drift : float
        Bound on the relative difference between the rates of two clocks.
    """

    authority_duration: timedelta = milliseconds(1500)
    renew_interval: timedelta = milliseconds(400)
    server_grant_interval: timedelta = milliseconds(600)
    max_lease_duration: timedelta = milliseconds(1200)
    lease_request_interval: timedelta = milliseconds(300)
    promise_duration: timedelta = milliseconds(2000)
    max_hold_duration: timedelta = timedelta(minutes=10)
    silence_timeout: timedelta = milliseconds(700)
    candidate_stagger: timedelta = milliseconds(300)
    retry_interval: timedelta = milliseconds(200)
    isolation_timeout: timedelta = milliseconds(3000)
    server_call_timeout: timedelta = milliseconds(300)
    settle_delay: timedelta = milliseconds(2000)
    max_clock_drift: float = 0.01

    def usable_duration(self, duration: timedelta) -> timedelta:
        """Return how long a holder may count on a lease of `duration`."""
        return duration * (1.0 - self.max_clock_drift)

    def wait_duration(self, duration: timedelta) -> timedelta:
        """Return how long to wait for another's lease of `duration` to end."""
        return duration * (1.0 + self.max_clock_drift)
