"""Derivation of the handshake's proofs and of the keys of one stream from the shared key."""

import hashlib
import hmac
from dataclasses import dataclass

import msgpack

from .messages import Challenge, Hello

__all__ = ["StreamKeys", "StreamSecrets", "derive_secrets"]

HASH_FUNCTION = hashlib.sha256
# Labels of the derived secrets. They are part of the protocol: both ends must use the same ones.
ACCEPTOR_PROOF_LABEL = "acceptor proof"
DIALER_PROOF_LABEL = "dialer proof"
DIALER_KEY_LABEL = "frames of the dialer"
ACCEPTOR_KEY_LABEL = "frames of the acceptor"


@dataclass(frozen=True, slots=True)
class StreamKeys:
    """Keys that authenticate the frames sent by each end, 32 bytes each."""

    dialer: bytes
    acceptor: bytes


@dataclass(frozen=True, slots=True)
class StreamSecrets:
    """Proofs and keys of a stream, which only holders of the shared key can derive."""

    dialer_proof: bytes
    acceptor_proof: bytes
    keys: StreamKeys


def derive_secrets(shared_key: bytes, hello: Hello, challenge: Challenge) -> StreamSecrets:
    """Return the proofs and the frame keys of a stream.

    Parameters
    ----------
    shared_key : bytes
    hello : Hello
    challenge : Challenge
        Its `proof` is ignored.

    Notes
    -----
    Each secret is the HMAC-SHA256 of its own label and the handshake's transcript: the version
    ranges, both names and both nonces. A proof is therefore valid for one end of one stream
    between two instances only; it can't be replayed, reflected or used in a downgrade attack.

    References
    ----------
    .. [1] RFC 2104, HMAC: Keyed-Hashing for Message Authentication.
    .. [2] RFC 5869, HMAC-based Extract-and-Expand Key Derivation Function.
    """
    transcript = (
        (hello.min_version, hello.max_version, hello.sender, hello.receiver, hello.nonce),
        (challenge.min_version, challenge.max_version, challenge.nonce),
    )

    def derive(label: str) -> bytes:
        content: bytes = msgpack.packb((label, transcript))
        return hmac.digest(shared_key, content, HASH_FUNCTION)

    keys = StreamKeys(derive(DIALER_KEY_LABEL), derive(ACCEPTOR_KEY_LABEL))
    return StreamSecrets(derive(DIALER_PROOF_LABEL), derive(ACCEPTOR_PROOF_LABEL), keys)
