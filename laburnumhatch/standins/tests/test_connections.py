"""Tests of the connection limit."""

from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import StringTransport

from ..connections import ConnectionTally, LimitedFactory


def test_connection_beyond_the_limit_is_refused_until_another_ends():
    tally = ConnectionTally(limit=2)
    factory = LimitedFactory(Factory.forProtocol(Protocol), tally)
    first, second, third = (factory.buildProtocol(None) for _ in range(3))
    for protocol in (first, second):
        protocol.makeConnection(StringTransport())
    assert third is not None
    assert factory.buildProtocol(None) is None
    assert (tally.open, tally.peak, tally.refused) == (2, 2, 1)
    first.connectionLost(None)
    assert factory.buildProtocol(None) is not None
    assert (tally.open, tally.peak) == (1, 2)
