"""Producers that send the bodies of callers' requests to an upstream."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

__all__ = ["BodyCut", "BufferedBody", "StreamedBody"]

# Bytes buffered for the upstream before reading from the caller is paused.
MAX_STREAM_BUFFER_BYTES = 65_536


class BodyCut(Exception):
    """The caller's body ended early or exceeded its limit."""


@implementer(IBodyProducer)
class BufferedBody:
    """Body that is received completely before the request is sent, so that it can be sent again.

    Parameters
    ----------
    content : bytes
    """

    def __init__(self, content: bytes) -> None:
        self.content = content
        self.length = len(content)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the body to the upstream's connection."""
        consumer.write(self.content)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing, since the body is written in one piece."""

    def resumeProducing(self) -> None:
        """Do nothing, since the body is written in one piece."""

    def stopProducing(self) -> None:
        """Do nothing, since the body is written in one piece."""


@implementer(IBodyProducer)
class StreamedBody:
    """Body that is forwarded while it is received, with back-pressure.

    Parameters
    ----------
    length : int or None
        Length in bytes, or None for a chunked body.
    pause, resume : callable
        Pause and resume reading from the caller.

    Notes
    -----
    The buffer holds at most `MAX_STREAM_BUFFER_BYTES` plus one read from the caller's connection.
    While the upstream's connection accepts no data and the buffer is full, reading from the caller
    is paused.
    """

    def __init__(
        self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        self.length = UNKNOWN_LENGTH if length is None else length
        self.received_bytes = 0
        self._pause = pause
        self._resume = resume
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._is_complete = False
        self._is_discarding = False
        self._is_paused = False
        self._consumer: Any = None
        self._done: Deferred[None] | None = None

    @property
    def has_started(self) -> bool:
        """Whether part of the body may have been sent or discarded."""
        return self._consumer is not None or self._is_discarding

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered for the upstream."""
        return self._buffered_bytes

    def add(self, data: bytes) -> None:
        """Forward or buffer bytes from the caller."""
        self.received_bytes += len(data)
        if self._is_discarding:
            return
        if self._consumer is not None and not self._is_paused:
            self._consumer.write(data)
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes >= MAX_STREAM_BUFFER_BYTES:
            self._pause()

    def mark_complete(self) -> None:
        """Record that the caller's body has been received completely."""
        self._is_complete = True
        self._finish_if_sent()

    def mark_truncated(self) -> None:
        """Record that the rest of the body will not arrive, and fail the upstream request.

        The failure keeps the upstream from treating the truncated body as complete.
        """
        if self._is_complete:
            return
        done, self._done = self._done, None
        self.discard()
        if done is not None:
            done.errback(BodyCut())

    def discard(self) -> None:
        """Drop the buffered data and all data that arrives later."""
        self._is_discarding = True
        self._buffer.clear()
        self._buffered_bytes = 0
        self._resume()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the body to the upstream's connection while it is received."""
        self._consumer = consumer
        done: Deferred[None] = Deferred(lambda _: self.discard())
        self._done = done
        if self._is_discarding:
            self._done = None
            done.errback(BodyCut())
            return done
        self._write_buffer()
        return done

    def pauseProducing(self) -> None:
        """Buffer further data because the upstream's connection accepts no more."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Write the buffered data and resume reading from the caller."""
        self._is_paused = False
        if not self._is_discarding:
            self._write_buffer()

    def stopProducing(self) -> None:
        """Discard the rest of the body because the upstream accepts no more."""
        self._done = None
        self.discard()

    def _write_buffer(self) -> None:
        buffer, self._buffer, self._buffered_bytes = self._buffer, [], 0
        for position, data in enumerate(buffer):
            if self._is_paused:
                self._buffer = buffer[position:]
                self._buffered_bytes = sum(map(len, self._buffer))
                return
            self._consumer.write(data)
        if not self._is_paused:
            self._resume()
        self._finish_if_sent()

    def _finish_if_sent(self) -> None:
        if self._is_complete and not self._buffer and self._done is not None:
            done, self._done = self._done, None
            done.callback(None)
