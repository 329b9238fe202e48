"""Sender of grants and releases of keys to upstreams over HTTP."""

import secrets
from collections import OrderedDict
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

# Number of handover tokens that are remembered. A second copy of an answer comes within seconds.
MAX_REMEMBERED_HANDOVERS = 1000
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
        # Addresses and handover tokens of the last answers to releases.
        self._handovers: OrderedDict[tuple[str, int, bytes], None] = OrderedDict()

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
        host, port = address
        call_id = secrets.token_hex(8).encode()
        fields = [(EXPECTED_UPSTREAM, order.upstream.name.encode()), (ATTEMPT_ID, call_id)]

        def matches_response(status: int, response_fields: HeaderFields) -> bool:
            # A second copy of the answer to an earlier order may come on the connection. Upstreams
            # that name no order tell at least the kind: only a release returns a handover token.
            if find_header(response_fields, ATTEMPT_ID) not in (None, call_id):
                return False
            if status != OK:
                return True
            handover = find_header(response_fields, HANDOVER)
            if (handover is not None) != is_release:
                return False
            return handover is None or not self._is_copy(host, port, handover)

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
            if handover_token:
                self._remember_handover(host, port, handover_token)
            return OrderAcknowledged(handover_token.decode("latin-1") if handover_token else None)
        if response.status == CONFLICT:
            return GrantRefused()
        if response.status == MISDIRECTED:
            # Another upstream has taken over the address.
            return UpstreamReplaced()
        return NoAnswer()

    def _remember_handover(self, host: str, port: int, handover: bytes) -> None:
        self._handovers[host, port, handover] = None
        if len(self._handovers) > MAX_REMEMBERED_HANDOVERS:
            self._handovers.popitem(last=False)

    def _is_copy(self, host: str, port: int, handover: bytes) -> bool:
        """Return whether an answer to a release is the second copy of an earlier one.

        A token counts as a copy once only, so that an upstream that uses it again is heard then.
        """
        key = (host, port, handover)
        if key not in self._handovers:
            return False
        del self._handovers[key]
        return True

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
