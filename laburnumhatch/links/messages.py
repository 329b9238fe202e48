"""Messages of the links themselves."""

from dataclasses import dataclass

__all__ = ["LINK_MESSAGES", "Challenge", "Hello", "KeepAlive", "Proof", "Rejection", "Welcome"]


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame, from the instance that dials.

    Attributes
    ----------
    lowest, highest : int
        Protocol versions that the sender speaks.
    sender, receiver : str
        Names of the instances.
    nonce : bytes
        Fresh random bytes.
    """

    min_version: int
    max_version: int
    sender: str
    receiver: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Challenge:
    """Answer to a hello: the acceptor's part, and its proof of the shared key."""

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
    """The acceptor took the proof; the first sealed frame."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """The acceptor closes the stream; `lowest` to `highest` are the versions it speaks."""

    min_version: int
    max_version: int
    reason: str


@dataclass(frozen=True, slots=True)
class KeepAlive:
    """Shows that the sender is running when it has nothing else to send."""


LINK_MESSAGES = (1, (Hello, Challenge, Proof, Welcome, Rejection, KeepAlive))
