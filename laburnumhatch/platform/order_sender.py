"""Sender of grants and releases of keys to upstreams over HTTP."""

import secrets
from collections.abc import Callable
from datetime import timedelta

from ..fleet import UpstreamIncarnation
from ..keyspace import (
    CallResult,
    ConnectionRefused,
    GrantOrder,
    GrantRefused,
    NoAnswer,
    OrderAcknowledged,
    ReleaseOrder,
    UpstreamReplaced,
)
from ..transport import CallFailed, HttpCaller
from ..transport.fields import HeaderFields
from .grants import GRANT_PATH, RELEASE_PATH, encode_grant, encode_release
from .headers import (
    ATTEMPT_ID,
    EXPECTED_UPSTREAM,
    HANDOVER,
    MISDIRECTED,
    UPSTREAM_NAME,
    find_header,
    is_leaving,
)

__all__ = ["PlatformOrderSender"]

# Longest body of the answer to an order or to a health check.
MAX_ANSWER_BYTES = 65_536

OK = 200
CONFLICT = 409


class PlatformOrderSender:
    """Sends grants and releases of keys to upstreams.

    Parameters
    ----------
    caller : HttpCaller
    on_leaving : callable
        Called with the incarnation of an upstream whose answer says that it leaves.
    on_health_answer : callable, optional
        Called with the incarnation of an upstream and the fields of its answer to a health check.
    """

    def __init__(
        self,
        caller: HttpCaller,
        on_leaving: Callable[[UpstreamIncarnation], None],
        on_health_answer: Callable[[UpstreamIncarnation, HeaderFields], None] = lambda *_: None,
    ) -> None:
        self._caller = caller
        self._on_leaving = on_leaving
        self._on_health_answer = on_health_answer

    async def send(
        self,
        order: GrantOrder | ReleaseOrder,
        address: tuple[str, int],
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> CallResult:
        """Send an order and return its result.

        Parameters
        ----------
        order : GrantOrder or ReleaseOrder
        address : (str, int)
        timeout : timedelta
        may_send : callable
            Called immediately before the order is sent; the order is dropped if it returns False.
        """
        is_release = isinstance(order, ReleaseOrder)
        if isinstance(order, GrantOrder):
            path, body = GRANT_PATH, encode_grant(order)
        else:
            path, body = RELEASE_PATH, encode_release(order)
        call_id = secrets.token_hex(8).encode()
        fields = [(EXPECTED_UPSTREAM, order.upstream.name.encode()), (ATTEMPT_ID, call_id)]

        def matches_response(status: int, response_fields: HeaderFields) -> bool:
            # A second copy of the answer to an earlier order may come on the connection. Upstreams
            # that name no order tell at least the kind: only a release returns a handover token.
            if find_header(response_fields, ATTEMPT_ID) not in (None, call_id):
                return False
            has_handover = find_header(response_fields, HANDOVER) is not None
            return status != OK or has_handover == is_release

        host, port = address
        response = await self._caller.call(
            host,
            port,
            b"POST",
            path,
            body,
            timeout,
            fields,
            may_send,
            MAX_ANSWER_BYTES,
            matches_response,
        )
        if isinstance(response, CallFailed):
            return ConnectionRefused() if response.is_refused else NoAnswer(response.was_not_sent)
        if response.status != MISDIRECTED and is_leaving(response.fields):
            self._on_leaving(order.upstream)
        if response.status == OK:
            handover_token = find_header(response.fields, HANDOVER)
            return OrderAcknowledged(handover_token.decode("latin-1") if handover_token else None)
        if response.status == CONFLICT:
            return GrantRefused()
        if response.status == MISDIRECTED:
            # Another upstream has taken over the address.
            return UpstreamReplaced()
        return NoAnswer()

    async def is_responding(
        self, upstream: UpstreamIncarnation, address: tuple[str, int], path: str, timeout: timedelta
    ) -> bool:
        """Return whether an upstream answers a health check, whatever health it reports."""
        host, port = address
        response = await self._caller.call(
            host, port, b"GET", path.encode(), b"", timeout, max_body_bytes=MAX_ANSWER_BYTES
        )
        if isinstance(response, CallFailed):
            return False
        if find_header(response.fields, UPSTREAM_NAME) != upstream.name.encode():
            return False
        self._on_health_answer(upstream, response.fields)
        if is_leaving(response.fields):
            self._on_leaving(upstream)
        return True
