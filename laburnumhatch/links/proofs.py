"""Proofs of the shared key, and the keys of one stream."""

import hashlib
import hmac
from dataclasses import dataclass

import msgpack

from .messages import Challenge, Hello

__all__ = ["StreamKeys", "StreamSecrets", "derive_secrets"]

HASH_FUNCTION = hashlib.sha256
ACCEPTOR_PROOF_LABEL = "acceptor proof"
DIALER_PROOF_LABEL = "dialer proof"
DIALER_KEY_LABEL = "frames of the dialer"
ACCEPTOR_KEY_LABEL = "frames of the acceptor"


@dataclass(frozen=True, slots=True)
class StreamKeys:
    """Keys that seal the frames of each direction, 32 bytes each."""

    dialer: bytes
    acceptor: bytes


@dataclass(frozen=True, slots=True)
class StreamSecrets:
    """What only the holders of the shared key can work out for a stream."""

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
        Its `proof` is left out of account.

    Notes
    -----
    Each secret is the HMAC-SHA256 of its own label and the whole exchange: the version ranges,
    both names and both nonces. A proof thus fits one direction of one stream between two
    instances; it can't be replayed, reflected, or used to force an older version.

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
