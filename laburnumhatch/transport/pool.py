"""Pool of persistent connections to upstreams."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory

from ..clocks import Cancellable, Clock, Timeout, milliseconds
from .fields import HeaderFields
from .outbound import (
    CallFailure,
    FailureKind,
    OutboundConnection,
    OutboundRequest,
    ResponseReceiver,
)

__all__ = ["ConnectionPool", "PooledCall"]

# TCP retransmits a lost SYN only after one second, so a somewhat longer timeout would seldom help.
CONNECT_TIMEOUT = milliseconds(400)
# The same for a connection that only shows whether its address is reached: many round trips.
PROBE_TIMEOUT = milliseconds(250)
# Idle time after which a connection is closed, shorter than the idle timeouts of the upstreams in
# the users' site files.
MAX_IDLE_TIME = milliseconds(6000)
# Fraction of the idle timeout in the peer's ``Keep-Alive`` field for which a connection is reused.
# The margin avoids sending a request while the peer closes the connection.
KEEP_ALIVE_TIMEOUT_FRACTION = 0.7
SWEEP_INTERVAL = milliseconds(2000)

Address = tuple[str, int]


@dataclass(slots=True, eq=False)
class PooledCall:
    """A request that was handed to a `ConnectionPool`.

    Attributes
    ----------
    connection : OutboundConnection or None
        None until a connection is open.
    connector
        Twisted connector of a new connection; None if an idle connection is reused.
    is_new_connection : bool
        Whether a connection is opened for this request.
    is_finished : bool
        Whether the request was aborted or withdrawn, or its connection failed before it was sent.
    """

    connection: OutboundConnection | None = None
    connector: Any = None
    is_new_connection: bool = False
    is_finished: bool = False

    def abort(self) -> None:
        """Abort the request; its receiver is not called any more."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.connection is not None:
            self.connection.abort()
        elif self.connector is not None:
            self.connector.disconnect()


class _PooledConnectionFactory(ClientFactory):
    """Factory that opens one connection and sends one request on it."""

    noisy = False

    def __init__(
        self,
        pool: "ConnectionPool",
        address: Address,
        call: PooledCall,
        make_request: Callable[[], OutboundRequest | None],
        receiver: ResponseReceiver,
        send_delay: timedelta,
    ) -> None:
        self._pool = pool
        self._address = address
        self._call = call
        self._make_request = make_request
        self._receiver = receiver
        self._send_delay = send_delay
        self._is_send_delay_over = False
        self._connect_timeout: Cancellable | None = None
        self._has_timed_out = False
        # Whether the connection is open or has failed.
        self._is_decided = False

    def startFactory(self) -> None:
        self._pool.connection_count += 1

    def stopFactory(self) -> None:
        self._pool.connection_count -= 1

    def start_timeout(self, connector: Any, timeout: timedelta) -> None:
        """Give up the connection if it isn't open within a time."""
        if not self._is_decided:
            self._connect_timeout = Timeout(
                self._pool.clock, timeout, self._stop_connecting, connector
            )

    def _stop_connecting(self, connector: Any) -> None:
        self._has_timed_out = True
        connector.stopConnecting()

    def _end_timeout(self) -> None:
        self._is_decided = True
        if self._connect_timeout is not None and self._connect_timeout.active():
            self._connect_timeout.cancel()

    def buildProtocol(self, addr: Any) -> OutboundConnection:
        self._end_timeout()
        pool, address = self._pool, self._address
        return _PooledConnection(
            self._connection_opened,
            lambda c: pool.release(address, c),
            self._connection_closed,
            lambda action: pool.clock.call_later(timedelta(), action),
        )

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._end_timeout()
        if self._call.is_finished:
            return
        self._call.is_finished = True
        kind = FailureKind.UNREACHABLE
        if reason.check(ConnectionRefusedError):
            kind = FailureKind.REFUSED
        message = "the connection timed out" if self._has_timed_out else reason.getErrorMessage()
        self._receiver.on_failure(CallFailure(kind, True, message))

    def _connection_opened(self, connection: OutboundConnection) -> None:
        self._pool.add(connection)
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
            self._receiver.on_failure(CallFailure(FailureKind.RESET, True, reason))

    def _send(self, connection: OutboundConnection) -> None:
        if self._call.is_finished:
            return
        self._is_send_delay_over = True
        request = self._make_request()
        if request is None:
            # The request was withdrawn; the new connection is kept for other requests, which the
            # end of this call must not abort.
            self._call.is_finished = True
            self._pool.release(self._address, connection)
            return
        connection.send(request, self._receiver)


class _PooledConnection(OutboundConnection):
    """Connection that calls `on_open` once it is established."""

    def __init__(self, on_open: Any, on_idle: Any, on_closed: Any, call_soon: Any) -> None:
        super().__init__(on_idle, on_closed, call_soon)
        self._on_open = on_open

    def connectionMade(self) -> None:
        super().connectionMade()
        self._on_open(self)


class _ProbeReceiver:
    """Receiver for a connection on which nothing is sent."""

    def __init__(self, on_failed: Callable[[], None]) -> None:
        self._on_failed = on_failed

    def on_header(self, status: int, fields: HeaderFields, length: int | None) -> None:
        pass

    def on_body(self, data: bytes) -> None:
        pass

    def on_end(self) -> None:
        pass

    def on_failure(self, failure: CallFailure) -> None:
        self._on_failed()


