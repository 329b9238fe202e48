"""Expiry of grants by the clock of the server that holds them."""

from dataclasses import dataclass
from datetime import timedelta

from ..clocks import to_milliseconds

__all__ = ["ServerClock", "grant_end"]


@dataclass(frozen=True, slots=True)
class ServerClock:
    """A reading of a server's monotonic clock.

    Attributes
    ----------
    name : str
        Identifies the clock. Each process of the server has its own.
    reading_ms : int
        Milliseconds since the clock's origin.
    received_at : timedelta
        Instant of this instance's clock at which the reading arrived, which is later than the
        instant at which it was taken.
    """

    name: str
    reading_ms: int
    received_at: timedelta


def grant_end(clock: ServerClock, sent_at: timedelta, validity: timedelta) -> int:
    """Return the instant of a server's clock, in milliseconds, at which a grant ends.

    Parameters
    ----------
    clock : ServerClock
    sent_at : timedelta
        Instant of this instance's clock from which `validity` is counted.
    validity : timedelta

    Notes
    -----
    The reading was taken before it was received, so the server's clock reaches the returned
    instant no later than this instance's clock reaches ``sent_at + validity``, however late the
    grant arrives. A duration counted from the receipt gives no such bound: a server that was
    frozen reads a grant from its socket's buffer only after it resumes.

    Examples
    --------
    >>> clock = ServerClock("c", 5000, timedelta(seconds=1))
    >>> grant_end(clock, timedelta(seconds=3), timedelta(seconds=2))
    9000
    """
    return clock.reading_ms + to_milliseconds(sent_at - clock.received_at + validity)
