"""Repeated attempts to dial an entry instance, with exponential backoff."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clocks import Cancellable, Clock, milliseconds

__all__ = ["Dialer", "PeerAddress", "backoff_delay"]

INITIAL_BACKOFF = milliseconds(100)
MAX_BACKOFF = milliseconds(2000)
# Of two instances that dial each other, the one whose name sorts second delays its first attempt by
# one to two times this long, so that usually only one stream is opened.
SECOND_DIALER_DELAY = milliseconds(1000)


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Name and address of an entry instance that accepts streams; `host` is an IP address."""

    name: str
    host: str
    port: int


def backoff_delay(failure_count: int, jitter: float) -> timedelta:
    """Return the delay before the next attempt, by exponential backoff with jitter.

    Parameters
    ----------
    failure_count : int
        Number of attempts that failed since a stream was last open, at least 1.
    jitter : float
        Random number in [0, 1).

    Notes
    -----
    The maximum delay doubles with each failure, up to two seconds. The delay is distributed over
    the upper half of the range up to this maximum.

    Examples
    --------
    >>> backoff_delay(1, 0.0), backoff_delay(60, 0.0)
    (datetime.timedelta(microseconds=50000), datetime.timedelta(seconds=1))
    """
    max_delay = min(INITIAL_BACKOFF * 2 ** min(failure_count - 1, 10), MAX_BACKOFF)
    return max_delay * (0.5 + 0.5 * jitter)


class Dialer:
    """Dialer of one instance, which retries until a stream is open.

    Parameters
    ----------
    clock : Clock
    address : PeerAddress
    dials_first : bool
        Whether the first attempt starts at once, instead of after a delay in which the other
        instance may open the stream.
    dial : callable
        Starts one attempt. Its outcome must be reported by `attempt_failed` or `stream_opened`.
    jitter : callable
        Source of random numbers in [0, 1).
    """

    def __init__(
        self,
        *,
        clock: Clock,
        address: PeerAddress,
        dials_first: bool,
        dial: Callable[[PeerAddress], None],
        jitter: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._address = address
        self._dials_first = dials_first
        self._dial = dial
        self._jitter = jitter
        self._failure_count = 0
        self._timer: Cancellable | None = None

    @property
    def address(self) -> PeerAddress:
        """Name and address of the instance."""
        return self._address

    def start(self) -> None:
        """Schedule the first attempt."""
        self._schedule(
            timedelta() if self._dials_first else SECOND_DIALER_DELAY * (1.0 + self._jitter())
        )

    def stop(self) -> None:
        """Cancel the next attempt."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def stream_opened(self) -> None:
        """Cancel the next attempt and reset the backoff, as a stream is open."""
        self._failure_count = 0
        self.stop()

    def attempt_failed(self) -> None:
        """Schedule the next attempt after the backoff delay."""
        self._failure_count += 1
        self._schedule(backoff_delay(self._failure_count, self._jitter()))

    def _schedule(self, delay: timedelta) -> None:
        self.stop()
        self._timer = self._clock.call_later(delay, self._dial, self._address)
