"""Fixtures of the links' tests: streams in memory."""

from dataclasses import dataclass
from functools import partial

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

    def __init__(self, clock, message_types=()):
        self.clock = clock
        self.families = [LINK_MESSAGES, (100, (Note, *message_types))]
        self.links = {}
        self.received = {}
        self.pumps = {}
        self.blocked_pumps = set()
        self.isolated = set()

    def add(self, name, key=KEY):
        """Add an instance."""
        links = PeerLinks(
            reactor=None,
            clock=self.clock,
            codec=Codec(self.families),
            own=name,
            shared_key=key,
            jitter=lambda: 0.0,
            connect=partial(self._connect, name),
        )
        links.handle(Note, lambda peer, note: self.received[name].append((peer, note)))
        self.links[name] = links
        self.received[name] = []
        return links

    def dial(self, *pairs):
        """Let instances dial others, given as (dialer, dialled)."""
        for dialer_name, dialled_name in pairs:
            self.links[dialer_name].set_peers([PeerAddress(dialled_name, "127.0.0.1", 1)])

    def mesh(self):
        """Let all instances dial all others."""
        for links in self.links.values():
            links.set_peers([PeerAddress(name, "127.0.0.1", 1) for name in self.links])

    def isolate(self, name):
        """Break the streams of an instance and let none be made until `rejoin`."""
        self.isolated.add(name)
        for pump, ends in self.pumps.items():
            if name in ends:
                self.blocked_pumps.add(pump)

    def rejoin(self, name):
        """Let streams to an instance be made again."""
        self.isolated.discard(name)

    def run(self, seconds, step=0.05):
        """Let time pass and deliver what is sent."""
        for _ in range(round(seconds / step)):
            self.clock.reactor.advance(step)
            self.deliver()

    def deliver(self):
        """Deliver until nothing is left to deliver."""
        while any([pump.pump() for pump in list(self.pumps) if pump not in self.blocked_pumps]):
            pass
        for pump in list(self.blocked_pumps):
            for end in (pump.clientIO, pump.serverIO):
                if end.disconnecting and not end.disconnected:
                    end.disconnected = True
                    end.reportDisconnect()

    def attach(self, client, server, ends=()):
        """Connect two protocols; return the pump between them."""
        pump = iosim.connect(
            server,
            iosim.FakeTransport(server, isServer=True),
            client,
            iosim.FakeTransport(client, isServer=False),
        )
        self.pumps[pump] = ends
        return pump

    def _connect(self, own, address, stream):
        if address.name not in self.links or self.isolated & {own, address.name}:
            return fail(ConnectionRefusedError())
        self.attach(stream, self.links[address.name].accept(), (own, address.name))
        return succeed(stream)


@pytest.fixture
def network(clock):
    """A network without instances."""
    return Network(clock)
