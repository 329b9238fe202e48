"""Messages of the handshake and of the keep-alive.

The codec sends a message as a list of its fields, so their order is part of the protocol.
"""

from dataclasses import dataclass

__all__ = ["LINK_MESSAGES", "Challenge", "Hello", "KeepAlive", "Proof", "Rejection", "Welcome"]


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the handshake, sent by the dialer.

    Attributes
    ----------
    min_version, max_version : int
        Range of protocol versions that the sender supports.
    sender, receiver : str
        Names of the instances.
    nonce : bytes
        Random bytes that are used once.
    """

    min_version: int
    max_version: int
    sender: str
    receiver: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Challenge:
    """The acceptor's reply to `Hello`: its version range, nonce and proof of the shared key."""

    min_version: int
    max_version: int
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Proof:
    """The dialer's proof of the shared key."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """The acceptor's confirmation of the dialer's proof, sent in the first authenticated frame."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """The acceptor's refusal, after which it closes the stream.

    Attributes
    ----------
    min_version, max_version : int
        Range of protocol versions that the acceptor supports.
    reason : str
    """

    min_version: int
    max_version: int
    reason: str


@dataclass(frozen=True, slots=True)
class KeepAlive:
    """Message that shows that the sender is alive, sent when no other message is due."""


LINK_MESSAGES = (1, (Hello, Challenge, Proof, Welcome, Rejection, KeepAlive))
