"""Fixtures of the links' tests: streams in memory."""

from dataclasses import dataclass

import pytest
from twisted.internet.defer import fail, succeed
from twisted.internet.error import ConnectionRefusedError
from twisted.test import iosim

from ..codec import Codec
from ..dialer import PeerAddress
from ..messages import LINK_MESSAGES
from ..peer_links import PeerLinks

KEY = "a key of all instances"


@dataclass(frozen=True)
class Note:
    """A message for tests."""

    number: int
    content: bytes = b""


class Network:
    """Connects instances in memory."""

    def __init__(self, clock):
        self.clock = clock
        self.links = {}
        self.received = {}
        self.pumps = []
        self.cut = set()

    def add(self, name, key=KEY):
        """Add an instance."""
        links = PeerLinks(
            reactor=None,
            clock=self.clock,
            codec=Codec([LINK_MESSAGES, (100, (Note,))]),
            own=name,
            shared_key=key,
            jitter=lambda: 0.0,
            connect=self._connect,
        )
        links.handle(Note, lambda peer, note: self.received[name].append((peer, note)))
        self.links[name] = links
        self.received[name] = []
        return links

    def dial(self, *pairs):
        """Let instances dial others, given as (dialer, dialled)."""
        for u, v in pairs:
            self.links[u].set_peers([PeerAddress(v, "127.0.0.1", 1)])

    def run(self, seconds, step=0.05):
        """Let time pass and deliver what is sent."""
        for _ in range(round(seconds / step)):
            self.clock.reactor.advance(step)
            self.deliver()

    def deliver(self):
        """Deliver until nothing is left to deliver."""
        while any([pump.pump() for pump in self.pumps if pump not in self.cut]):
            pass

    def attach(self, client, server):
        """Connect two protocols; return the pump between them."""
        pump = iosim.connect(
            server,
            iosim.FakeTransport(server, isServer=True),
            client,
            iosim.FakeTransport(client, isServer=False),
        )
        self.pumps.append(pump)
        return pump

    def _connect(self, address, stream):
        if address.name not in self.links:
            return fail(ConnectionRefusedError())
        self.attach(stream, self.links[address.name].accept())
        return succeed(stream)


@pytest.fixture
def network(clock):
    """A network without instances."""
    return Network(clock)
