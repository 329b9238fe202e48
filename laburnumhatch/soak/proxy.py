"""TCP proxy that can delay, drop, reset or refuse traffic."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from ..clocks import Clock

__all__ = ["FaultyProxy", "LinkFaults"]

Address = tuple[str, int]
CONNECT_TIMEOUT_S = 5

_log = logbook.Logger("laburnumhatch.soak")


@dataclass(slots=True)
class LinkFaults:
    """Injected faults of a link.

    Attributes
    ----------
    delay : timedelta
        Delay of each chunk of data, in both directions.
    drops_from_client, drops_from_server : bool
        Whether data from the connecting side, or from the address behind the proxy, is dropped.
    refuses_connections : bool
        Whether new connections are refused.
    """

    delay: timedelta = timedelta()
    drops_from_client: bool = False
    drops_from_server: bool = False
    refuses_connections: bool = False


class FaultyProxy:
    """Proxy that forwards the connections to one address to another address.

    Parameters
    ----------
    reactor
        A Twisted reactor.
    clock : Clock
    listen_address, forward_address : (str, int)

    Attributes
    ----------
    faults : LinkFaults
    """

    def __init__(
        self, reactor: Any, clock: Clock, listen_address: Address, forward_address: Address
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._listen_address = listen_address
        self._forward_address = forward_address
        self._port: Any = None
        self._connections: set[_ProxyConnection] = set()
        self.faults = LinkFaults()

    def start(self) -> None:
        """Listen for connections."""
        factory = Factory.forProtocol(lambda: _ProxyConnection(self))
        factory.noisy = False
        host, port = self._listen_address
        self._port = self._reactor.listenTCP(port, factory, interface=host)

    def apply_faults(self, faults: LinkFaults, *, reset: bool = False) -> None:
        """Replace the injected faults; if `reset` is true, also reset the open connections."""
        was_refusing_connections, self.faults = self.faults.refuses_connections, faults
        if reset:
            self.reset_connections()
        if faults.refuses_connections and not was_refusing_connections:
            self._port.stopListening()
        elif was_refusing_connections and not faults.refuses_connections:
            self.start()

    def clear_faults(self) -> None:
        """End all faults, and reset the open connections if data was dropped from them."""
        had_dropped_data = self.faults.drops_from_client or self.faults.drops_from_server
        self.apply_faults(LinkFaults(), reset=had_dropped_data)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.transport.abortConnection()

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        if not self.faults.refuses_connections:
            self._port.stopListening()
        self.reset_connections()

    def open_outgoing(self, connection: "_ProxyConnection") -> None:
        """Open the outgoing connection for an accepted one."""
        factory = _OutgoingFactory(self, connection)
        host, port = self._forward_address
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_S)

    def add_connection(self, connection: "_ProxyConnection") -> None:
        """Record an open connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: "_ProxyConnection") -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def call_delayed(self, action: Callable[[], None]) -> None:
        """Call an action after the delay of the link."""
        if self.faults.delay:
            self._clock.call_later(self.faults.delay, action)
        else:
            action()


class _ProxyConnection(Protocol):
    """One of the two connections of a proxied link.

    It is the outgoing connection if `accepted`, the other connection, is given.
    """

    transport: Any

    def __init__(self, proxy: FaultyProxy, accepted: "_ProxyConnection | None" = None) -> None:
        self._proxy = proxy
        self._other_side = accepted
        self._is_accepted = accepted is None
        self._early_data: list[bytes] = []

    def connectionMade(self) -> None:
        """Open the outgoing connection for an accepted one, or attach the outgoing one to it."""
        self.transport.setTcpNoDelay(True)
        self._proxy.add_connection(self)
        if self._is_accepted:
            self._proxy.open_outgoing(self)
        elif self._other_side is not None:
            self._other_side.attach(self)

    def attach(self, other: "_ProxyConnection") -> None:
        """Set the connection of the other side and forward the data received so far."""
        self._other_side = other
        for data in self._early_data:
            other.forward(data)
        self._early_data.clear()

    def dataReceived(self, data: bytes) -> None:
        """Forward received data unless its direction is dropped."""
        faults = self._proxy.faults
        if faults.drops_from_client if self._is_accepted else faults.drops_from_server:
            return
        if self._other_side is None:
            self._early_data.append(data)
        else:
            self._other_side.forward(data)

    def forward(self, data: bytes) -> None:
        """Send data that the other side received."""
        self._proxy.call_delayed(lambda: self.transport.write(data) if self.transport else None)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close or reset the other side, in the way in which this side ended."""
        self._proxy.remove_connection(self)
        other, self._other_side = self._other_side, None
        if other is None or other.transport is None:
            return
        if reason.check(type(connectionDone.value)):
            self._proxy.call_delayed(other.transport.loseConnection)
        else:
            other.transport.abortConnection()


class _OutgoingFactory(Factory):
    noisy = False

    def __init__(self, proxy: FaultyProxy, accepted: _ProxyConnection) -> None:
        self._proxy = proxy
        self._accepted = accepted

    def buildProtocol(self, addr: Any) -> _ProxyConnection:
        return _ProxyConnection(self._proxy, self._accepted)

    def startedConnecting(self, connector: Any) -> None:
        """Required by the interface of client factories."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        _log.debug("the proxy could not open the outgoing connection: {}", reason.getErrorMessage())
        self._accepted.transport.abortConnection()

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Required by the interface of client factories; the connections handle their own loss."""
