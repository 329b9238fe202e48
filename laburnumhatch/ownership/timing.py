"""Durations of the ownership protocol."""

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
        Time for which a coordinator may grant leases, counted from the sending of its last
        successful renewal.
    renew_interval : timedelta
        Time between two renewals of a coordinator's authority.
    server_grant_interval : timedelta
        Time between two renewals of a server's grants.
    max_lease_duration : timedelta
        Longest duration of a routing lease.
    lease_request_interval : timedelta
        Time between two lease requests of an entry instance.
    promise_duration : timedelta
        Time for which a standby that gives its consent doesn't move any slot or key.
    max_hold_duration : timedelta
        Longest time for which a coordinator holds authority by consent alone.
    silence_timeout : timedelta
        Time without a message from the coordinator after which the first standby takes over.
    candidate_stagger : timedelta
        Additional time that each further candidate waits before it takes over.
    retry_interval : timedelta
        Time before a call or write without a definite outcome is repeated.
    isolation_timeout : timedelta
        Time for which a coordinator may fail to reach the table before a standby that reaches it
        takes over.
    server_call_timeout : timedelta
        Longest time in which a call may still reach a server; after it, the server never receives
        the call.
    settle_delay : timedelta
        Time after the last move before the row is written only to record that all moves are
        complete.
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
        """Return how long its holder may use a lease of `duration`, whatever the clock drift."""
        return duration * (1.0 - self.max_clock_drift)

    def wait_duration(self, duration: timedelta) -> timedelta:
        """Return how long to wait until a lease of `duration` held elsewhere has surely ended."""
        return duration * (1.0 + self.max_clock_drift)
