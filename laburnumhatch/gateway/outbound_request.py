"""The request that an upstream receives for a caller's request."""

from ..fleet import Upstream
from ..platform.headers import ATTEMPT_ID, DEADLINE, EXPECTED_UPSTREAM, find_header
from ..transport import CallerRequest, OutboundRequest
from ..transport.fields import HeaderFields, end_to_end_fields

__all__ = ["build_outbound_request"]


def build_outbound_request(
    request: CallerRequest, upstream: Upstream, remaining_s: float
) -> OutboundRequest:
    """Return the request with its remaining time in seconds, for one upstream only."""
    remaining_ms = max(1, int(remaining_s * 1000))
    fields = [
        (name, value)
        for name, value in end_to_end_fields(request.fields)
        if name not in (DEADLINE, EXPECTED_UPSTREAM, b"expect")
    ]
    fields.append((DEADLINE, b"%d" % remaining_ms))
    fields.append((EXPECTED_UPSTREAM, upstream.name.encode()))
    request_id = find_header(request.fields, ATTEMPT_ID)

    def matches_response(status: int, response_fields: HeaderFields) -> bool:
        # Without an identifier, only a response without one can be the answer.
        return find_header(response_fields, ATTEMPT_ID) == request_id

    return OutboundRequest(request.method, request.target, fields, request.body, matches_response)
