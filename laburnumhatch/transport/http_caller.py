"""Whole HTTP calls that an instance makes on its own account."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from twisted.internet.defer import Deferred

from ..clocks import Cancellable, Clock
from .fields import HeaderFields
from .outbound import CallFailure, FailureKind, OutboundRequest
from .pool import ConnectionPool, PooledCall

__all__ = ["CallFailed", "HttpCaller", "Reply"]

# Timeouts that a whole answer may take while its parts keep coming.
MAX_TIMEOUT_MULTIPLE = 6


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    fields: HeaderFields
    body: bytes


@dataclass(frozen=True, slots=True)
class CallFailed:
    """No whole answer.

    Attributes
    ----------
    reason : str
    never_sent : bool
        Whether the peer can't have seen the call.
    is_refused : bool
        Whether the peer's machine answered that nothing listens there.
    """

    reason: str
    never_sent: bool
    is_refused: bool = False


class _ResponseCollector:
    """Collects one answer, for as long as parts of it keep coming."""

    def __init__(self, clock: Clock, timeout: timedelta) -> None:
        self._clock = clock
        self._timeout = timeout
        self._deadline = clock.now() + timeout * MAX_TIMEOUT_MULTIPLE
        self.result: Deferred[Reply | CallFailed] = Deferred()
        self.timer: Cancellable | None = clock.call_later(timeout, self.timed_out)
        self.call: PooledCall | None = None
        self._status = 0
        self._fields: HeaderFields = []
        self._body: list[bytes] = []

    def began(self, status: int, fields: HeaderFields, length: int | None) -> None:
        self._status, self._fields = status, fields
        self._extend_timeout()

    def received(self, data: bytes) -> None:
        self._body.append(data)
        self._extend_timeout()

    def ended(self) -> None:
        self._finish(Reply(self._status, self._fields, b"".join(self._body)))

    def failed(self, failure: CallFailure) -> None:
        is_refused = failure.kind is FailureKind.REFUSED
        self._finish(CallFailed(failure.reason, failure.never_sent, is_refused))

    def timed_out(self) -> None:
        was_sent = self.call is not None and self.call.connection is not None
        if self.call is not None:
            self.call.abort()
        self._finish(CallFailed("no answer in time", never_sent=not was_sent))

    def _extend_timeout(self) -> None:
        """Allow the next part its time; a long answer takes long on a slow link."""
        if self.timer is None or not self.timer.active():
            return
        self.timer.cancel()
        remaining = self._deadline - self._clock.now()
        self.timer = self._clock.call_later(min(self._timeout, remaining), self.timed_out)

    def _finish(self, result: Reply | CallFailed) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.result.called:
            self.result.callback(result)


class HttpCaller:
    """Whole HTTP calls over pooled connections, each with a timeout."""

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
    ) -> Reply | CallFailed:
        """Return the whole answer to a call, or why there is none.

        Parameters
        ----------
        host, port, method, target, body, timeout
        fields : list of (bytes, bytes), optional
            Further header fields; a host among them is sent in place of the address.
        may_send : callable, optional
            Asked immediately before the call goes out, which may be after a connection was opened.

        Notes
        -----
        The timeout holds for each part of the answer; the whole may take `MOST_TIMEOUTS` of it. A
        call that times out has its connection reset, so that bytes of it that are held up on
        the way are dropped.
        """
        request_fields = list(fields or ())
        if not any(name == b"host" for name, _ in request_fields):
            request_fields.insert(0, (b"host", f"{host}:{port}".encode()))
        if body:
            request_fields.append((b"content-type", b"application/json"))
        request = OutboundRequest(method, target, request_fields, body, lambda status, fields: True)
        collector = _ResponseCollector(self._clock, timeout)

        def make_request() -> OutboundRequest | None:
            if may_send():
                return request
            collector.failed(CallFailure(FailureKind.LOST, True, "not sent any more"))
            return None

        collector.call = self._pool.send(host, port, make_request, collector)
        return await collector.result
