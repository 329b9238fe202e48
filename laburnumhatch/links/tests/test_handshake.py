"""Tests of the handshake against peers without the key, replays and reflections."""

import pytest

from ..frames import FrameInvalid, FrameSealer
from ..handshake import Handshake, HandshakeFailed
from ..messages import Challenge, Proof, Rejection, Welcome

KEY = b"a key of all instances"


def _end(own, peer, key=KEY):
    sent = []
    return Handshake(own, peer, key, sent.append), sent


def _exchange(key=KEY):
    """Return both ends and all messages of a handshake up to the proof."""
    dialer, from_dialer = _end("a", "b", key)
    acceptor, from_acceptor = _end("b", None)
    dialer.start()
    acceptor.receive(from_dialer[0])
    dialer.receive(from_acceptor[0])
    acceptor.receive(from_dialer[1])
    return dialer, acceptor, from_dialer, from_acceptor


def test_both_ends_agree():
    dialer, acceptor, _, _ = _exchange()
    u, v = dialer.established, acceptor.established
    assert (u.peer, v.peer, u.dialer, v.dialer) == ("b", "a", "a", "a")
    assert (u.sending_key, u.receiving_key) == (v.receiving_key, v.sending_key)
    assert u.sending_key != u.receiving_key


def test_other_key_proves_nothing():
    with pytest.raises(HandshakeFailed, match="acceptor doesn't hold"):
        _exchange(b"another key of nobody")


def test_recorded_proof_is_refused():
    _, _, from_dialer, _ = _exchange()
    acceptor, _ = _end("b", None)
    acceptor.receive(from_dialer[0])
    with pytest.raises(HandshakeFailed, match="dialer doesn't hold"):
        acceptor.receive(from_dialer[1])


def test_proof_of_the_acceptor_is_no_proof_of_the_dialer():
    dialer, sent = _end("a", "b")
    dialer.start()
    acceptor, answers = _end("b", None)
    acceptor.receive(sent[0])
    with pytest.raises(HandshakeFailed):
        acceptor.receive(Proof(answers[0].proof))


def test_own_hello_is_refused():
    dialer, sent = _end("a", "b")
    dialer.start()
    acceptor, answers = _end("a", None)
    with pytest.raises(HandshakeFailed):
        acceptor.receive(sent[0])
    assert isinstance(answers[0], Rejection)


def test_changed_version_range_breaks_the_proof():
    dialer, sent = _end("a", "b")
    dialer.start()
    acceptor, answers = _end("b", None)
    acceptor.receive(sent[0])
    honest = answers[0]
    with pytest.raises(HandshakeFailed):
        dialer.receive(Challenge(honest.lowest, 9, honest.nonce, honest.proof))


@pytest.mark.parametrize("message", [Proof(b""), Welcome(), Challenge(1, 1, b"", b"")])
def test_message_out_of_order_is_refused(message):
    acceptor, _ = _end("b", None)
    with pytest.raises(HandshakeFailed, match="out of order"):
        acceptor.receive(message)


@pytest.mark.parametrize("fault", ["changed", "repeated", "left out", "reflected"])
def test_sealed_frames_are_not_forged(fault):
    sender, receiver, other = FrameSealer(b"1"), FrameSealer(b"1"), FrameSealer(b"2")
    first, second = sender.seal(b"one"), sender.seal(b"two")
    if fault == "changed":
        bad = first[:-1] + b"x"
    elif fault == "repeated":
        receiver.open(first)
        bad = first
    elif fault == "left out":
        bad = second
    else:
        bad = other.seal(b"one")
    with pytest.raises(FrameInvalid):
        receiver.open(bad)
