"""A proxy of TCP connections that delays, silences, resets or refuses them."""

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
    """What is wrong with a link.

    Attributes
    ----------
    delay : timedelta
        Of each piece of data, both ways.
    drops_forth, drops_back : bool
        Whether what callers or what the other side sends is dropped.
    refuses : bool
        Whether new connections are refused.
    """

    delay: timedelta = timedelta()
    drops_forth: bool = False
    drops_back: bool = False
    refuses: bool = False


class FaultyProxy:
    """A listening address whose connections lead to another one.

    Parameters
    ----------
    reactor
        A Twisted reactor.
    clock : Clock
    listens_at, leads_to : (str, int)

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
        """Listen."""
        factory = Factory.forProtocol(lambda: _Side(self))
        factory.noisy = False
        host, port = self._listen_address
        self._port = self._reactor.listenTCP(port, factory, interface=host)

    def apply(self, faults: LinkFaults, *, reset: bool = False) -> None:
        """Replace the faults; `reset` resets the connections that are open."""
        was_refusing, self.faults = self.faults.refuses, faults
        if reset:
            self.reset()
        if faults.refuses and not was_refusing:
            self._port.stopListening()
        elif was_refusing and not faults.refuses:
            self.start()

    def heal(self) -> None:
        """End all faults; what was silenced stays so, as its data is lost."""
        silenced = self.faults.drops_forth or self.faults.drops_back
        self.apply(LinkFaults(), reset=silenced)

    def reset(self) -> None:
        """Reset all connections."""
        for side in list(self._sides):
            side.transport.abortConnection()

    def stop(self) -> None:
        """Listen no more and reset all connections."""
        if not self.faults.refuses:
            self._port.stopListening()
        self.reset()

    def connect(self, side: "_Side") -> None:
        """Open the connection on the other side of a new one."""
        factory = _BackFactory(self, side)
        host, port = self._leads_to
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_S)

    def opened(self, side: "_Side") -> None:
        """Note a connection."""
        self._sides.add(side)

    def closed(self, side: "_Side") -> None:
        """Forget a connection."""
        self._sides.discard(side)

    def later(self, action: Callable[[], None]) -> None:
        """Do something after the delay of the link."""
        if self.faults.delay:
            self._clock.call_later(self.faults.delay, action)
        else:
            action()


class _Side(Protocol):
    """One of the two connections of a proxied one; the caller's unless `front` is given."""

    transport: Any

    def __init__(self, proxy: FaultyProxy, front: "_Side | None" = None) -> None:
        self._proxy = proxy
        self._other = front
        self._is_front = front is None
        self._early: list[bytes] = []

    def connectionMade(self) -> None:
        """Connect the other side, or bring what came meanwhile."""
        self.transport.setTcpNoDelay(True)
        self._proxy.opened(self)
        if self._is_front:
            self._proxy.connect(self)
        elif self._other is not None:
            self._other.join(self)

    def join(self, other: "_Side") -> None:
        """Take the connection of the other side."""
        self._other = other
        for data in self._early:
            other.pass_on(data)
        self._early.clear()

    def dataReceived(self, data: bytes) -> None:
        """Send data on unless its way is cut."""
        faults = self._proxy.faults
        if faults.drops_forth if self._is_front else faults.drops_back:
            return
        if self._other is None:
            self._early.append(data)
        else:
            self._other.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        """Send data that came on the other side."""
        self._proxy.later(lambda: self.transport.write(data) if self.transport else None)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close the other side as this one was closed."""
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
        """Part of the interface of client factories."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        _log.debug("a proxied connection failed: {}", reason.getErrorMessage())
        self._front.transport.abortConnection()

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Part of the interface of client factories; the sides hear it themselves."""
