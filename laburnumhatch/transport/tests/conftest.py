"""A network in memory for the tests of HTTP connections."""

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from ..outbound import OutboundConnection, OutboundRequest


class FakeSocket:
    """A socket whose options are noted; never has unread bytes."""

    def __init__(self):
        self.options = {}

    def setsockopt(self, level, option, value):
        self.options[level, option] = value

    def recv(self, size, flags=0):
        raise BlockingIOError


class FakeTransport(StringTransport):
    """A TCP transport in memory."""

    def __init__(self):
        super().__init__()
        self.socket = FakeSocket()
        self.is_aborted = False

    def getHandle(self):
        return self.socket

    def setTcpNoDelay(self, enabled):
        pass

    def doWrite(self):
        pass

    def abortConnection(self):
        self.is_aborted = True
        super().abortConnection()


class Recorder:
    """Receiver that keeps what it hears."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.is_complete = False
        self.failure = None

    def began(self, status, fields, length):
        self.status = status

    def received(self, data):
        self.body += data

    def ended(self):
        assert not self.is_complete and self.failure is None
        self.is_complete = True

    def failed(self, failure):
        assert not self.is_complete and self.failure is None
        self.failure = failure


class FakeUpstream:
    """The other end of an outbound connection."""

    def __init__(self):
        self.idle = []
        self.closed = []
        self.transport = FakeTransport()
        self.connection = OutboundConnection(self.idle.append, self.closed.append)
        self.connection.makeConnection(self.transport)

    def send_request(self, request_id=b"a1", method=b"GET", body=b""):
        """Send a request; return what receives its answer."""
        recorder = Recorder()
        request = OutboundRequest(
            method,
            b"/x",
            [(b"host", b"h"), (b"id", request_id)],
            body,
            lambda status, fields: (b"id", request_id) in fields,
        )
        self.connection.send(request, recorder)
        return recorder

    def send_bytes(self, content):
        """Send bytes of an answer."""
        self.connection.dataReceived(content)

    def close(self):
        """End the connection in good order."""
        self.connection.connectionLost(Failure(ConnectionDone()))

    def reset(self):
        """Break the connection."""
        self.connection.connectionLost(Failure(ConnectionLost()))


@pytest.fixture
def upstream():
    """An upstream with one connection."""
    return FakeUpstream()


@pytest.fixture
def new_transport():
    """Makes TCP transports in memory."""
    return FakeTransport
