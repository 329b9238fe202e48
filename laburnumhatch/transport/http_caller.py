"""HTTP client for the calls that an instance makes itself, not on behalf of a caller."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from twisted.internet.defer import Deferred

from ..clocks import Cancellable, Clock, Timeout
from .fields import HeaderFields
from .outbound import CallFailure, FailureKind, OutboundRequest
from .pool import ConnectionPool, PooledCall
from .request_body import RequestBody

__all__ = ["CallFailed", "HttpCaller", "Response"]

# Multiple of the timeout within which a response must be complete, even while parts keep arriving.
MAX_TIMEOUT_MULTIPLE = 6
# Longest body of a response by default: several times the store's longest.
MAX_BODY_BYTES = 8 * 1_048_576


@dataclass(frozen=True, slots=True)
class Response:
    """Complete response."""

    status: int
    fields: HeaderFields
    body: bytes


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Failure of a call that has no complete response.

    Attributes
    ----------
    reason : str
    was_not_sent : bool
        Whether no byte of the request can have reached the peer.
    is_refused : bool
        Whether the peer's machine refused the connection because nothing listens on the port.
    """

    reason: str
    was_not_sent: bool
    is_refused: bool = False


class _ResponseCollector:
    """Receiver that collects one response.

    The timeout applies to each part of the response, and `MAX_TIMEOUT_MULTIPLE` times the timeout
    to the response as a whole.
    """

    def __init__(self, clock: Clock, timeout: timedelta, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._timeout = timeout
        self._deadline = clock.now() + timeout * MAX_TIMEOUT_MULTIPLE
        self.result: Deferred[Response | CallFailed] = Deferred()
        self.timer: Cancellable | None = Timeout(clock, timeout, self.timed_out)
        self.call: PooledCall | None = None
        self._status = 0
        self._fields: HeaderFields = []
        self._body = bytearray()

    def on_header(self, status: int, fields: HeaderFields, length: int | None) -> None:
        self._status, self._fields = status, fields
        self._extend_timeout()

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._max_body_bytes:
            self._body.clear()
            self._abort(f"the response's body exceeds {self._max_body_bytes} bytes")
            return
        self._extend_timeout()

    def on_end(self) -> None:
        self._finish(Response(self._status, self._fields, bytes(self._body)))

    def on_failure(self, failure: CallFailure) -> None:
        is_refused = failure.kind is FailureKind.REFUSED
        self._finish(CallFailed(failure.reason, failure.was_not_sent, is_refused))

    def timed_out(self) -> None:
        self._abort("no complete response within the timeout")

    def _abort(self, reason: str) -> None:
        was_sent = self.call is not None and self.call.connection is not None
        if self.call is not None:
            self.call.abort()
        self._finish(CallFailed(reason, was_not_sent=not was_sent))

    def _extend_timeout(self) -> None:
        """Restart the timeout for the next part: a long response takes long on a slow link."""
        if self.timer is None or not self.timer.active():
            return
        self.timer.cancel()
        remaining = self._deadline - self._clock.now()
        self.timer = Timeout(self._clock, min(self._timeout, remaining), self.timed_out)

    def _finish(self, result: Response | CallFailed) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.result.called:
            self.result.callback(result)


class HttpCaller:
    """HTTP client that sends calls over pooled connections, each with a timeout."""

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    async def call(
        self,
        host: str,
        port: int,
        method: bytes,
        target: bytes,
        body: bytes,
        timeout: timedelta,
        fields: HeaderFields | None = None,
        may_send: Callable[[], bool] = lambda: True,
        max_body_bytes: int = MAX_BODY_BYTES,
        matches_response: Callable[[int, HeaderFields], bool] = lambda status, fields: True,
    ) -> Response | CallFailed:
        """Send a request and return the complete response, or a `CallFailed` without one.

        Parameters
        ----------
        host, port, method, target, body, timeout
        fields : list of (bytes, bytes), optional
            Further header fields. A ``Host`` field among them replaces the one made from `host`
            and `port`.
        may_send : callable, optional
            Returns whether the request may still be sent. Called immediately before it is sent,
            which may be after a connection has been opened.
        max_body_bytes : int, optional
            Longest body of the response; the call fails if it is longer.
        matches_response : callable, optional
            Takes the status and the header fields of a response and returns whether it belongs to
            this call. Others are discarded.

        Notes
        -----
        The timeout applies to each part of the response; the whole response may take
        `MAX_TIMEOUT_MULTIPLE` times as long. The connection of a call that times out is reset, so
        that bytes of the request that are delayed on the network are discarded.
        """
        request_fields = list(fields or ())
        if not any(name == b"host" for name, _ in request_fields):
            request_fields.insert(0, (b"host", f"{host}:{port}".encode()))
        if body:
            request_fields.append((b"content-type", b"application/json"))
        request = OutboundRequest(
            method, target, request_fields, RequestBody.of(body), matches_response
        )
        collector = _ResponseCollector(self._clock, timeout, max_body_bytes)

        def make_request() -> OutboundRequest | None:
            if may_send():
                return request
            collector.on_failure(
                CallFailure(FailureKind.LOST, True, "the call was withdrawn before it was sent")
            )
            return None

        collector.call = self._pool.send(host, port, make_request, collector)
        return await collector.result
