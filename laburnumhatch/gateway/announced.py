"""What upstreams announce about themselves in the headers of their answers."""

from typing import TYPE_CHECKING

import logbook

from ..fleet import Upstream, UpstreamIncarnation
from ..platform.headers import (
    MISDIRECTED,
    REQUEST_LIMIT,
    RETRY_AFTER,
    SERVER_LOAD,
    WARMUP_LEFT,
    find_header,
    is_leaving,
    is_not_run,
    parse_remaining_warmup,
    parse_request_limit,
    parse_retry_after,
    parse_server_load,
)
from ..transport.fields import HeaderFields

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ["apply_announcements", "apply_health_answer"]

SERVICE_UNAVAILABLE = 503

_log = logbook.Logger("laburnumhatch.gateway")


def apply_announcements(
    gateway: "Gateway", upstream: Upstream, status: int, fields: HeaderFields
) -> None:
    """Apply what an upstream says of itself in an answer."""
    if status == MISDIRECTED:
        # Another upstream may have taken over the address and deny to be the expected one.
        return
    now, limits = gateway.clock.now(), gateway.load_tracker.limits
    limits.observe(upstream.name, parse_request_limit(find_header(fields, REQUEST_LIMIT)), now)
    if status == SERVICE_UNAVAILABLE:
        pause = parse_retry_after(find_header(fields, RETRY_AFTER))
        if pause is not None:
            limits.pause(upstream.name, pause, now)
    _apply_load(gateway, upstream.name, fields, declined=is_not_run(status, fields))
    if is_leaving(fields):
        gateway.member.announcements.note_leaving(upstream.incarnation)


def apply_health_answer(
    gateway: "Gateway", incarnation: UpstreamIncarnation, fields: HeaderFields
) -> None:
    """Apply what an upstream says of itself in the answer to a health check."""
    upstream = gateway.member.registry_view.upstreams.get(incarnation.name)
    if upstream is None or upstream.incarnation != incarnation:
        return
    _apply_load(gateway, upstream.name, fields, declined=False)
    remaining = parse_remaining_warmup(find_header(fields, WARMUP_LEFT))
    if remaining is not None:
        gateway.load_tracker.warmups.observe_warmup(upstream, remaining, gateway.clock.now())


def _apply_load(gateway: "Gateway", name: str, fields: HeaderFields, *, declined: bool) -> None:
    value = find_header(fields, SERVER_LOAD)
    load = parse_server_load(value)
    if load is None:
        return
    tracker = gateway.load_tracker
    tracker.record_reported(
        name, load.in_flight, load.pace, declined=declined, now=gateway.clock.now()
    )
    reported = tracker.load_of(name).reported
    if not load.is_valid and not reported.has_invalid_figure:
        reported.has_invalid_figure = True
        _log.warning("upstream {} reports an invalid load: {!r}", name, (value or b"")[:50])
