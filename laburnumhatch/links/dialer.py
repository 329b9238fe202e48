"""Dials one entry instance, again and again until a stream is open."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clocks import Cancellable, Clock, milliseconds

__all__ = ["Dialer", "PeerAddress", "backoff_delay"]

INITIAL_BACKOFF = milliseconds(100)
MAX_BACKOFF = milliseconds(2000)
# Of two instances the one whose name comes first dials; the other waits this long for it.
SECOND_DIALER_DELAY = milliseconds(1000)


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where an entry instance accepts streams; `host` is an IP number."""

    name: str
    host: str
    port: int


def backoff_delay(failure_count: int, jitter: float) -> timedelta:
    """Return how long to wait before the next attempt.

    Parameters
    ----------
    failures : int
        Attempts that failed since a stream was last open.
    jitter : float
        Random number in [0, 1).

    Notes
    -----
    The bound doubles with each failure up to two seconds; the delay is spread over the upper
    half of the bound.

    Examples
    --------
    >>> backoff_delay(1, 0.0), backoff_delay(60, 0.0)
    (datetime.timedelta(microseconds=50000), datetime.timedelta(seconds=1))
    """
    max_delay = min(INITIAL_BACKOFF * 2 ** min(failure_count - 1, 10), MAX_BACKOFF)
    return max_delay * (0.5 + 0.5 * jitter)


class Dialer:
    """Attempts to reach one instance.

    Parameters
    ----------
    clock : Clock
    address : PeerAddress
    goes_first : bool
        Whether this instance dials without waiting for the other's stream.
    dial : callable
        Starts one attempt; its end is reported by `attempt_failed` or `stream_opened`.
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
        """Where the instance is dialled."""
        return self._address

    def start(self) -> None:
        """Schedule the first attempt."""
        self._schedule(
            timedelta() if self._dials_first else SECOND_DIALER_DELAY * (1.0 + self._jitter())
        )

    def stop(self) -> None:
        """Make no more attempts."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def stream_opened(self) -> None:
        """Make no attempts while a stream is open."""
        self._failure_count = 0
        self.stop()

    def attempt_failed(self) -> None:
        """Schedule the next attempt."""
        self._failure_count += 1
        self._schedule(backoff_delay(self._failure_count, self._jitter()))

    def _schedule(self, delay: timedelta) -> None:
        self.stop()
        self._timer = self._clock.call_later(delay, self._dial, self._address)
