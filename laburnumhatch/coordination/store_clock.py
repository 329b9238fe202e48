"""The store's steady clock as one member knows it."""

from datetime import timedelta

__all__ = ["StoreClock"]


class StoreClock:
    """Relates the member's clock to the store's.

    Notes
    -----
    An answer shows what the store's clock showed at some moment between the sending of the call and
    the arrival of the answer. Both clocks run at one rate.
    """

    def __init__(self) -> None:
        self._time: timedelta | None = None
        self._sent = timedelta()
        self._received = timedelta()

    def update(self, time: timedelta | None, sent: timedelta, received: timedelta) -> None:
        """Take what an answer shows."""
        if time is not None:
            self._time, self._sent, self._received = time, sent, received

    def store_time_at_most(self, instant: timedelta) -> timedelta | None:
        """Return what the store's clock shows at most at an instant; None where unknown."""
        return None if self._time is None else self._time + (instant - self._sent)

    def local_time_after(self, time: timedelta) -> timedelta | None:
        """Return the instant by which the store's clock has passed a time; None where unknown."""
        return None if self._time is None else self._received + (time - self._time)
