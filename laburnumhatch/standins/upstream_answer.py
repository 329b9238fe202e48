"""Responses of an upstream stand-in: a JSON echo, or a large streamed body."""

import hashlib
import json
import random
from collections.abc import Iterator
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.http import Request

from .http import abort_connection, answer_json

__all__ = ["body_digest", "generate_body", "send_answer"]

CHUNK_BYTES = 65_536
MAX_STREAM_BYTES = 2**30
OK = 200


def generate_body(seed: str, size: int) -> Iterator[bytes]:
    """Yield `size` pseudo-random bytes that depend on `seed` alone, in chunks.

    Examples
    --------
    >>> sum(len(chunk) for chunk in generate_body("loft-3", 100_000))
    100000
    """
    generator = random.Random(seed)
    while size > 0:
        chunk = generator.randbytes(min(size, CHUNK_BYTES))
        size -= len(chunk)
        yield chunk


def body_digest(seed: str, size: int) -> str:
    """Return the SHA-256 digest of the body that `generate_body` yields, in hexadecimal."""
    digest = hashlib.sha256()
    for chunk in generate_body(seed, size):
        digest.update(chunk)
    return digest.hexdigest()


async def send_answer(
    request: Request, echo: dict[str, Any], stream_bytes: int, truncate: bool
) -> bytes:
    """Send a response, and return the part of its body that is still to be written.

    Parameters
    ----------
    request : Request
    echo : dict
        The JSON response; with a streamed body, the header ``Echo`` carries it instead.
    stream_bytes : int
        Size of the streamed body, or 0 for a JSON response.
    truncate : bool
        Whether to truncate the body halfway.
    """
    if stream_bytes == 0:
        body = answer_json(request, OK, echo)
        return _send_truncated(request, body) if truncate else body
    size = min(stream_bytes, MAX_STREAM_BYTES)
    seed = str(echo["path"])
    request.setHeader("content-type", "video/mp4")
    request.setHeader("content-length", str(size))
    request.setHeader("echo", json.dumps(echo))
    request.setHeader("digest-sha256", body_digest(seed, size))
    await _BodyProducer(
        request, generate_body(seed, size), size // 2 if truncate else None
    ).finished
    return b""


def _send_truncated(request: Request, body: bytes) -> bytes:
    request.setHeader("content-length", str(len(body)))
    request.write(body[: len(body) // 2])
    _close_connection(request)
    return b""


def _close_connection(request: Request) -> None:
    channel: Any = request.channel
    channel.transport.loseConnection()


class _BodyProducer:
    """Pull producer that writes a chunk whenever the connection can accept one."""

    def __init__(
        self, request: Request, chunks: Iterator[bytes], truncate_after: int | None
    ) -> None:
        self._request = request
        self._chunks = chunks
        self._truncate_after = truncate_after
        self._written = 0
        self.finished: Deferred[None] = Deferred(lambda _: request.unregisterProducer())
        request.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next chunk, or finish."""
        chunk = next(self._chunks, b"")
        truncate = (
            self._truncate_after is not None and self._written + len(chunk) > self._truncate_after
        )
        if not chunk or truncate:
            self._request.unregisterProducer()
            if truncate:
                abort_connection(self._request)
            self.finished.callback(None)
            return
        self._written += len(chunk)
        self._request.write(chunk)

    def stopProducing(self) -> None:
        """Do nothing; called when the connection is lost."""
