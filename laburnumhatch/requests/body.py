"""Bodies of callers' requests on their way upstream."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

__all__ = ["BodyCut", "KeptBody", "StreamedBody"]

# Bytes that may wait for the upstream before the caller's connection is paused.
BUFFERED_BYTES = 65_536


class BodyCut(Exception):
    """The caller's body ended early, or grew too large."""


@implementer(IBodyProducer)
class KeptBody:
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
    At most `BUFFERED_BYTES` and one read of the caller's connection wait here; while the
    upstream's connection is full the caller's is not read.
    """

    def __init__(
        self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        self.length = UNKNOWN_LENGTH if length is None else length
        self.received = 0
        self._pause = pause
        self._resume = resume
        self._buffer: list[bytes] = []
        self._buffered = 0
        self._whole = False
        self._discarding = False
        self._paused = False
        self._consumer: Any = None
        self._done: Deferred[None] | None = None

    @property
    def started(self) -> bool:
        """Whether part of the body may have gone out."""
        return self._consumer is not None or self._discarding

    @property
    def buffered(self) -> int:
        """Bytes that wait for the upstream."""
        return self._buffered

    def add(self, data: bytes) -> None:
        """Take bytes from the caller."""
        self.received += len(data)
        if self._discarding:
            return
        if self._consumer is not None and not self._paused:
            self._consumer.write(data)
            return
        self._buffer.append(data)
        self._buffered += len(data)
        if self._buffered >= BUFFERED_BYTES:
            self._pause()

    def end(self) -> None:
        """Note that the caller's body is whole."""
        self._whole = True
        self._finish_if_sent()

    def cut(self) -> None:
        """Note that no more of the body will come; the upstream must not take it for whole."""
        if self._whole:
            return
        done, self._done = self._done, None
        self.discard()
        if done is not None:
            done.errback(BodyCut())

    def discard(self) -> None:
        """Drop what waits and what still comes."""
        self._discarding = True
        self._buffer.clear()
        self._buffered = 0
        self._resume()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the body to the upstream's connection as it comes."""
        self._consumer = consumer
        done: Deferred[None] = Deferred(lambda _: self.discard())
        self._done = done
        if self._discarding:
            self._done = None
            done.errback(BodyCut())
            return done
        self._write_buffer()
        return done

    def pauseProducing(self) -> None:
        """Keep what comes: the upstream's connection is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Read from the caller again."""
        self._paused = False
        if not self._discarding:
            self._write_buffer()

    def stopProducing(self) -> None:
        """Drop the rest: the upstream takes no more."""
        self._done = None
        self.discard()

    def _write_buffer(self) -> None:
        buffer, self._buffer, self._buffered = self._buffer, [], 0
        for position, data in enumerate(buffer):
            if self._paused:
                self._buffer = buffer[position:]
                self._buffered = sum(map(len, self._buffer))
                return
            self._consumer.write(data)
        if not self._paused:
            self._resume()
        self._finish_if_sent()

    def _finish_if_sent(self) -> None:
        if self._whole and not self._buffer and self._done is not None:
            done, self._done = self._done, None
            done.callback(None)
