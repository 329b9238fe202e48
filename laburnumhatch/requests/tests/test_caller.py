"""Tests of the callers' connections."""

from twisted.internet import task
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from ..caller import CallerFactory


def test_connections_count_as_closed_once_they_have_sent_everything():
    factory = CallerFactory(task.Clock(), lambda request: None)
    channel = factory.buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    closed = factory.close_connections()
    assert transport.disconnecting and not closed.called
    channel.connectionLost(Failure(ConnectionDone()))
    assert closed.called
