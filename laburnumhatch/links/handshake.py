"""Handshake that authenticates both ends of a stream by a shared key."""

import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from automat import NoTransition, TypeMachineBuilder

from .messages import Challenge, Hello, Proof, Rejection, Welcome
from .proofs import StreamKeys, derive_secrets

__all__ = [
    "MAX_VERSION",
    "MIN_VERSION",
    "NONCE_BYTES",
    "Handshake",
    "HandshakeFailed",
    "Session",
]

MAX_VERSION = 1
# Each release also supports the previous version, so that instances can be upgraded one by one.
MIN_VERSION = 1
NONCE_BYTES = 32


class HandshakeFailed(ValueError):
    """Raised if the peer does not prove the shared key or violates the handshake protocol."""


@dataclass(frozen=True, slots=True)
class Session:
    """Result of a completed handshake.

    Attributes
    ----------
    peer : str
        Authenticated name of the instance at the other end.
    dialer : str
        Name of the instance that dialled.
    version : int
        Highest protocol version that both ends support.
    sending_key, receiving_key : bytes
        Keys that authenticate the frames of each direction.
    """

    peer: str
    dialer: str
    version: int
    sending_key: bytes
    receiving_key: bytes


class _HandshakeInputs(Protocol):
    def dial(self) -> None: ...
    def hello(self, message: Hello) -> None: ...
    def challenge(self, message: Challenge) -> None: ...
    def proof(self, message: Proof) -> None: ...
    def welcome(self) -> None: ...
    def fail(self) -> None: ...


class Handshake:
    """State machine of one end of a handshake, without timeouts.

    Parameters
    ----------
    own_name : str
        Name of this instance.
    peer_name : str or None
        Name of the dialled instance, or None at the accepting end.
    shared_key : bytes
    send : callable
        Sends a message in an unauthenticated frame.

    Notes
    -----
    The dialer sends `Hello`, the acceptor replies with `Challenge` and its proof, the dialer
    sends `Proof`, and the acceptor confirms it with `Welcome` in an authenticated frame. Each end
    checks the other's proof before `session` is set, and sends no other messages before. A
    message that is not expected in the current state fails the handshake.
    """

    def __init__(
        self,
        own_name: str,
        peer_name: str | None,
        shared_key: bytes,
        send: Callable[[object], None],
    ) -> None:
        self._own_name = own_name
        self._peer_name = peer_name
        self._shared_key = shared_key
        self._send = send
        self._hello: Hello | None = None
        self._challenge: Challenge | None = None
        self._expected_proof = b""
        self._keys = StreamKeys(b"", b"")
        self._session: Session | None = None
        self._machine = _new_machine(self)

    @property
    def session(self) -> Session | None:
        """Session, or None until this end has checked the peer's proof.

        The dialer still awaits `Welcome` when it is set.
        """
        return self._session

    def start(self) -> None:
        """Send the `Hello` of the dialer."""
        self._machine.dial()

    def receive(self, message: Any) -> None:
        """Process the next message of the peer.

        Raises
        ------
        HandshakeFailed
            If the message is out of order or its proof is wrong. The stream must then be closed.
        """
        try:
            self._receive(message)
        except NoTransition as e:
            raise HandshakeFailed(f"{type(message).__name__} is out of order") from e

    def _receive(self, message: Any) -> None:
        if isinstance(message, Rejection):
            self._fail(
                f"the peer rejected the handshake: {message.reason}; "
                f"it supports versions {message.min_version} to {message.max_version}"
            )
        elif isinstance(message, Hello):
            self._machine.hello(message)
        elif isinstance(message, Challenge):
            self._machine.challenge(message)
        elif isinstance(message, Proof):
            self._machine.proof(message)
        elif isinstance(message, Welcome):
            self._machine.welcome()
        else:
            self._fail(f"{type(message).__name__} received before the handshake was complete")

    def _fail(self, reason: str) -> None:
        self._machine.fail()
        raise HandshakeFailed(reason)

    def _send_hello(self) -> None:
        assert self._peer_name is not None
        nonce = secrets.token_bytes(NONCE_BYTES)
        self._hello = Hello(MIN_VERSION, MAX_VERSION, self._own_name, self._peer_name, nonce)
        self._send(self._hello)

    def _answer_hello(self, hello: Hello) -> None:
        if hello.receiver != self._own_name or hello.sender == self._own_name:
            self._reject(f"this is {self._own_name}")
        if len(hello.nonce) != NONCE_BYTES:
            self._reject("the nonce has a wrong length")
        if _common_version(hello.min_version, hello.max_version) is None:
            self._reject(f"versions {hello.min_version} to {hello.max_version} are not spoken here")
        nonce = secrets.token_bytes(NONCE_BYTES)
        challenge_without_proof = Challenge(MIN_VERSION, MAX_VERSION, nonce, b"")
        stream_secrets = derive_secrets(self._shared_key, hello, challenge_without_proof)
        self._peer_name = hello.sender
        self._hello = hello
        self._expected_proof = stream_secrets.dialer_proof
        self._keys = stream_secrets.keys
        self._send(Challenge(MIN_VERSION, MAX_VERSION, nonce, stream_secrets.acceptor_proof))

    def _answer_challenge(self, challenge: Challenge) -> None:
        assert self._hello is not None and self._peer_name is not None
        if len(challenge.nonce) != NONCE_BYTES:
            self._fail("the nonce has a wrong length")
        stream_secrets = derive_secrets(self._shared_key, self._hello, challenge)
        if not hmac.compare_digest(challenge.proof, stream_secrets.acceptor_proof):
            self._fail("the acceptor doesn't hold the shared key")
        version = _common_version(challenge.min_version, challenge.max_version)
        if version is None:
            self._fail("the acceptor supports no common version")
        else:
            self._send(Proof(stream_secrets.dialer_proof))
            self._session = Session(
                self._peer_name,
                self._own_name,
                version,
                stream_secrets.keys.dialer,
                stream_secrets.keys.acceptor,
            )

    def _check_proof(self, proof: Proof) -> None:
        assert self._hello is not None and self._peer_name is not None
        if not hmac.compare_digest(proof.proof, self._expected_proof):
            self._reject("the dialer doesn't hold the shared key")
        version = _common_version(self._hello.min_version, self._hello.max_version)
        assert version is not None
        self._session = Session(
            self._peer_name, self._peer_name, version, self._keys.acceptor, self._keys.dialer
        )

    def _reject(self, reason: str) -> None:
        self._send(Rejection(MIN_VERSION, MAX_VERSION, reason))
        self._fail(reason)


