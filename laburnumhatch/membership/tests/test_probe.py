"""Tests of the probes over HTTP."""

import pytest
import pytest_twisted
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from ...routing import Target
from ...storage import HttpClient
from ..probe import PROBE_TIMEOUT, http_probe
from ..target_record import Signal

READY = b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"state":"ready"}'


class _Server(Protocol):
    """Server that answers its first request with the bytes of its factory."""

    def dataReceived(self, data):
        answer, self.factory.answer = self.factory.answer, b""
        self.transport.write(answer)
        if not self.factory.asked.called:
            self.factory.asked.callback(None)


@pytest.mark.parametrize(
    ("answer", "is_whole", "signal"),
    [
        (b"", False, Signal.PROBE_SILENCE),
        (READY[:-5], False, Signal.PROBE_SILENCE),
        (READY.replace(b"200", b"500"), True, Signal.PROBE_SILENCE),
        (READY.replace(b"ready", b"alive"), True, Signal.PROBE_SILENCE),
        (READY.replace(b"17", b"20").replace(b"ready", b"draining"), True, Signal.DRAINING),
    ],
)
@pytest_twisted.ensureDeferred
async def test_probe_maps_the_response_to_a_signal(clock, answer, is_whole, signal):
    factory = Factory.forProtocol(_Server)
    factory.answer, factory.asked = answer, Deferred()
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    client = HttpClient(reactor, clock)
    target = Target("a", "127.0.0.1", port.getHost().port, "lade")
    probing = Deferred.fromCoroutine(http_probe(client, clock)(target))
    try:
        await factory.asked
        if not is_whole:
            clock.advance(PROBE_TIMEOUT)
        assert (await probing).signal is signal
    finally:
        await client.close()
        await port.stopListening()