class ConnectionPool:
    """Pool of idle connections by address.

    The most recently used connection to an address is reused first.

    Parameters
    ----------
    reactor
        Twisted reactor that opens the connections.
    clock : Clock

    Attributes
    ----------
    clock : Clock
    opened_count : int
        Number of connections that the pool has started to open.
    connection_count : int
        Number of connections that are open or being opened.
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._reactor = reactor
        self.clock = clock
        self._idle: dict[Address, list[tuple[timedelta, timedelta, OutboundConnection]]] = {}
        self._open: set[OutboundConnection] = set()
        self._is_closed = False
        self.opened_count = self.connection_count = 0
        clock.call_later(SWEEP_INTERVAL, self._sweep)

    def send(
        self,
        host: str,
        port: int,
        make_request: Callable[[], OutboundRequest | None],
        receiver: ResponseReceiver,
        max_idle_time: timedelta = MAX_IDLE_TIME,
        send_delay: timedelta = timedelta(),
        excluded: Collection[OutboundConnection] = (),
    ) -> PooledCall:
        """Send a request on an idle connection or on a new one.

        Parameters
        ----------
        host, port
        make_request : callable
            Called immediately before the request is sent. Returns the request, or None if it must
            not be sent any more, in which case the receiver is not called.
        receiver : ResponseReceiver
        max_idle_time : timedelta, optional
            Connections that have been idle for longer are not reused.
        send_delay : timedelta, optional
            Delay between the opening of a new connection and the sending of the request. An
            upstream that accepts no further connections resets the connection within this time,
            so that the request has certainly not been run.
        excluded : collection of OutboundConnection, optional
            Connections that are not reused for this request.

        Returns
        -------
        PooledCall
        """
        address = (host, port)
        connection = self._acquire(address, max_idle_time, excluded)
        if connection is not None:
            outgoing = make_request()
            if outgoing is None:
                self.release(address, connection)
                return PooledCall(is_finished=True)
            connection.send(outgoing, receiver)
            return PooledCall(connection)
        return self._connect(address, make_request, receiver, send_delay)

    def probe(
        self, host: str, port: int, on_opened: Callable[[], None], on_failed: Callable[[], None]
    ) -> None:
        """Open a connection, which is kept for later requests, and tell whether it opened.

        `on_opened` or `on_failed` is called once, later.
        """
        receiver = _ProbeReceiver(on_failed)
        self._connect((host, port), on_opened, receiver, timedelta(), PROBE_TIMEOUT)

    def _connect(
        self,
        address: Address,
        make_request: Callable[[], OutboundRequest | None],
        receiver: ResponseReceiver,
        send_delay: timedelta,
        timeout: timedelta = CONNECT_TIMEOUT,
    ) -> PooledCall:
        self.opened_count += 1
        call = PooledCall(is_new_connection=True)
        factory = _PooledConnectionFactory(self, address, call, make_request, receiver, send_delay)
        # The reactor's own timeout would run out before a connection that is open is noticed.
        call.connector = self._reactor.connectTCP(*address, factory, timeout=None)
        factory.start_timeout(call.connector, timeout)
        return call

    def release(self, address: Address, connection: OutboundConnection) -> None:
        """Return an idle connection to the pool, or close it if the pool is closed."""
        if self._is_closed:
            connection.abort()
            return
        limit = MAX_IDLE_TIME
        if connection.keep_alive_timeout_s is not None:
            limit = min(
                limit,
                timedelta(seconds=connection.keep_alive_timeout_s * KEEP_ALIVE_TIMEOUT_FRACTION),
            )
        idle = self._idle.setdefault(address, [])
        idle.append((self.clock.now(), limit, connection))

    def add(self, connection: OutboundConnection) -> None:
        """Count a connection that has been opened."""
        self._open.add(connection)

    def paused_counts(self) -> dict[str, int]:
        """Return how many open connections are not read, by whether they wait for a response.

        An idle connection that isn't read would never get the response to its next request.
        """
        paused = [connection for connection in self._open if connection.is_reading_paused]
        idle_count = sum(connection.is_idle for connection in paused)
        return {"idle": idle_count, "waiting": len(paused) - idle_count}

    def remove(self, connection: OutboundConnection) -> None:
        """Remove a closed connection from the pool."""
        self._open.discard(connection)
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
        """Close the idle connections now and every other one once its response is complete."""
        self._is_closed = True
        for address in list(self._idle):
            self.close_idle(address)

    def _acquire(
        self,
        address: Address,
        max_idle_time: timedelta,
        excluded: Collection[OutboundConnection],
    ) -> OutboundConnection | None:
        idle = self._idle.get(address, [])
        now = self.clock.now()
        position = len(idle)
        while position:
            position -= 1
            idle_since, limit, connection = idle[position]
            if now - idle_since > min(limit, max_idle_time):
                return None
            if connection in excluded:
                continue
            del idle[position]
            if connection.is_reusable():
                return connection
            connection.abort()
        return None

    def _sweep(self) -> None:
        if self._is_closed:
            return
        # Scheduled first, so that an unexpected exception ends this sweep only.
        self.clock.call_later(SWEEP_INTERVAL, self._sweep)
        now = self.clock.now()
        for address, idle in list(self._idle.items()):
            expired = [entry for entry in idle if now - entry[0] > entry[1]]
            self._idle[address] = [entry for entry in idle if now - entry[0] <= entry[1]]
            for _, _, connection in expired:
                connection.abort()
            if not self._idle[address]:
                del self._idle[address]
