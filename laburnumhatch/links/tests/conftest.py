"""Fixtures for tests of the links: an in-memory network of instances."""

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
    """Message for tests."""

    number: int
    content: bytes = b""


class Network:
    """In-memory network of instances.

    Time advances and bytes are delivered only when a test calls `run` or `deliver`.
    """

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
            own_name=name,
            shared_key=key,
            jitter=lambda: 0.0,
            connect=partial(self._connect, name),
        )
        links.add_handler(Note, lambda peer, note: self.received[name].append((peer, note)))
        self.links[name] = links
        self.received[name] = []
        return links

    def dial(self, *pairs):
        """Set the peers of instances, given as pairs of dialer and dialled instance."""
        for dialer_name, dialled_name in pairs:
            self.links[dialer_name].set_peers([PeerAddress(dialled_name, "127.0.0.1", 1)])

    def mesh(self):
        """Set the peers of each instance to all other instances."""
        for links in self.links.values():
            links.set_peers([PeerAddress(name, "127.0.0.1", 1) for name in self.links])

    def isolate(self, name):
        """Block the streams of an instance and refuse new ones until `rejoin` is called."""
        self.isolated.add(name)
        for pump, ends in self.pumps.items():
            if name in ends:
                self.blocked_pumps.add(pump)

    def rejoin(self, name):
        """Allow new streams to and from an isolated instance again."""
        self.isolated.discard(name)

    def run(self, seconds, step=0.05):
        """Advance the clock in steps and deliver all bytes after each step."""
        for _ in range(round(seconds / step)):
            self.clock.reactor.advance(step)
            self.deliver()

    def deliver(self):
        """Deliver bytes until none are pending, and report closed ends of blocked streams."""
        while any([pump.pump() for pump in list(self.pumps) if pump not in self.blocked_pumps]):
            pass
        for pump in list(self.blocked_pumps):
            for end in (pump.clientIO, pump.serverIO):
                if end.disconnecting and not end.disconnected:
                    end.disconnected = True
                    end.reportDisconnect()

    def attach(self, client, server, ends=()):
        """Connect two protocols and return the pump that delivers their bytes."""
        pump = iosim.connect(
            server,
            iosim.FakeTransport(server, isServer=True),
            client,
            iosim.FakeTransport(client, isServer=False),
        )
        self.pumps[pump] = ends
        return pump

    def _connect(self, dialer_name, address, stream):
        if address.name not in self.links or self.isolated & {dialer_name, address.name}:
            return fail(ConnectionRefusedError())
        self.attach(stream, self.links[address.name].accept(), (dialer_name, address.name))
        return succeed(stream)


@pytest.fixture
def network(clock):
    """Return a network without instances."""
    return Network(clock)
