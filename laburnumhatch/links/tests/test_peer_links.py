"""Tests of the streams between instances over an in-memory network."""

import pytest
from twisted.internet.protocol import Protocol

from ..dialer import PeerAddress
from ..frames import MAX_FRAME_BYTES, pack_frame
from ..messages import Hello
from ..peer_links import MAX_PENDING_HANDSHAKES
from .conftest import Note


class Recorder(Protocol):
    """Peer that records the bytes it receives and sends nothing by itself."""

    def __init__(self):
        self.data = b""

    def dataReceived(self, data):
        self.data += data


@pytest.fixture
def connected_pair(network):
    """Return a network with the instances a and b and an open stream between them."""
    network.add("a")
    network.add("b")
    network.dial(("a", "b"))
    network.run(0.1)
    assert network.links["a"].connected_peers() == ("b",)
    (network.first,) = network.pumps
    return network


def test_messages_arrive_in_order(connected_pair):
    for number in range(3):
        assert connected_pair.links["a"].send("b", Note(number))
        assert connected_pair.links["b"].send("a", Note(number))
    connected_pair.deliver()
    assert connected_pair.received["b"] == [("a", Note(0)), ("a", Note(1)), ("a", Note(2))]
    assert len(connected_pair.received["a"]) == 3
    assert not connected_pair.links["a"].send("c", Note(0))


def test_wrong_key_is_rejected_in_both_directions(network):
    network.add("a", key="another key of nobody")
    network.add("b")
    network.dial(("a", "b"))
    network.run(3)
    network.dial(("b", "a"))
    network.run(3)
    assert network.links["a"].connected_peers() == network.links["b"].connected_peers() == ()


def test_instance_missing_from_the_peer_list_is_accepted(network):
    network.add("a")
    network.add("b")
    network.dial(("b", "a"))
    network.run(2.5)
    assert network.links["b"].send("a", Note(1))
    network.deliver()
    assert network.received["a"] == [("b", Note(1))]


def test_non_mutual_peer_is_dialled_without_delay(network):
    network.add("a")
    network.add("b")
    network.links["b"].set_peers([PeerAddress("a", "127.0.0.1", 1)], is_mutual=False)
    network.run(0.1)
    assert network.links["b"].connected_peers() == ("a",)


def test_duplicate_stream_by_second_dialer_is_closed(connected_pair):
    first = connected_pair.first
    connected_pair.links["b"]._dial(PeerAddress("a", "", 0))
    duplicate = connected_pair.links["b"]._new_stream("a")
    connected_pair.attach(duplicate, connected_pair.links["a"].accept())
    connected_pair.deliver()
    assert first.client.session.dialer == "a"
    assert first.client.is_open and first.server.is_open
    assert not duplicate.is_open
    connected_pair.run(4)
    assert connected_pair.links["a"].send("b", Note(1)) and connected_pair.links["b"].send(
        "a", Note(2)
    )
    connected_pair.deliver()
    assert connected_pair.received == {"a": [("b", Note(2))], "b": [("a", Note(1))]}


def test_simultaneous_dials_keep_the_stream_of_the_first_name(network):
    network.add("a")
    network.add("b")
    streams = [network.links[u]._new_stream(v) for u, v in (("a", "b"), ("b", "a"))]
    network.attach(streams[0], network.links["b"].accept())
    network.attach(streams[1], network.links["a"].accept())
    network.deliver()
    assert [stream.is_open for stream in streams] == [True, False]


@pytest.mark.parametrize(
    "invalid_bytes",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xc6\xff\xff\xff\xff" + bytes(100),
        b"\xc6" + (MAX_FRAME_BYTES + 1).to_bytes(4),
        b"\xdd\xff\xff\xff\xff",
        pack_frame(b"\x91" * 4000),
        pack_frame(b"\xc1"),
        pack_frame(bytes(5000)),
    ],
)
def test_invalid_bytes_close_only_their_stream(connected_pair, invalid_bytes):
    unauthenticated_peer = Recorder()
    server = connected_pair.links["b"].accept()
    connected_pair.attach(unauthenticated_peer, server)
    unauthenticated_peer.transport.write(invalid_bytes)
    connected_pair.run(2.5)
    assert not server.is_open
    assert server.close_reason
    assert connected_pair.links["b"].connected_peers() == ("a",)
    assert connected_pair.links["a"].send("b", Note(1))


