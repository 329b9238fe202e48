"""Delays in coroutines."""

from datetime import timedelta

from twisted.internet.defer import Deferred

from ..clocks import Clock

__all__ = ["pause"]


async def pause(clock: Clock, duration: timedelta) -> None:
    """Return after `duration`."""
    over: Deferred[None] = Deferred()
    clock.call_later(duration, over.callback, None)
    await over
