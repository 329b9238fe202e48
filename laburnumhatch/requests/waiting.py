"""Waiting on behalf of one request, until it is interrupted."""

from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred

from ..clocks import Clock
from ..results import Refusal

__all__ = ["CancelScope"]


class CancelScope:
    """What one request waits for, one thing at a time.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    interruption : Refusal or None
        Why the whole request was given up.
    call_end_reason : str or None
        Why only the present upstream call was given up.
    """

    def __init__(self, clock: Clock) -> None:
        self.interruption: Refusal | None = None
        self.call_end_reason: str | None = None
        self._clock = clock
        self._pending: Deferred[Any] | None = None

    @property
    def reason(self) -> str | None:
        """Why the present wait was cancelled, or None where it was not."""
        if self.interruption is not None:
            return self.interruption.detail or self.interruption.code.title
        return self.call_end_reason

    async def wait(self, awaited: Deferred[Any]) -> Any:
        """Return a Deferred's result; an interruption cancels it."""
        self._pending = awaited
        if self.interruption is not None:
            self.cancel()
        try:
            return await awaited
        finally:
            self._pending = None

    async def sleep(self, delay: timedelta) -> bool:
        """Wait for `delay`; return False where an interruption came first."""
        done: Deferred[None] = Deferred()
        timer = self._clock.call_later(delay, done.callback, None)
        try:
            await self.wait(done)
        except Exception:
            timer.cancel()
            return False
        return True

    def interrupt(self, refusal: Refusal) -> None:
        """Give the whole request up; the first reason stands."""
        if self.interruption is None:
            self.interruption = refusal
            self.cancel()

    def cancel_call(self, reason: str) -> None:
        """Give the present upstream call up."""
        self.call_end_reason = reason
        self.cancel()

    def cancel(self) -> None:
        """Cancel what is waited for."""
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()
