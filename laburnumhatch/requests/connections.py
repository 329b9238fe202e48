"""Connections to one upstream target."""

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
    """Connection that carries one request at a time, and no other after a disturbed one.

    Parameters
    ----------
    pool : TargetConnectionPool

    Attributes
    ----------
    idle_since : timedelta
        Instant at which the last answer ended.

    Notes
    -----
    HTTP/1.1 matches answers to requests by their order alone [1]_. A connection is therefore
    closed, never used again, when its request was given up before the whole answer, and when
    bytes came that belong to no request.

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
        """Pass bytes to the answer, or close where no request waits for one."""
        if self.state != "QUIESCENT":
            super().dataReceived(data)
            return
        self._pool.count_unmatched()
        self.transport.abortConnection()  # type: ignore[union-attr]

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Leave the pool."""
        self._pool.remove_connection(self)
        super().connectionLost(reason)

    def abort_connection(self) -> None:
        """Close at once, so that the upstream sees that the request was given up."""
        self.transport.abortConnection()  # type: ignore[union-attr]

    def close(self) -> None:
        """Close an idle connection."""
        transport: Any = self.transport
        transport.loseConnection()

    def flush(self) -> None:
        """Hand what was written to the kernel now rather than in the loop's next round."""
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
        # The library drops bytes that follow an answer; they show a confused upstream.
        self.has_extra_bytes = bool(rest)
        super()._finishResponse(rest)


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, pool: "TargetConnectionPool") -> None:
        self._pool = pool

    def buildProtocol(self, addr: object) -> UpstreamConnection:
        return UpstreamConnection(self._pool)


class TargetConnectionPool:
    """Pool of the connections to one target.

    Parameters
    ----------
    reactor
        A Twisted reactor that connects.
    clock : Clock
    host : str
        IP number.
    port : int

    Attributes
    ----------
    count_unmatched : callable
        Called each time that bytes come which belong to no request.

    Notes
    -----
    The last connection used is used first, so that the others fall idle and are closed. The
    number of connections follows the number of calls at a time, which the target's queue bounds.

    An upstream may close an idle connection at any time. Before a connection is used again its
    socket is looked at for an end or for stray bytes; what remains is an end that is still on
    its way. For requests that may not be repeated only connections that were used a moment ago
    serve, since an upstream that keeps connections at all keeps them longer.
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

    def take_idle(self, repeatable: bool) -> UpstreamConnection | None:
        """Return an idle connection that may carry a request, or None."""
        max_idle_time = MAX_IDLE_TIME if repeatable else MAX_IDLE_TIME_NOT_REPEATABLE
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
        """Open a connection; fails with a ``ConnectError``."""
        opened: Any = self._endpoint.connect(self._factory)
        return opened

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer has ended."""
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
        """Drop a connection that was lost."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections, and each other one when its answer ends."""
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
