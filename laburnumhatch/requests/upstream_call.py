"""One upstream call: connect, check the lease, send the request and relay the answer."""

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
from .connections import TargetConnectionPool, UpstreamConnection
from .headers import clean_answer_headers, parse_retry_after
from .outcomes import (
    AttemptFailure,
    Broken,
    Declined,
    DeclineReason,
    NotConnected,
    NotSent,
    TimedOut,
)
from .relay import AnswerDiscarder, AnswerRelay
from .waiting import CancelScope

__all__ = ["CallParameters", "UpstreamCall"]

CONFLICT = 409
# Statuses of a final answer. Twisted passes on any number that an upstream sends.
FINAL_STATUSES = range(200, 600)


@dataclass(slots=True)
class CallParameters:
    """Parameters of one upstream call.

    Attributes
    ----------
    request_id : str
    headers : Headers
    body : IBodyProducer or None
    owner : Owner or None
    is_repeatable : bool
    deadline : timedelta
        Time by which the answer must be complete.
    closes_connection : callable
        Returns whether the caller's connection is closed after an answer that begins now.
    """

    request_id: str
    headers: Headers
    body: Any
    owner: Owner | None
    is_repeatable: bool
    deadline: timedelta
    closes_connection: Callable[[], bool]


class UpstreamCall:
    """One attempt to get a request answered by one target.

    Parameters
    ----------
    clock : Clock
    ownership : OwnershipView
    pool : TargetConnectionPool
    request : CallerRequest
    parameters : CallParameters
    cancel_scope : CancelScope

    Attributes
    ----------
    sent_at : timedelta or None
        Time just before the first byte was sent; None if nothing was sent.
    answered_at : timedelta or None
        Time at which the answer's header was received.
    status : int or None
        HTTP status of the answer.
    """

    def __init__(
        self,
        clock: Clock,
        ownership: OwnershipView,
        pool: TargetConnectionPool,
        request: CallerRequest,
        parameters: CallParameters,
        cancel_scope: CancelScope,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._pool = pool
        self._request = request
        self._parameters = parameters
        self._cancel_scope = cancel_scope
        self.sent_at: timedelta | None = None
        self.answered_at: timedelta | None = None
        self.status: int | None = None
        self.was_connection_refused = False

    async def run(self) -> AttemptFailure | None:
        """Make the call; return None once the caller has the complete answer, or the failure."""
        connection = self._pool.take_idle(self._parameters.is_repeatable)
        if connection is None:
            try:
                connection = await self._cancel_scope.wait(self._pool.connect())
            except Exception as e:
                return self._classify_connect_error(e)
        failure = self._check_before_send()
        if failure is not None:
            self.sent_at = None
            self._pool.release(connection)
            return failure
        return await self._send(connection)

    def _classify_connect_error(self, error: Exception) -> AttemptFailure:
        self.was_connection_refused = isinstance(error, ConnectionRefusedError)
        reason = self._cancel_scope.reason
        if reason is not None:
            return NotConnected(reason)
        return NotConnected(str(error) if isinstance(error, ConnectError) else type(error).__name__)

    def _check_before_send(self) -> AttemptFailure | None:
        # No code may run between these checks and the write. A process that was suspended earlier
        # detects here that its lease has expired.
        self.sent_at = now = self._clock.now()
        if now >= self._parameters.deadline:
            return NotSent(ResultCode.DEADLINE_PASSED)
        owner = self._parameters.owner
        if owner is not None and not self._ownership.is_current(owner):
            return NotSent(ResultCode.LEASE_EXPIRED)
        return None

    async def _send(self, connection: UpstreamConnection) -> AttemptFailure | None:
        parameters = self._parameters
        outgoing = ClientRequest(
            self._request.method,
            self._request.uri,
            parameters.headers,
            parameters.body,
            persistent=True,
        )
        if parameters.owner is not None:
            self._ownership.request_started(parameters.owner)
        answer = connection.request(outgoing)
        connection.flush()
        try:
            response = await self._cancel_scope.wait(answer)
        except Exception as e:
            connection.abort_connection()
            return self._classify_error(e)
        self.answered_at = self._clock.now()
        if response.code not in FINAL_STATUSES:
            connection.abort_connection()
            return Broken(f"status {response.code} is not defined")
        self.status = response.code
        if not self._is_own_answer(response.headers):
            self._pool.count_unmatched()
            connection.abort_connection()
            return Broken("the answer belongs to another request")
        if response.headers.getRawHeaders(b"run") == [b"no"]:
            response.deliverBody(AnswerDiscarder(connection))
            _abort_unsent_body(connection)
            return _classify_decline(response)
        failure = await self._relay_answer(connection, response)
        _abort_unsent_body(connection)
        return failure

    def _is_own_answer(self, headers: Headers) -> bool:
        request_ids = headers.getRawHeaders(b"request-id")
        return request_ids is None or request_ids[-1] == self._parameters.request_id.encode()

    def _classify_error(self, error: Exception, is_partly_relayed: bool = False) -> AttemptFailure:
        reason = self._cancel_scope.reason
        if reason is not None:
            return TimedOut(reason, is_partly_relayed)
        causes = getattr(error, "reasons", None)
        cause = causes[-1].value if causes else error
        return Broken(type(cause).__name__, is_partly_relayed)

    async def _relay_answer(
        self, connection: UpstreamConnection, response: Any
    ) -> AttemptFailure | None:
        request = self._request
        if request.is_disconnected:
            connection.abort_connection()
            return self._classify_error(Exception())
        headers = response.headers
        clean_answer_headers(headers)
        headers.setRawHeaders(b"request-id", [self._parameters.request_id.encode()])
        if response.length is not UNKNOWN_LENGTH and not headers.hasHeader(CONTENT_LENGTH):
            _set_content_length(request, response)
        request.begin_answer(
            response.code, response.phrase, headers, self._parameters.closes_connection()
        )
        relay = AnswerRelay(request, connection)
        response.deliverBody(relay)
        try:
            is_whole = await self._cancel_scope.wait(relay.done)
        except Exception as e:
            relay.detach()
            return self._abort_answer(connection, e)
        if not is_whole:
            return self._abort_answer(connection, Exception("cut"))
        request.end_answer()
        return None

    def _abort_answer(self, connection: UpstreamConnection, error: Exception) -> AttemptFailure:
        connection.abort_connection()
        request = self._request
        is_partly_relayed = bool(request.startedWriting)
        if is_partly_relayed and not request.is_disconnected:
            request.abort_answer()
        failure = self._classify_error(error, is_partly_relayed)
        return (
            Broken("the answer was cut short", is_partly_relayed)
            if isinstance(failure, Broken)
            else failure
        )


def _abort_unsent_body(connection: UpstreamConnection) -> None:
    # The upstream answered before the whole body was sent; the rest must not be sent any more.
    if connection.state.startswith("TRANSMITTING"):
        connection.abort_connection()


def _set_content_length(request: CallerRequest, response: Any) -> None:
    has_body = response.code not in (204, 304) and request.method != b"HEAD"
    if has_body:
        response.headers.setRawHeaders(CONTENT_LENGTH, [b"%d" % response.length])


def _classify_decline(response: Any) -> Declined:
    headers = response.headers
    retry_after = parse_retry_after((headers.getRawHeaders(b"retry-after") or [None])[-1])
    if response.code == CONFLICT and headers.hasHeader(b"fencing-token"):
        return Declined(DeclineReason.FENCED, retry_after)
    if headers.getRawHeaders(b"draining") == [b"yes"]:
        return Declined(DeclineReason.DRAINING, retry_after)
    return Declined(DeclineReason.SHED, retry_after)
