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
    drops_forth, drops_back : bool
        Whether data from the connecting side, or data from the other side, is dropped.
    refuses : bool
        Whether new connections are refused.
    """

    delay: timedelta = timedelta()
    drops_forth: bool = False
    drops_back: bool = False
    refuses: bool = False


class FaultyProxy:
    """Proxy that forwards the connections to one address to another address.

    Parameters
    ----------
    reactor
        A Twisted reactor.
    clock : Clock
    listen_address, leads_to : (str, int)

    Attributes
    ----------
    faults : LinkFaults
    """

    def __init__(
        self, reactor: Any, clock: Clock, listen_address: Address, leads_to: Address
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._listen_address = listen_address
        self._leads_to = leads_to
        self._port: Any = None
        self._sides: set[_Side] = set()
        self.faults = LinkFaults()

    def start(self) -> None:
        """Listen for connections."""
        factory = Factory.forProtocol(lambda: _Side(self))
        factory.noisy = False
        host, port = self._listen_address
        self._port = self._reactor.listenTCP(port, factory, interface=host)

    def apply(self, faults: LinkFaults, *, reset: bool = False) -> None:
        """Replace the injected faults; if `reset` is true, also reset the open connections."""
        was_refusing, self.faults = self.faults.refuses, faults
        if reset:
            self.reset()
        if faults.refuses and not was_refusing:
            self._port.stopListening()
        elif was_refusing and not faults.refuses:
            self.start()

    def heal(self) -> None:
        """End all faults, and reset the open connections if data was dropped from them."""
        silenced = self.faults.drops_forth or self.faults.drops_back
        self.apply(LinkFaults(), reset=silenced)

    def reset(self) -> None:
        """Reset all open connections."""
        for side in list(self._sides):
            side.transport.abortConnection()

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        if not self.faults.refuses:
            self._port.stopListening()
        self.reset()

    def connect(self, side: "_Side") -> None:
        """Open the outgoing connection for an accepted one."""
        factory = _BackFactory(self, side)
        host, port = self._leads_to
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_S)

    def opened(self, side: "_Side") -> None:
        """Record an open connection."""
        self._sides.add(side)

    def closed(self, side: "_Side") -> None:
        """Remove a closed connection."""
        self._sides.discard(side)

    def later(self, action: Callable[[], None]) -> None:
        """Call an action after the delay of the link."""
        if self.faults.delay:
            self._clock.call_later(self.faults.delay, action)
        else:
            action()


class _Side(Protocol):
    """One of the two connections of a proxied link.

    It is the outgoing connection if `front`, the accepted connection, is given.
    """

    transport: Any

    def __init__(self, proxy: FaultyProxy, front: "_Side | None" = None) -> None:
        self._proxy = proxy
        self._other = front
        self._is_front = front is None
        self._early: list[bytes] = []

    def connectionMade(self) -> None:
        """Open the outgoing connection for an accepted one, or attach the outgoing one to it."""
        self.transport.setTcpNoDelay(True)
        self._proxy.opened(self)
        if self._is_front:
            self._proxy.connect(self)
        elif self._other is not None:
            self._other.join(self)

    def join(self, other: "_Side") -> None:
        """Set the connection of the other side and forward the data received so far."""
        self._other = other
        for data in self._early:
            other.pass_on(data)
        self._early.clear()

    def dataReceived(self, data: bytes) -> None:
        """Forward received data unless its direction is dropped."""
        faults = self._proxy.faults
        if faults.drops_forth if self._is_front else faults.drops_back:
            return
        if self._other is None:
            self._early.append(data)
        else:
            self._other.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        """Send data that the other side received."""
        self._proxy.later(lambda: self.transport.write(data) if self.transport else None)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close or reset the other side, in the way in which this side ended."""
        self._proxy.closed(self)
        other, self._other = self._other, None
        if other is None or other.transport is None:
            return
        if reason.check(type(connectionDone.value)):
            self._proxy.later(other.transport.loseConnection)
        else:
            other.transport.abortConnection()


class _BackFactory(Factory):
    noisy = False

    def __init__(self, proxy: FaultyProxy, front: _Side) -> None:
        self._proxy = proxy
        self._front = front

    def buildProtocol(self, addr: Any) -> _Side:
        return _Side(self._proxy, self._front)

    def startedConnecting(self, connector: Any) -> None:
        """Required by the interface of client factories."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        _log.debug("the proxy could not open the outgoing connection: {}", reason.getErrorMessage())
        self._front.transport.abortConnection()

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Required by the interface of client factories; the connections handle their own loss."""
