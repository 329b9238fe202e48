"""Port on which an instance takes requests that other instances pass on."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import logbook

from ..fleet import CallerLimits
from ..transport import CallerRequest
from .relay_header import RELAY, is_authentic

__all__ = ["relay_handler", "relay_limits"]

# Length by which the header of a request grows when it is passed on.
ADDED_HEADER_BYTES = 1024
# Idle time of connections from other instances, above that after which these close them.
IDLE_TIMEOUT = timedelta(seconds=30)
FORBIDDEN = 403

_log = logbook.Logger("laburnumhatch.gateway")


def relay_limits(limits: CallerLimits) -> CallerLimits:
    """Return the limits on requests of other instances, given those on callers' requests."""
    return replace(
        limits,
        max_header_bytes=limits.max_header_bytes + ADDED_HEADER_BYTES,
        idle_timeout=max(limits.idle_timeout, IDLE_TIMEOUT),
    )


def relay_handler(
    handle: Callable[[CallerRequest], None], shared_key: Callable[[], str]
) -> Callable[[CallerRequest], None]:
    """Return a handler of requests that other instances pass on.

    Parameters
    ----------
    handle : callable
        Handles a request, and passes it on to no further instance.
    shared_key : callable
        Returns the secret that all instances share.
    """

    def handle_relayed(request: CallerRequest) -> None:
        if not is_authentic(shared_key(), request.method, request.target, request.fields):
            _log.warning("refused a request that no instance has passed on")
            request.respond(FORBIDDEN, [], b"")
            return
        request.fields = [(name, value) for name, value in request.fields if name != RELAY]
        handle(request)

    return handle_relayed
