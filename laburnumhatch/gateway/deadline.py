"""Deadline of a caller's request."""

from datetime import timedelta

from ..clocks import milliseconds
from ..fleet import Route
from ..platform.headers import DEADLINE, find_header, parse_deadline_ms
from ..transport import CallerRequest

__all__ = ["UPSTREAM_ANSWER_GRACE", "deadline_of"]

# Time after the deadline for which the gateway still waits for the upstream's answer before it
# answers the caller itself.
UPSTREAM_ANSWER_GRACE = milliseconds(120)
# Deadline of a request without a deadline header.
DEFAULT_DEADLINE = timedelta(seconds=10)


def deadline_of(
    request: CallerRequest, route: Route, requests_end_at: timedelta | None
) -> timedelta:
    """Return the instant by which an upstream must have answered a request.

    Parameters
    ----------
    request : CallerRequest
    route : Route
    requests_end_at : timedelta or None
        Instant of a planned stop at which the requests that are left are ended.
    """
    requested_ms = parse_deadline_ms(find_header(request.fields, DEADLINE))
    allowed = DEFAULT_DEADLINE if requested_ms is None else milliseconds(requested_ms)
    deadline = request.received_at + min(allowed, route.timeout)
    if requests_end_at is not None:
        # The caller gets the final answer before the process ends.
        deadline = min(deadline, requests_end_at - UPSTREAM_ANSWER_GRACE)
    return deadline
