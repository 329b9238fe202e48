"""Limits of one upstream call below the request's deadline."""

from datetime import timedelta

from ..clocks import Cancellable, Clock
from ..ownership import Owner, OwnershipView
from .upstream_call import UpstreamCall
from .waiting import RequestWaits

__all__ = ["CallLimit"]


class CallLimit:
    """Timer that ends one upstream call, and not the request.

    Parameters
    ----------
    clock : Clock
    waits : RequestWaits
        Of the request; its call limit is reset.
    """

    def __init__(self, clock: Clock, waits: RequestWaits) -> None:
        self._clock = clock
        self._waits = waits
        self._timer: Cancellable | None = None
        waits.call_limit = None

    def by_silence(self, call: UpstreamCall, patience: timedelta) -> None:
        """End the call if no answer has begun within `patience`.

        A frozen server must not use up the time in which another could answer.
        """
        self._timer = self._clock.call_later(patience, self._check_silence, call)

    def by_lease(self, ownership: OwnershipView, service: str, key: str, owner: Owner) -> None:
        """End the call with the owner's lease, unless it is renewed in time."""
        left = owner.expires - self._clock.now()
        self._timer = self._clock.call_later(
            left, self._check_lease, ownership, service, key, owner
        )

    def lift(self) -> None:
        """Cancel the timer."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _check_silence(self, call: UpstreamCall) -> None:
        self._timer = None
        if call.answered_at is None:
            self._waits.end_call("the upstream was silent")

    def _check_lease(self, ownership: OwnershipView, service: str, key: str, owner: Owner) -> None:
        self._timer = None
        current = ownership.owner_of(service, key)
        is_renewed = (
            isinstance(current, Owner)
            and current.epoch == owner.epoch
            and current.expires > self._clock.now()
        )
        if isinstance(current, Owner) and is_renewed:
            self.by_lease(ownership, service, key, current)
        else:
            self._waits.end_call("the lease ended before the answer")
