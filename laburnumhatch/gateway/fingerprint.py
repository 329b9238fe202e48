"""Fingerprint of what a request asks for, which all of its repetitions share."""

from hashlib import blake2b

from ..placement.crash_record import DEFAULT_HEAD_LENGTH
from ..platform.headers import KEY, find_header
from ..transport import CallerRequest

__all__ = ["FINGERPRINT_BYTES", "Fingerprint", "fingerprint_of", "head_of"]

HEAD_BYTES = DEFAULT_HEAD_LENGTH
BODY_BYTES = 12
FINGERPRINT_BYTES = HEAD_BYTES + BODY_BYTES
# Header fields that tell for whom a request is sent.
IDENTITY_FIELDS = (b"host", b"authorization", b"cookie", KEY)

# Digest of method, target and identity fields, followed by the digest of the body.
Fingerprint = bytes


def head_of(request: CallerRequest) -> bytes:
    """Return the first part of a request's fingerprint, which doesn't depend on its body."""
    digest = blake2b(digest_size=HEAD_BYTES)
    values = (find_header(request.fields, name) or b"" for name in IDENTITY_FIELDS)
    for value in (request.method, request.target, *values):
        digest.update(b"%d:" % len(value))
        digest.update(value)
    return digest.digest()


def fingerprint_of(request: CallerRequest) -> Fingerprint:
    """Return the fingerprint of a request, `FINGERPRINT_BYTES` long."""
    digest = blake2b(digest_size=BODY_BYTES)
    if request.body.is_streamed:
        # The body isn't known before it is sent, so its length stands for it.
        digest.update(b"streamed %d" % request.body.length)
    else:
        for part in request.body.kept_parts():
            digest.update(part)
    return head_of(request) + digest.digest()
