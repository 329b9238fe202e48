"""Connection pool of one upstream target."""

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from twisted.web.client import HTTP11ClientProtocol

from ..clocks import Cancellable, Clock

__all__ = ["TargetConnectionPool", "UpstreamConnection"]

CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_IDLE_TIME = timedelta(seconds=4)
MAX_IDLE_TIME_NOT_REPEATABLE = timedelta(seconds=1)


class UpstreamConnection(HTTP11ClientProtocol):
    """Connection that carries one request at a time and is not reused after a failure.

    Parameters
    ----------
    pool : TargetConnectionPool

    Attributes
    ----------
    idle_since : timedelta
        Time at which the last answer ended.

    Notes
    -----
    HTTP/1.1 matches answers to requests only by their order [1]_. A connection is therefore closed
    instead of reused if its request was cancelled before the complete answer, or if bytes were
    received that belong to no request.

    References
    ----------
    .. [1] RFC 9112, HTTP/1.1, section 9.3.2.
    """

    def __init__(self, pool: "TargetConnectionPool") -> None:
        super().__init__(pool.release)
        self._pool = pool
        self.idle_since = timedelta()
        self.has_extra_bytes = False

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes to the answer, or close the connection if no request waits for one."""
        if self.state != "QUIESCENT":
            super().dataReceived(data)
            return
        self._pool.count_unmatched()
        self.transport.abortConnection()  # type: ignore[union-attr]

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Remove the connection from the pool."""
        self._pool.remove_connection(self)
        super().connectionLost(reason)

    def abort_connection(self) -> None:
        """Reset the connection at once, so that the upstream notices the cancellation."""
        self.transport.abortConnection()  # type: ignore[union-attr]

    def close(self) -> None:
        """Close an idle connection."""
        transport: Any = self.transport
        transport.loseConnection()

    def flush(self) -> None:
        """Write buffered data to the socket now instead of in the next reactor iteration."""
        transport: Any = self.transport
        transport.doWrite()

    def is_reusable(self) -> bool:
        """Return whether the idle connection is open and has no unread bytes."""
        handle = self.transport.getHandle()  # type: ignore[union-attr]
        try:
            found = handle.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        if found:
            self._pool.count_unmatched()
        return False

    def _finishResponse(self, rest: bytes) -> None:
        # Twisted drops bytes that follow an answer. They indicate a protocol error of the upstream,
        # so the connection must not be reused.
        self.has_extra_bytes = bool(rest)
        super()._finishResponse(rest)


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, pool: "TargetConnectionPool") -> None:
        self._pool = pool

    def buildProtocol(self, addr: object) -> UpstreamConnection:
        return UpstreamConnection(self._pool)


class TargetConnectionPool:
    """Pool of connections to one target.

    Parameters
    ----------
    reactor
        A Twisted reactor that opens connections.
    clock : Clock
    host : str
        IP address.
    port : int

    Attributes
    ----------
    count_unmatched : callable
        Called each time bytes are received that belong to no request.

    Notes
    -----
    The most recently used connection is reused first, so that the others become idle and are
    closed. The number of connections follows the number of concurrent calls, which the target's
    queue limits.

    An upstream may close an idle connection at any time. Before a connection is reused, its socket
    is checked for end of file and for stray bytes; a close that is still in transit remains
    undetected. Requests that may not be repeated therefore reuse only connections that have been
    idle for at most `MAX_IDLE_TIME_NOT_REPEATABLE`, since an upstream that keeps connections alive
    at all keeps them longer than that.
    """

    def __init__(self, reactor: Any, clock: Clock, host: str, port: int) -> None:
        self._clock = clock
        self._endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT.total_seconds()
        )
        self._factory: Any = _ConnectionFactory(self)
        self._idle: list[UpstreamConnection] = []
        self._sweep_timer: Cancellable | None = None
        self._is_closed = False
        self.count_unmatched: Callable[[], None] = lambda: None

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    def take_idle(self, is_repeatable: bool) -> UpstreamConnection | None:
        """Return an idle connection that can carry a request, or None."""
        max_idle_time = MAX_IDLE_TIME if is_repeatable else MAX_IDLE_TIME_NOT_REPEATABLE
        cutoff = self._clock.now() - max_idle_time
        while self._idle:
            if self._idle[-1].idle_since < cutoff:
                return None
            connection = self._idle.pop()
            if connection.state == "QUIESCENT" and connection.is_reusable():
                return connection
            connection.abort_connection()
        return None

    def connect(self) -> Deferred[UpstreamConnection]:
        """Open a connection; the Deferred fails with a ``ConnectError``."""
        opened: Any = self._endpoint.connect(self._factory)
        return opened

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its answer has ended."""
        if self._is_closed or connection.has_extra_bytes:
            if connection.has_extra_bytes:
                self.count_unmatched()
            connection.abort_connection()
            return
        connection.idle_since = self._clock.now()
        self._idle.append(connection)
        if self._sweep_timer is None:
            self._sweep_timer = self._clock.call_later(MAX_IDLE_TIME, self._close_old)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a lost connection."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections now, and the others when their answers end."""
        self._is_closed = True
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort_connection()

    def _close_old(self) -> None:
        self._sweep_timer = None
        cutoff = self._clock.now() - MAX_IDLE_TIME
        for connection in [c for c in self._idle if c.idle_since <= cutoff]:
            self._idle.remove(connection)
            connection.close()
        if self._idle:
            next_end = self._idle[0].idle_since + MAX_IDLE_TIME
            self._sweep_timer = self._clock.call_later(
                next_end - self._clock.now(), self._close_old
            )
