"""One stream to another entry instance."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from ..clocks import Cancellable, Clock, milliseconds
from .codec import Codec, MessageInvalid, UnknownMessage
from .frames import MAX_FRAME_BYTES, TAG_BYTES, FrameInvalid, FrameReader, FrameSealer, pack_frame
from .handshake import Established, Handshake, HandshakeFailed
from .messages import KeepAlive, Welcome

__all__ = ["PeerStream", "StreamTimes"]

# Most bytes taken from a peer that has not proven the key.
HANDSHAKE_BYTES = 4096
# How often an open stream looks for silence and sends a keep-alive frame if one is due.
CHECK_INTERVAL = milliseconds(500)

_log = logbook.Logger("laburnumhatch.links")


@dataclass(frozen=True, slots=True)
class StreamTimes:
    """Bounds of one stream.

    Attributes
    ----------
    handshake : timedelta
        Longest handshake.
    keep_alive : timedelta
        Longest pause between two frames that are sent.
    silence : timedelta
        Longest pause between two whole frames of the peer.
    stall : timedelta
        Longest time that the peer may leave the send buffer full.
    """

    handshake: timedelta = milliseconds(2000)
    keep_alive: timedelta = milliseconds(1000)
    silence: timedelta = milliseconds(3000)
    stall: timedelta = milliseconds(3000)


@implementer(IPushProducer)
class PeerStream(Protocol):
    """Protocol of one stream: the handshake, then sealed messages both ways.

    Parameters
    ----------
    clock : Clock
    codec : Codec
    own : str
        Name of this instance.
    peer : str or None
        Name of the instance that is dialled, None at the end that accepts.
    shared_key : bytes
    on_open : callable
        Called with the stream when its handshake is complete.
    on_message : callable
        Called with the stream and each message.
    on_close : callable
        Called with the stream once it is gone, whether it was open or not.
    times : StreamTimes

    Notes
    -----
    Whatever the peer does costs this stream alone: bytes that are no valid message, a frame
    above the bound, silence and a full send buffer all abort it. The transport calls
    `pauseProducing` when its send buffer is full; `send` refuses from then on, so the buffer
    holds at most the transport's limit and one frame.
    """

    # The base class declares it without the methods of a TCP transport.
    transport: Any

    def __init__(
        self,
        *,
        clock: Clock,
        codec: Codec,
        own: str,
        peer: str | None,
        shared_key: bytes,
        on_open: "Callable[[PeerStream], None]",
        on_message: "Callable[[PeerStream, Any], None]",
        on_close: "Callable[[PeerStream], None]",
        times: StreamTimes,
    ) -> None:
        self._clock = clock
        self._codec = codec
        self._dials = peer is not None
        self._on_open = on_open
        self._on_message = on_message
        self._on_close = on_close
        self._times = times
        self._handshake = Handshake(own, peer, shared_key, self._send_plain)
        self._reader = FrameReader()
        self._sealer: FrameSealer | None = None
        self._opener: FrameSealer | None = None
        self._received_bytes = 0
        self._is_open = False
        self._is_full = False
        self._is_closed = False
        self._close_reason = ""
        self._last_sent = timedelta()
        self._last_received = timedelta()
        self._last_check = timedelta()
        self._deadline: Cancellable | None = None
        self._check: Cancellable | None = None
        self._stall: Cancellable | None = None

    @property
    def established(self) -> Established:
        """Names and keys of the stream, once it is open."""
        assert self._handshake.established is not None
        return self._handshake.established

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete and the stream not closed."""
        return self._is_open and not self._is_closed

    @property
    def close_reason(self) -> str:
        """Why this end closed the stream; empty where the peer did."""
        return self._close_reason

    def send(self, message: object) -> bool:
        """Send a message; False if the stream isn't open or its buffer is full."""
        if not self.is_open or self._is_full:
            return False
        body = self._codec.encode(message)
        if len(body) + TAG_BYTES > MAX_FRAME_BYTES:
            _log.error("a {} of {} bytes exceeds a frame", type(message).__name__, len(body))
            return False
        self._send_sealed(body)
        return True

    def abort(self, reason: str) -> None:
        """Close the stream at once."""
        if self._is_closed:
            return
        self._is_closed = True
        self._close_reason = reason
        self._cancel_timers()
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionMade(self) -> None:
        """Start the handshake."""
        if self._is_closed:
            self.transport.abortConnection()
            return
        self.transport.registerProducer(self, True)
        self._deadline = self._clock.call_later(
            self._times.handshake, self.abort, "the handshake took too long"
        )
        if self._dials:
            self._handshake.start()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of the peer."""
        self._received_bytes += len(data)
        try:
            for content in self._reader.feed(data):
                if self._is_closed:
                    return
                self._take_frame(content)
            if not self._is_open and self._received_bytes > HANDSHAKE_BYTES:
                raise HandshakeFailed("too many bytes before the handshake's end")
        except (FrameInvalid, HandshakeFailed, MessageInvalid) as e:
            self._close_wrong(str(e))

    def connectionLost(self, reason: Any = None) -> None:
        """Report the end of the stream."""
        self._is_closed = True
        self._cancel_timers()
        self._on_close(self)

    def pauseProducing(self) -> None:
        """Refuse messages while the send buffer is full."""
        self._is_full = True
        if self._stall is None:
            self._stall = self._clock.call_later(
                self._times.stall, self.abort, "the peer doesn't read"
            )

    def resumeProducing(self) -> None:
        """Take messages again."""
        self._is_full = False
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None

    def stopProducing(self) -> None:
        """Refuse messages; the transport is gone."""
        self._is_full = True

    def _take_frame(self, content: bytes) -> None:
        if self._opener is not None:
            self._take_sealed(content, self._opener)
            return
        self._handshake.receive(self._codec.decode(content))
        established = self._handshake.established
        if established is None:
            return
        self._sealer = FrameSealer(established.sending_key)
        self._opener = FrameSealer(established.receiving_key)
        if not self._dials:
            self._send_sealed(self._codec.encode(Welcome()))
            self._open()

    def _take_sealed(self, content: bytes, opener: FrameSealer) -> None:
        body = opener.open(content)
        self._last_received = self._clock.now()
        try:
            message = self._codec.decode(body)
        except UnknownMessage as e:
            # A newer release may send more; what it sends to this one must not break the stream.
            _log.debug("from {}: {}", self.established.peer, e)
            return
        if not self._is_open:
            self._handshake.receive(message)
            self._open()
        elif not isinstance(message, KeepAlive):
            self._on_message(self, message)

    def _open(self) -> None:
        self._is_open = True
        _cancel(self._deadline)
        self._last_received = self._last_check = self._clock.now()
        self._schedule_check()
        self._on_open(self)

    def _schedule_check(self) -> None:
        self._check = self._clock.call_later(CHECK_INTERVAL, self._check_silence)

    def _check_silence(self) -> None:
        now = self._clock.now()
        # While this process is paused it can't hear its peers; that is no silence of theirs.
        late = now - self._last_check - CHECK_INTERVAL
        if late > CHECK_INTERVAL:
            self._last_received += late
        self._last_check = now
        if now - self._last_received > self._times.silence:
            self.abort("the peer is silent")
            return
        if now - self._last_sent >= self._times.keep_alive:
            self.send(KeepAlive())
        self._schedule_check()

    def _send_plain(self, message: object) -> None:
        self.transport.write(pack_frame(self._codec.encode(message)))

    def _send_sealed(self, body: bytes) -> None:
        assert self._sealer is not None
        self._last_sent = self._clock.now()
        self.transport.write(pack_frame(self._sealer.seal(body)))

    def _close_wrong(self, reason: str) -> None:
        if self._is_open:
            self.abort(reason)
            return
        # Lets a rejection reach the peer before the connection closes.
        self._is_closed = True
        self._close_reason = reason
        self._cancel_timers()
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _cancel_timers(self) -> None:
        for timer in (self._deadline, self._check, self._stall):
            _cancel(timer)
        self._stall = None


def _cancel(timer: Cancellable | None) -> None:
    if timer is not None and timer.active():
        timer.cancel()