def _common_version(min_version: int, max_version: int) -> int | None:
    version = min(max_version, MAX_VERSION)
    return version if version >= max(min_version, MIN_VERSION) else None


def _build_machine() -> Callable[[Handshake], _HandshakeInputs]:
    builder = TypeMachineBuilder(_HandshakeInputs, Handshake)
    idle = builder.state("idle")
    awaiting_challenge = builder.state("awaiting challenge")
    awaiting_proof = builder.state("awaiting proof")
    awaiting_welcome = builder.state("awaiting welcome")
    done = builder.state("done")
    failed = builder.state("failed")

    @idle.upon(_HandshakeInputs.dial).to(awaiting_challenge)
    def dial(inputs: _HandshakeInputs, handshake: Handshake) -> None:
        handshake._send_hello()

    @idle.upon(_HandshakeInputs.hello).to(awaiting_proof)
    def hello(inputs: _HandshakeInputs, handshake: Handshake, message: Hello) -> None:
        handshake._answer_hello(message)

    @awaiting_challenge.upon(_HandshakeInputs.challenge).to(awaiting_welcome)
    def challenge(inputs: _HandshakeInputs, handshake: Handshake, message: Challenge) -> None:
        handshake._answer_challenge(message)

    @awaiting_proof.upon(_HandshakeInputs.proof).to(done)
    def proof(inputs: _HandshakeInputs, handshake: Handshake, message: Proof) -> None:
        handshake._check_proof(message)

    @awaiting_welcome.upon(_HandshakeInputs.welcome).to(done)
    def welcome(inputs: _HandshakeInputs, handshake: Handshake) -> None:
        """Complete the handshake at the dialer; there is nothing to send."""

    for state in (idle, awaiting_challenge, awaiting_proof, awaiting_welcome, done, failed):
        state.upon(_HandshakeInputs.fail).to(failed).returns(None)
    return builder.build()


_new_machine = _build_machine()
