"""Bodies of callers' requests on their way upstream."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

__all__ = ["BodyCut", "BufferedBody", "StreamedBody"]

# Bytes that may wait for the upstream before the caller's connection is paused.
MAX_STREAM_BUFFER_BYTES = 65_536


class BodyCut(Exception):
    """The caller's body ended early, or grew too large."""


@implementer(IBodyProducer)
class BufferedBody:
    """A small body that is whole before the request is sent, and can be sent again.

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
        """Do nothing: the body is written in one piece."""

    def resumeProducing(self) -> None:
        """Do nothing: the body is written in one piece."""

    def stopProducing(self) -> None:
        """Do nothing: the body is written in one piece."""


@implementer(IBodyProducer)
class StreamedBody:
    """A body that is passed on as it comes, with back-pressure.

    Parameters
    ----------
    length : int or None
        Bytes, None for a chunked body.
    pause, resume : callable
        Stop and restart reading from the caller.

    Notes
    -----
    At most `MAX_STREAM_BUFFER_BYTES` and one read of the caller's connection wait here; while the
    upstream's connection is full the caller's is not read.
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
        """Whether part of the body may have gone out."""
        return self._consumer is not None or self._is_discarding

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait for the upstream."""
        return self._buffered_bytes

    def add(self, data: bytes) -> None:
        """Take bytes from the caller."""
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
        """Note that the caller's body is whole."""
        self._is_complete = True
        self._finish_if_sent()

    def mark_truncated(self) -> None:
        """Note that no more of the body will come; the upstream must not take it for whole."""
        if self._is_complete:
            return
        done, self._done = self._done, None
        self.discard()
        if done is not None:
            done.errback(BodyCut())

    def discard(self) -> None:
        """Drop what waits and what still comes."""
        self._is_discarding = True
        self._buffer.clear()
        self._buffered_bytes = 0
        self._resume()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the body to the upstream's connection as it comes."""
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
        """Keep what comes: the upstream's connection is full."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Read from the caller again."""
        self._is_paused = False
        if not self._is_discarding:
            self._write_buffer()

    def stopProducing(self) -> None:
        """Drop the rest: the upstream takes no more."""
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
