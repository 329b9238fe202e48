"""Conversion between a member's clock and the store's monotonic clock."""

from datetime import timedelta

__all__ = ["StoreClock"]


class StoreClock:
    """Bounds on the relation between the member's clock and the store's clock.

    Notes
    -----
    An answer holds the store's time at some instant between the sending of the call and the arrival
    of the answer. Both clocks are assumed to run at the same rate.
    """

    def __init__(self) -> None:
        self._time: timedelta | None = None
        self._sent_at = timedelta()
        self._received_at = timedelta()

    def update(self, time: timedelta | None, sent_at: timedelta, received_at: timedelta) -> None:
        """Update the bounds with the store's time from an answer."""
        if time is not None:
            self._time, self._sent_at, self._received_at = time, sent_at, received_at

    def reset(self) -> None:
        """Forget the store's time, which may have gone back."""
        self._time = None

    def store_time_at_most(self, instant: timedelta) -> timedelta | None:
        """Return an upper bound of the store's time at a local instant, or None if unknown."""
        return None if self._time is None else self._time + (instant - self._sent_at)

    def local_time_after(self, time: timedelta) -> timedelta | None:
        """Return a local instant by which the store's clock has passed a time, None if unknown."""
        return None if self._time is None else self._received_at + (time - self._time)
