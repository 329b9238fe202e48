"""Timer of a timeout, for decisions that depend on input."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from .clock import Cancellable, Clock

__all__ = ["Timeout"]


class Timeout:
    """Scheduled call that runs only once the input of the moment at which it is due has been read.

    After a pause of the process or of its event loop, a reactor runs the due calls before it reads
    what has arrived meanwhile. A timeout would then be decided against an answer that is there.

    Parameters
    ----------
    clock : Clock
    delay : timedelta
    call : callable
        Called as ``call(*args)``.
    """

    def __init__(
        self, clock: Clock, delay: timedelta, call: Callable[..., Any], *args: Any
    ) -> None:
        self._clock = clock
        self._call = call
        self._args = args
        self._timer: Cancellable = clock.call_later(delay, self._read_first)

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self._timer.active()

    def cancel(self) -> None:
        """Cancel the call; raise an error if it has already run or been cancelled."""
        self._timer.cancel()

    def _read_first(self) -> None:
        """Run the call in the next round of the event loop, after it has read the input."""
        self._timer = self._clock.call_later(timedelta(), self._call, *self._args)
