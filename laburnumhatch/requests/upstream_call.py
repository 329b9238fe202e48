"""One upstream call: connect, check the lease, send, pass the answer on."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.web.client import Request as ClientRequest
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH

from ..clocks import Clock
from ..ownership import Owner, OwnershipView
from ..results import ResultCode
from .caller import CONTENT_LENGTH, CallerRequest
from .connections import TargetConnections, UpstreamConnection
from .headers import clean_answer_headers, parse_retry_after
from .outcomes import (
    AttemptFailure,
    Broken,
    Declined,
    DeclineReason,
    LeaseLapsed,
    NotConnected,
    TimedOut,
)
from .relay import AnswerRelay, DiscardedAnswer
from .waiting import RequestWaits

__all__ = ["CallOrder", "UpstreamCall"]

CONFLICT = 409


@dataclass(slots=True)
class CallOrder:
    """What an upstream call sends, and until when.

    Attributes
    ----------
    request_id : str
    headers : Headers
    body : IBodyProducer or None
    owner : Owner or None
    repeatable : bool
    deadline : timedelta
        Instant by which the answer must be whole.
    closes : callable
        Returns whether the caller's connection ends with an answer that begins now.
    """

    request_id: str
    headers: Headers
    body: Any
    owner: Owner | None
    repeatable: bool
    deadline: timedelta
    closes: Callable[[], bool]


class UpstreamCall:
    """One attempt at a request.

    Parameters
    ----------
    clock : Clock
    ownership : OwnershipView
    pool : TargetConnections
    request : CallerRequest
    order : CallOrder
    waits : RequestWaits

    Attributes
    ----------
    sent_at : timedelta or None
        Instant just before the first byte went out.
    answered_at : timedelta or None
        Instant at which the answer's header was in.
    status : int or None
        Status of the answer.
    """

    def __init__(
        self,
        clock: Clock,
        ownership: OwnershipView,
        pool: TargetConnections,
        request: CallerRequest,
        order: CallOrder,
        waits: RequestWaits,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._pool = pool
        self._request = request
        self._order = order
        self._waits = waits
        self.sent_at: timedelta | None = None
        self.answered_at: timedelta | None = None
        self.status: int | None = None
        self.was_refused = False

    async def run(self) -> AttemptFailure | None:
        """Make the call; return None once the caller has its whole answer."""
        connection = self._pool.take_idle(self._order.repeatable)
        if connection is None:
            try:
                connection = await self._waits.wait(self._pool.connect())
            except Exception as e:
                return self._not_connected(e)
        failure = self._check_before_send()
        if failure is not None:
            self.sent_at = None
            self._pool.put_back(connection)
            return failure
        return await self._send(connection)

    def _not_connected(self, error: Exception) -> AttemptFailure:
        self.was_refused = isinstance(error, ConnectionRefusedError)
        reason = self._waits.reason
        if reason is not None:
            return NotConnected(reason)
        return NotConnected(str(error) if isinstance(error, ConnectError) else type(error).__name__)

    def _check_before_send(self) -> AttemptFailure | None:
        # Nothing may come between these checks and the write: a process that was paused before
        # finds the lease lapsed here.
        self.sent_at = now = self._clock.now()
        if now >= self._order.deadline:
            return LeaseLapsed(ResultCode.DEADLINE_PASSED)
        owner = self._order.owner
        if owner is not None and not self._ownership.is_current(owner):
            return LeaseLapsed(ResultCode.LEASE_EXPIRED)
        return None

    async def _send(self, connection: UpstreamConnection) -> AttemptFailure | None:
        order = self._order
        outgoing = ClientRequest(
            self._request.method, self._request.uri, order.headers, order.body, persistent=True
        )
        if order.owner is not None:
            self._ownership.request_started(order.owner)
        answer = connection.request(outgoing)
        connection.flush()
        try:
            response = await self._waits.wait(answer)
        except Exception as e:
            connection.abort_now()
            return self._broken(e)
        self.answered_at = self._clock.now()
        self.status = response.code
        if not self._is_own_answer(response.headers):
            self._pool.count_unmatched()
            connection.abort_now()
            return Broken("the answer belongs to another request")
        if response.headers.getRawHeaders(b"run") == [b"no"]:
            response.deliverBody(DiscardedAnswer(connection))
            _end_unsent_body(connection)
            return _declined(response)
        failure = await self._pass_on(connection, response)
        _end_unsent_body(connection)
        return failure

    def _is_own_answer(self, headers: Headers) -> bool:
        named = headers.getRawHeaders(b"request-id")
        return named is None or named[-1] == self._order.request_id.encode()

    def _broken(self, error: Exception, passed_on: bool = False) -> AttemptFailure:
        reason = self._waits.reason
        if reason is not None:
            return TimedOut(reason, passed_on)
        causes = getattr(error, "reasons", None)
        cause = causes[-1].value if causes else error
        return Broken(type(cause).__name__, passed_on)

    async def _pass_on(
        self, connection: UpstreamConnection, response: Any
    ) -> AttemptFailure | None:
        request = self._request
        if request.has_left:
            connection.abort_now()
            return self._broken(Exception())
        headers = response.headers
        clean_answer_headers(headers)
        headers.setRawHeaders(b"request-id", [self._order.request_id.encode()])
        if response.length is not UNKNOWN_LENGTH and not headers.hasHeader(CONTENT_LENGTH):
            _set_length(request, response)
        request.begin_answer(response.code, response.phrase, headers, self._order.closes())
        relay = AnswerRelay(request, connection)
        response.deliverBody(relay)
        try:
            is_whole = await self._waits.wait(relay.done)
        except Exception as e:
            relay.detach()
            return self._cut(connection, e)
        if not is_whole:
            return self._cut(connection, Exception("cut"))
        request.end_answer()
        return None

    def _cut(self, connection: UpstreamConnection, error: Exception) -> AttemptFailure:
        connection.abort_now()
        request = self._request
        passed_on = bool(request.startedWriting)
        if passed_on and not request.has_left:
            request.abort_answer()
        failure = self._broken(error, passed_on)
        return (
            Broken("the answer was cut short", passed_on)
            if isinstance(failure, Broken)
            else failure
        )


def _end_unsent_body(connection: UpstreamConnection) -> None:
    # The upstream answered without the rest of the body; nobody is to send it any more.
    if connection.state.startswith("TRANSMITTING"):
        connection.abort_now()


def _set_length(request: CallerRequest, response: Any) -> None:
    has_body = response.code not in (204, 304) and request.method != b"HEAD"
    if has_body:
        response.headers.setRawHeaders(CONTENT_LENGTH, [b"%d" % response.length])


def _declined(response: Any) -> Declined:
    headers = response.headers
    retry_after = parse_retry_after((headers.getRawHeaders(b"retry-after") or [None])[-1])
    if response.code == CONFLICT and headers.hasHeader(b"fencing-token"):
        return Declined(DeclineReason.FENCED, retry_after)
    if headers.getRawHeaders(b"draining") == [b"yes"]:
        return Declined(DeclineReason.DRAINING, retry_after)
    return Declined(DeclineReason.SHED, retry_after)
