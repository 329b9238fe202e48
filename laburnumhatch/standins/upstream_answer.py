"""Responses of an upstream stand-in: a JSON echo, or a large streamed body."""

import hashlib
import json
import random
from collections.abc import Iterator
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.http import Request

from .http import answer_json, cut_connection

__all__ = ["film_chunks", "film_digest", "send_answer"]

CHUNK_BYTES = 65_536
MAX_FILM_BYTES = 2**30
OK = 200


def film_chunks(seed: str, size: int) -> Iterator[bytes]:
    """Yield `size` pseudo-random bytes that depend on `seed` alone, in chunks.

    Examples
    --------
    >>> sum(len(chunk) for chunk in film_chunks("loft-3", 100_000))
    100000
    """
    generator = random.Random(seed)
    while size > 0:
        chunk = generator.randbytes(min(size, CHUNK_BYTES))
        size -= len(chunk)
        yield chunk


def film_digest(seed: str, size: int) -> str:
    """Return the SHA-256 digest of the body that `film_chunks` yields, in hexadecimal."""
    digest = hashlib.sha256()
    for chunk in film_chunks(seed, size):
        digest.update(chunk)
    return digest.hexdigest()


async def send_answer(request: Request, echo: dict[str, Any], film_bytes: int, cut: bool) -> bytes:
    """Send a response, and return the part of its body that is still to be written.

    Parameters
    ----------
    request : Request
    echo : dict
        The JSON response; with a streamed body, the header ``Echo`` carries it instead.
    film_bytes : int
        Size of the streamed body, or 0 for a JSON response.
    cut : bool
        Whether to truncate the body halfway.
    """
    if film_bytes == 0:
        body = answer_json(request, OK, echo)
        return _cut(request, body) if cut else body
    size = min(film_bytes, MAX_FILM_BYTES)
    seed = str(echo["path"])
    request.setHeader("content-type", "video/mp4")
    request.setHeader("content-length", str(size))
    request.setHeader("echo", json.dumps(echo))
    request.setHeader("digest-sha256", film_digest(seed, size))
    await _Film(request, film_chunks(seed, size), size // 2 if cut else None).sent
    return b""


def _cut(request: Request, body: bytes) -> bytes:
    request.setHeader("content-length", str(len(body)))
    request.write(body[: len(body) // 2])
    _close(request)
    return b""


def _close(request: Request) -> None:
    channel: Any = request.channel
    channel.transport.loseConnection()


class _Film:
    """Pull producer that writes a chunk whenever the connection can accept one."""

    def __init__(self, request: Request, chunks: Iterator[bytes], cut_after: int | None) -> None:
        self._request = request
        self._chunks = chunks
        self._cut_after = cut_after
        self._written = 0
        self.sent: Deferred[None] = Deferred(lambda _: request.unregisterProducer())
        request.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next chunk, or finish."""
        chunk = next(self._chunks, b"")
        cut = self._cut_after is not None and self._written + len(chunk) > self._cut_after
        if not chunk or cut:
            self._request.unregisterProducer()
            if cut:
                cut_connection(self._request)
            self.sent.callback(None)
            return
        self._written += len(chunk)
        self._request.write(chunk)

    def stopProducing(self) -> None:
        """Do nothing; called when the connection is lost."""
