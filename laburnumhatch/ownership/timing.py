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
    authority : timedelta
        How long a coordinator may grant after it sent a renewal that succeeded.
    renew_interval : timedelta
        Time between two renewals.
    grant_interval : timedelta
        Time between two renewals of a server's grants.
    lease : timedelta
        Longest routing lease.
    pull_interval : timedelta
        Time between an entry instance's requests for a lease.
    promise : timedelta
        How long a standby that consents moves nothing.
    hold_cap : timedelta
        Longest time a coordinator goes on by consent alone.
    silence : timedelta
        Time without word from the coordinator before the first standby takes over.
    stagger : timedelta
        Further time for each candidate after the first.
    retry : timedelta
        Time before an unsettled call is repeated.
    isolation : timedelta
        How long a coordinator may fail to reach the table before a standby that does takes over.
    server_call : timedelta
        Longest time until a server has received a call, or never will.
    settle_delay : timedelta
        Time after the last move until a row is written only to say that it is settled.
    drift : float
        Bound on the relative difference between the rates of two clocks.
    """

    authority: timedelta = milliseconds(1500)
    renew_interval: timedelta = milliseconds(400)
    grant_interval: timedelta = milliseconds(600)
    lease: timedelta = milliseconds(1200)
    pull_interval: timedelta = milliseconds(300)
    promise: timedelta = milliseconds(2000)
    hold_cap: timedelta = timedelta(minutes=10)
    silence: timedelta = milliseconds(700)
    stagger: timedelta = milliseconds(300)
    retry: timedelta = milliseconds(200)
    isolation: timedelta = milliseconds(3000)
    server_call: timedelta = milliseconds(300)
    settle_delay: timedelta = milliseconds(2000)
    drift: float = 0.01

    def held(self, duration: timedelta) -> timedelta:
        """Return how long a holder may count on a lease of `duration`."""
        return duration * (1.0 - self.drift)

    def awaited(self, duration: timedelta) -> timedelta:
        """Return how long to wait for another's lease of `duration` to end."""
        return duration * (1.0 + self.drift)
