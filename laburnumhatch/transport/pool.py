"""Connections to upstreams that are kept for further requests."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory

from ..clocks import Clock, milliseconds
from .outbound import (
    AnswerReceiver,
    CallFailure,
    FailureKind,
    OutboundConnection,
    OutboundRequest,
)

__all__ = ["ConnectionPool", "PooledCall"]

# A lost opening packet is sent again after a second: a longer wait would seldom help.
CONNECT_TIMEOUT = milliseconds(400)
# Shorter than the idle time after which the upstreams in the users' site files close.
IDLE_LIMIT = milliseconds(6000)
# Share of an announced idle time that is used, so that the close of the peer isn't met.
KEEP_ALIVE_TIMEOUT_FRACTION = 0.7
SWEEP_INTERVAL = milliseconds(2000)

Address = tuple[str, int]


@dataclass(slots=True, eq=False)
class PooledCall:
    """A request on its way.

    Attributes
    ----------
    connection : OutboundConnection or None
        None until a connection is open.
    is_new_connection : bool
    """

    connection: OutboundConnection | None = None
    connector: Any = None
    is_new_connection: bool = False
    is_finished: bool = False

    def abort(self) -> None:
        """Give the request up; its receiver hears nothing more."""
        self.is_finished = True
        if self.connection is not None:
            self.connection.abort()
        elif self.connector is not None:
            self.connector.disconnect()


class _PooledConnectionFactory(ClientFactory):
    """Opens one connection and sends a request on it."""

    noisy = False

    def __init__(
        self,
        pool: "ConnectionPool",
        address: Address,
        call: PooledCall,
        make_request: Callable[[], OutboundRequest | None],
        receiver: AnswerReceiver,
        send_delay: timedelta,
    ) -> None:
        self._pool = pool
        self._address = address
        self._call = call
        self._make_request = make_request
        self._receiver = receiver
        self._send_delay = send_delay
        self._is_send_delay_over = False

    def buildProtocol(self, addr: Any) -> OutboundConnection:
        pool, address = self._pool, self._address
        return _PooledConnection(
            self._connection_opened, lambda c: pool.release(address, c), self._connection_closed
        )

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        if self._call.is_finished:
            return
        self._call.is_finished = True
        kind = FailureKind.UNREACHABLE
        if reason.check(ConnectionRefusedError):
            kind = FailureKind.REFUSED
        self._receiver.failed(CallFailure(kind, True, reason.getErrorMessage()))

    def _connection_opened(self, connection: OutboundConnection) -> None:
        if self._call.is_finished:
            connection.abort()
            return
        self._call.connection = connection
        if self._send_delay:
            self._pool.clock.call_later(self._send_delay, self._send, connection)
        else:
            self._send(connection)

    def _connection_closed(self, connection: OutboundConnection) -> None:
        self._pool.remove(connection)
        if not self._is_send_delay_over and not self._call.is_finished:
            self._call.is_finished = True
            reason = "the connection was reset before anything was sent"
            self._receiver.failed(CallFailure(FailureKind.UNREACHABLE, True, reason))

    def _send(self, connection: OutboundConnection) -> None:
        if self._call.is_finished:
            return
        self._is_send_delay_over = True
        request = self._make_request()
        if request is None:
            # Nothing is sent any more; the new connection is kept for others.
            self._pool.release(self._address, connection)
            return
        connection.send(request, self._receiver)


class _PooledConnection(OutboundConnection):
    """Connection that reports when it is open."""

    def __init__(self, on_open: Any, on_idle: Any, on_closed: Any) -> None:
        super().__init__(on_idle, on_closed)
        self._on_open = on_open

    def connectionMade(self) -> None:
        super().connectionMade()
        self._on_open(self)


class ConnectionPool:
    """Idle connections by address; the last one used is used first.

    Parameters
    ----------
    reactor
        A Twisted reactor that connects.
    clock : Clock

    Attributes
    ----------
    clock : Clock
    opened : int
        Connections that were opened so far.
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._reactor = reactor
        self.clock = clock
        self._idle: dict[Address, list[tuple[timedelta, timedelta, OutboundConnection]]] = {}
        self._is_closed = False
        self.opened = 0
        clock.call_later(SWEEP_INTERVAL, self._sweep)

    def send(
        self,
        host: str,
        port: int,
        make_request: Callable[[], OutboundRequest | None],
        receiver: AnswerReceiver,
        max_idle: timedelta = IDLE_LIMIT,
        send_delay: timedelta = timedelta(),
    ) -> PooledCall:
        """Send a request on an idle connection or on a new one.

        Parameters
        ----------
        host, port
        request : callable
            Returns the request at the moment it goes out, or None if it shall not any more; the
            receiver then hears nothing.
        receiver : AnswerReceiver
        longest_idle : timedelta, optional
            Connections that were idle for longer are not used.
        settle : timedelta, optional
            Wait on a new connection before the request goes out: an upstream that takes no further
            connections resets it meanwhile, and then the request has certainly not run.
        """
        address = (host, port)
        connection = self._acquire(address, max_idle)
        if connection is not None:
            call = PooledCall(connection)
            outgoing = make_request()
            if outgoing is None:
                self.release(address, connection)
            else:
                connection.send(outgoing, receiver)
            return call
        self.opened += 1
        call = PooledCall(is_new_connection=True)
        factory = _PooledConnectionFactory(self, address, call, make_request, receiver, send_delay)
        call.connector = self._reactor.connectTCP(
            host, port, factory, timeout=CONNECT_TIMEOUT.total_seconds()
        )
        return call

    def release(self, address: Address, connection: OutboundConnection) -> None:
        """Keep a connection for a further request."""
        if self._is_closed:
            connection.abort()
            return
        limit = IDLE_LIMIT
        if connection.idle_limit_s is not None:
            limit = min(
                limit, timedelta(seconds=connection.idle_limit_s * KEEP_ALIVE_TIMEOUT_FRACTION)
            )
        idle = self._idle.setdefault(address, [])
        idle.append((self.clock.now(), limit, connection))

    def remove(self, connection: OutboundConnection) -> None:
        """Drop a connection that is gone."""
        for address, idle in list(self._idle.items()):
            remaining = [entry for entry in idle if entry[2] is not connection]
            if len(remaining) != len(idle):
                self._idle[address] = remaining
                return

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for _, _, connection in self._idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Close the idle connections, and each other one when its answer ends."""
        self._is_closed = True
        for address in list(self._idle):
            self.close_idle(address)

    def _acquire(self, address: Address, max_idle: timedelta) -> OutboundConnection | None:
        idle = self._idle.get(address)
        now = self.clock.now()
        while idle:
            idle_since, limit, connection = idle[-1]
            if now - idle_since > min(limit, max_idle):
                return None
            idle.pop()
            if connection.is_reusable():
                return connection
            connection.abort()
        return None

    def _sweep(self) -> None:
        if self._is_closed:
            return
        now = self.clock.now()
        for address, idle in list(self._idle.items()):
            expired = [entry for entry in idle if now - entry[0] > entry[1]]
            self._idle[address] = [entry for entry in idle if now - entry[0] <= entry[1]]
            for _, _, connection in expired:
                connection.abort()
            if not self._idle[address]:
                del self._idle[address]
        self.clock.call_later(SWEEP_INTERVAL, self._sweep)
