"""Header field of requests that instances pass on to each other."""

import hashlib
import hmac

from ..platform.headers import ATTEMPT_ID, DEADLINE, Headers, find_header

__all__ = ["RELAY", "is_authentic", "relay_value"]

# Proves that an instance passes the request on. A request that bears it isn't passed on again.
RELAY = b"laburnumhatch-relay"
TAG_BYTES = 16


def relay_value(shared_key: str, method: bytes, target: bytes, fields: Headers) -> bytes:
    """Return the value of the field for a request with these header fields."""
    digest = hmac.new(shared_key.encode(), digestmod=hashlib.sha256)
    fields = list(fields)
    for value in (method, target, find_header(fields, ATTEMPT_ID), find_header(fields, DEADLINE)):
        digest.update(b"%d:" % len(value or b""))
        digest.update(value or b"")
    return digest.hexdigest()[: TAG_BYTES * 2].encode()


def is_authentic(shared_key: str, method: bytes, target: bytes, fields: Headers) -> bool:
    """Return whether an instance that knows the shared key has passed the request on."""
    fields = list(fields)
    found = find_header(fields, RELAY)
    expected = relay_value(shared_key, method, target, fields)
    return bool(shared_key) and found is not None and hmac.compare_digest(found, expected)
