"""Time limits of one upstream call that are shorter than the request's deadline."""

from datetime import timedelta

from ..clocks import Cancellable, Clock
from ..ownership import Owner, OwnershipView
from .upstream_call import UpstreamCall
from .waiting import CancelScope

__all__ = ["CallTimer"]


class CallTimer:
    """Timer that cancels one upstream call without cancelling the request.

    Parameters
    ----------
    clock : Clock
    cancel_scope : CancelScope
        Cancel scope of the request; its `call_end_reason` is reset.
    """

    def __init__(self, clock: Clock, cancel_scope: CancelScope) -> None:
        self._clock = clock
        self._cancel_scope = cancel_scope
        self._timer: Cancellable | None = None
        cancel_scope.call_end_reason = None

    def start_answer_timeout(self, call: UpstreamCall, timeout: timedelta) -> None:
        """Cancel the call if the answer's header has not arrived within `timeout`.

        This leaves time to try another server when a server hangs.
        """
        self._timer = self._clock.call_later(timeout, self._check_answered, call)

    def start_lease_timeout(
        self, ownership: OwnershipView, service: str, key: str, owner: Owner
    ) -> None:
        """Cancel the call when the owner's lease expires, unless it is renewed in time."""
        remaining = owner.expires - self._clock.now()
        self._timer = self._clock.call_later(
            remaining, self._check_lease, ownership, service, key, owner
        )

    def stop(self) -> None:
        """Cancel the timer."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _check_answered(self, call: UpstreamCall) -> None:
        self._timer = None
        if call.answered_at is None:
            self._cancel_scope.cancel_call("the upstream was silent")

    def _check_lease(self, ownership: OwnershipView, service: str, key: str, owner: Owner) -> None:
        self._timer = None
        current = ownership.owner_of(service, key)
        is_renewed = (
            isinstance(current, Owner)
            and current.epoch == owner.epoch
            and current.expires > self._clock.now()
        )
        if isinstance(current, Owner) and is_renewed:
            self.start_lease_timeout(ownership, service, key, current)
        else:
            self._cancel_scope.cancel_call("the lease ended before the answer")