@pytest.mark.parametrize(
    "invalid_bytes", [pack_frame(bytes(40)), b"\xc6\xff" + bytes(2 * MAX_FRAME_BYTES)]
)
def test_invalid_bytes_of_authenticated_peer_close_its_stream_until_redialled(
    connected_pair, invalid_bytes
):
    connected_pair.first.client.transport.write(invalid_bytes)
    connected_pair.deliver()
    assert connected_pair.links["b"].connected_peers() == ()
    connected_pair.run(1)
    assert connected_pair.links["b"].connected_peers() == ("a",)


def test_bytes_before_authentication_are_bounded(connected_pair):
    unauthenticated_peer = Recorder()
    server = connected_pair.links["b"].accept()
    connected_pair.attach(unauthenticated_peer, server)
    unauthenticated_peer.transport.write(b"\xc6" + MAX_FRAME_BYTES.to_bytes(4) + bytes(5000))
    connected_pair.deliver()
    assert server.close_reason == "too many bytes before the handshake's end"


def test_silent_handshake_times_out(connected_pair):
    server = connected_pair.links["b"].accept()
    connected_pair.attach(Recorder(), server)
    connected_pair.run(2.5)
    assert server.close_reason == "the handshake took too long"


def test_concurrent_handshakes_are_bounded(connected_pair):
    streams = [connected_pair.links["b"].accept() for _ in range(MAX_PENDING_HANDSHAKES + 6)]
    assert sum(bool(stream.close_reason) for stream in streams) == 6


def test_silent_peer_is_disconnected_and_redialled(connected_pair):
    connected_pair.blocked_pumps.add(connected_pair.first)
    connected_pair.run(3.6)
    assert connected_pair.first.client.close_reason == "the peer is silent"
    connected_pair.run(1)
    assert connected_pair.links["a"].connected_peers() == ("b",)


def test_idle_streams_stay_open(connected_pair):
    connected_pair.run(20)
    assert len(connected_pair.pumps) == 1
    assert connected_pair.first.client.is_open


def test_pause_of_this_process_does_not_close_streams(connected_pair):
    connected_pair.clock.reactor.advance(30)
    assert connected_pair.links["a"].connected_peers() == ("b",)
    connected_pair.run(5)
    assert len(connected_pair.pumps) == 1


def test_full_send_buffer_refuses_messages_then_closes_the_stream(connected_pair):
    stream = connected_pair.first.client
    stream.pauseProducing()
    assert not connected_pair.links["a"].send("b", Note(1))
    stream.resumeProducing()
    assert connected_pair.links["a"].send("b", Note(1))
    stream.pauseProducing()
    connected_pair.run(3.1)
    assert stream.close_reason == "the peer doesn't read"


def test_message_above_the_frame_limit_is_not_sent(connected_pair):
    assert not connected_pair.links["a"].send("b", Note(1, bytes(MAX_FRAME_BYTES)))
    assert connected_pair.links["a"].send("b", Note(1, bytes(MAX_FRAME_BYTES - 100)))
    connected_pair.deliver()
    assert len(connected_pair.received["b"]) == 1


def test_handler_exception_does_not_close_the_stream(connected_pair):
    connected_pair.links["b"].add_handler(Note, lambda peer, note: 1 / 0)
    connected_pair.links["a"].send("b", Note(1))
    connected_pair.deliver()
    assert connected_pair.links["b"].connected_peers() == ("a",)


def test_unsupported_version_gets_a_rejection(connected_pair):
    unauthenticated_peer = Recorder()
    connected_pair.attach(unauthenticated_peer, connected_pair.links["b"].accept())
    codec = connected_pair.links["b"]._codec
    hello = Hello(7, 9, "z", "b", bytes(32))
    unauthenticated_peer.transport.write(pack_frame(codec.encode(hello)))
    connected_pair.deliver()
    assert b"versions 7 to 9 are not spoken here" in unauthenticated_peer.data


def test_stop_closes_all_streams(connected_pair):
    connected_pair.links["a"].stop()
    connected_pair.run(3)
    assert connected_pair.links["b"].connected_peers() == ()
