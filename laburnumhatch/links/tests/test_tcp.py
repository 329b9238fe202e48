"""Tests of the streams over TCP connections."""

import pytest
import pytest_twisted
from twisted.internet import reactor

from ...clocks import milliseconds
from ...standins.processes import wait_until
from ..codec import Codec
from ..dialer import PeerAddress
from ..messages import LINK_MESSAGES
from ..peer_links import PeerLinks
from ..stream import StreamTimeouts
from .conftest import Note

HOST = "127.0.0.1"
TIMEOUT = milliseconds(10_000)
# Upper limit of the bytes in flight to a peer that doesn't read: the socket buffers of both ends
# and the send buffer of one stream.
MAX_BACKLOG_BYTES = 32 * 2**20


@pytest.fixture
def make_links(real_clock):
    """Return a function that creates the links of an instance and closes them after the test."""
    created = []

    def create(name, **options):
        codec = Codec([LINK_MESSAGES, (100, (Note,))])
        links = PeerLinks(
            reactor=reactor,
            clock=real_clock,
            codec=codec,
            own_name=name,
            shared_key="a key of all instances",
            **options,
        )
        created.append(links)
        return links

    yield create
    for links in created:
        links.stop()


@pytest_twisted.ensureDeferred
async def test_full_send_buffer_is_bounded_over_tcp(real_clock, make_links):
    async def wait_for(condition, what):
        await wait_until(real_clock, condition, TIMEOUT, what)

    received = []
    sender = make_links("a", timeouts=StreamTimeouts(stall=milliseconds(300)))
    blocked, reader = make_links("b"), make_links("c")
    reader.add_handler(Note, lambda instance, note: received.append(note))
    sender.set_peers(
        PeerAddress(name, HOST, links.listen(HOST, 0))
        for name, links in (("b", blocked), ("c", reader))
    )
    await wait_for(lambda: sender.connected_peers() == ("b", "c"), "two streams")
    await wait_for(lambda: blocked.connected_peers() == ("a",), "the stream at its other end")
    stream = sender._streams["b"]
    blocked._streams["a"].transport.pauseProducing()

    note = Note(1, bytes(100_000))
    sent_bytes = [0]

    def fill_send_buffer():
        """Send messages until the buffer is full; return whether the stream is closed."""
        while sender.send("b", note):
            sent_bytes[0] += len(note.content)
            assert sent_bytes[0] < MAX_BACKLOG_BYTES
        return not stream.is_open

    await wait_for(fill_send_buffer, "the end of the blocked stream")
    assert stream.close_reason == "the peer doesn't read"
    assert sender.send("c", note)
    await wait_for(lambda: received == [note], "the note at the other instance")
