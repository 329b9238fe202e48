"""Tests of the handshake against a wrong key, replay, reflection and tampering."""

import pytest

from ..frames import FrameAuthenticator, FrameInvalid
from ..handshake import Handshake, HandshakeFailed
from ..messages import Challenge, Proof, Rejection, Welcome

KEY = b"a key of all instances"


def _new_handshake(own_name, peer_name, key=KEY):
    sent = []
    return Handshake(own_name, peer_name, key, sent.append), sent


def _run_handshake(key=KEY):
    """Run a handshake up to the proof; return both ends and the messages of each."""
    dialer, from_dialer = _new_handshake("a", "b", key)
    acceptor, from_acceptor = _new_handshake("b", None)
    dialer.start()
    acceptor.receive(from_dialer[0])
    dialer.receive(from_acceptor[0])
    acceptor.receive(from_dialer[1])
    return dialer, acceptor, from_dialer, from_acceptor


def test_both_ends_derive_the_same_session():
    dialer, acceptor, _, _ = _run_handshake()
    dialer_session, acceptor_session = dialer.session, acceptor.session
    assert (
        dialer_session.peer,
        acceptor_session.peer,
        dialer_session.dialer,
        acceptor_session.dialer,
    ) == ("b", "a", "a", "a")
    assert (dialer_session.sending_key, dialer_session.receiving_key) == (
        acceptor_session.receiving_key,
        acceptor_session.sending_key,
    )
    assert dialer_session.sending_key != dialer_session.receiving_key


def test_wrong_key_fails_the_handshake():
    with pytest.raises(HandshakeFailed, match="acceptor doesn't hold"):
        _run_handshake(b"another key of nobody")


def test_replayed_proof_is_rejected():
    _, _, from_dialer, _ = _run_handshake()
    acceptor, _ = _new_handshake("b", None)
    acceptor.receive(from_dialer[0])
    with pytest.raises(HandshakeFailed, match="dialer doesn't hold"):
        acceptor.receive(from_dialer[1])


def test_reflected_acceptor_proof_is_rejected():
    dialer, sent = _new_handshake("a", "b")
    dialer.start()
    acceptor, answers = _new_handshake("b", None)
    acceptor.receive(sent[0])
    with pytest.raises(HandshakeFailed):
        acceptor.receive(Proof(answers[0].proof))


def test_hello_from_own_name_is_rejected():
    dialer, sent = _new_handshake("a", "b")
    dialer.start()
    acceptor, answers = _new_handshake("a", None)
    with pytest.raises(HandshakeFailed):
        acceptor.receive(sent[0])
    assert isinstance(answers[0], Rejection)


def test_modified_version_range_invalidates_the_proof():
    dialer, sent = _new_handshake("a", "b")
    dialer.start()
    acceptor, answers = _new_handshake("b", None)
    acceptor.receive(sent[0])
    honest = answers[0]
    with pytest.raises(HandshakeFailed):
        dialer.receive(Challenge(honest.min_version, 9, honest.nonce, honest.proof))


@pytest.mark.parametrize("message", [Proof(b""), Welcome(), Challenge(1, 1, b"", b"")])
def test_message_out_of_order_is_rejected(message):
    acceptor, _ = _new_handshake("b", None)
    with pytest.raises(HandshakeFailed, match="out of order"):
        acceptor.receive(message)


@pytest.mark.parametrize("fault", ["changed", "repeated", "left out", "reflected"])
def test_tampered_frame_is_rejected(fault):
    sender, receiver, other = (
        FrameAuthenticator(b"1"),
        FrameAuthenticator(b"1"),
        FrameAuthenticator(b"2"),
    )
    first, second = sender.add_tag(b"one"), sender.add_tag(b"two")
    if fault == "changed":
        bad = first[:-1] + b"x"
    elif fault == "repeated":
        receiver.verify(first)
        bad = first
    elif fault == "left out":
        bad = second
    else:
        bad = other.add_tag(b"one")
    with pytest.raises(FrameInvalid):
        receiver.verify(bad)
