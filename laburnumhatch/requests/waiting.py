"""Cancellable waiting on behalf of one request."""

from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred

from ..clocks import Clock
from ..results import Refusal

__all__ = ["CancelScope"]


class CancelScope:
    """Scope in which one request waits for one Deferred at a time and can be cancelled.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    interruption : Refusal or None
        Reason for which the whole request was cancelled.
    call_end_reason : str or None
        Reason for which only the current upstream call was cancelled.
    """

    def __init__(self, clock: Clock) -> None:
        self.interruption: Refusal | None = None
        self.call_end_reason: str | None = None
        self._clock = clock
        self._pending: Deferred[Any] | None = None

    @property
    def reason(self) -> str | None:
        """Reason for which the current wait was cancelled, or None if it was not."""
        if self.interruption is not None:
            return self.interruption.detail or self.interruption.code.title
        return self.call_end_reason

    async def wait(self, awaited: Deferred[Any]) -> Any:
        """Return the result of a Deferred, which is cancelled if the request is interrupted."""
        self._pending = awaited
        if self.interruption is not None:
            self.cancel()
        try:
            return await awaited
        finally:
            self._pending = None

    async def sleep(self, delay: timedelta) -> bool:
        """Wait for `delay`; return False if the wait was cancelled first."""
        done: Deferred[None] = Deferred()
        timer = self._clock.call_later(delay, done.callback, None)
        try:
            await self.wait(done)
        except Exception:
            timer.cancel()
            return False
        return True

    def interrupt(self, refusal: Refusal) -> None:
        """Cancel the whole request; only the first refusal is kept."""
        if self.interruption is None:
            self.interruption = refusal
            self.cancel()

    def cancel_call(self, reason: str) -> None:
        """Cancel only the current upstream call."""
        self.call_end_reason = reason
        self.cancel()

    def cancel(self) -> None:
        """Cancel the pending Deferred, if any."""
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()
