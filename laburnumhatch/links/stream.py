"""Stream to another entry instance."""

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
from .frames import (
    MAX_FRAME_BYTES,
    TAG_BYTES,
    FrameAuthenticator,
    FrameInvalid,
    FrameReader,
    pack_frame,
)
from .handshake import Handshake, HandshakeFailed, Session
from .messages import KeepAlive, Welcome

__all__ = ["PeerStream", "StreamTimeouts"]

# Maximum number of bytes that are read from a peer before it has proven the shared key.
MAX_HANDSHAKE_BYTES = 4096
# Interval at which an open stream checks whether the peer is silent and whether it must send a
# keep-alive frame.
LIVENESS_CHECK_INTERVAL = milliseconds(500)

_log = logbook.Logger("laburnumhatch.links")


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """Timeouts of one stream.

    Attributes
    ----------
    handshake : timedelta
        Maximum duration of the handshake.
    keep_alive_interval : timedelta
        Time without a sent frame after which a keep-alive frame is due.
    silence : timedelta
        Maximum time between two complete frames of the peer.
    stall : timedelta
        Maximum time for which the send buffer may remain full.
    """

    handshake: timedelta = milliseconds(2000)
    keep_alive_interval: timedelta = milliseconds(1000)
    silence: timedelta = milliseconds(3000)
    stall: timedelta = milliseconds(3000)


@implementer(IPushProducer)
class PeerStream(Protocol):
    """Protocol of one stream: the handshake, then authenticated messages in both directions.

    Parameters
    ----------
    clock : Clock
    codec : Codec
    own_name : str
        Name of this instance.
    peer_name : str or None
        Name of the dialled instance, or None at the accepting end.
    shared_key : bytes
    on_open : callable
        Called with the stream when its handshake is complete.
    on_message : callable
        Called with the stream and each message.
    on_close : callable
        Called with the stream once its connection is closed, even if it was never open.
    timeouts : StreamTimeouts

    Notes
    -----
    A faulty peer affects this stream only: an invalid message, a frame above the maximum length,
    silence and a send buffer that remains full all abort it. The transport calls `pauseProducing`
    when its send buffer is full, and `send` returns False until it has drained. The buffer
    therefore holds at most the transport's limit and one frame.
    """

    # The base class declares a type that lacks the methods of a TCP transport.
    transport: Any

    def __init__(
        self,
        *,
        clock: Clock,
        codec: Codec,
        own_name: str,
        peer_name: str | None,
        shared_key: bytes,
        on_open: "Callable[[PeerStream], None]",
        on_message: "Callable[[PeerStream, Any], None]",
        on_close: "Callable[[PeerStream], None]",
        timeouts: StreamTimeouts,
    ) -> None:
        self._clock = clock
        self._codec = codec
        self._is_dialer = peer_name is not None
        self._on_open = on_open
        self._on_message = on_message
        self._on_close = on_close
        self._timeouts = timeouts
        self._handshake = Handshake(own_name, peer_name, shared_key, self._send_unauthenticated)
        self._reader = FrameReader()
        self._send_authenticator: FrameAuthenticator | None = None
        self._receive_authenticator: FrameAuthenticator | None = None
        self._received_byte_count = 0
        self._is_open = False
        self._is_send_buffer_full = False
        self._is_closed = False
        self._close_reason = ""
        self._last_sent_at = timedelta()
        self._last_received_at = timedelta()
        self._last_checked_at = timedelta()
        self._handshake_timer: Cancellable | None = None
        self._check_timer: Cancellable | None = None
        self._stall_timer: Cancellable | None = None

    @property
    def session(self) -> Session:
        """Session of the stream; available once the handshake is complete."""
        assert self._handshake.session is not None
        return self._handshake.session

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete and the stream has not been closed."""
        return self._is_open and not self._is_closed

    @property
    def close_reason(self) -> str:
        """Reason for which this end closed the stream, or an empty string if the peer closed it."""
        return self._close_reason

    def send(self, message: object) -> bool:
        """Send a message and return True, or return False if it can't be sent.

        A message can't be sent while the stream isn't open or its send buffer is full, or if it
        exceeds the maximum length of a frame.
        """
        if not self.is_open or self._is_send_buffer_full:
            return False
        body = self._codec.encode(message)
        if len(body) + TAG_BYTES > MAX_FRAME_BYTES:
            _log.error(
                "a {} of {} bytes exceeds the maximum frame length",
                type(message).__name__,
                len(body),
            )
            return False
        self._send_authenticated(body)
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
        self._handshake_timer = self._clock.call_later(
            self._timeouts.handshake, self.abort, "the handshake took too long"
        )
        if self._is_dialer:
            self._handshake.start()

    def dataReceived(self, data: bytes) -> None:
        """Process bytes of the peer."""
        self._received_byte_count += len(data)
        try:
            for content in self._reader.feed(data):
                if self._is_closed:
                    return
                self._handle_frame(content)
            if not self._is_open and self._received_byte_count > MAX_HANDSHAKE_BYTES:
                raise HandshakeFailed("too many bytes before the handshake's end")
        except (FrameInvalid, HandshakeFailed, MessageInvalid) as e:
            self._close_on_error(str(e))

    def connectionLost(self, reason: Any = None) -> None:
        """Cancel the timers and report the end of the stream."""
        self._is_closed = True
        self._cancel_timers()
        self._on_close(self)

    def pauseProducing(self) -> None:
        """Refuse to send messages while the send buffer is full, and start the stall timeout."""
        self._is_send_buffer_full = True
        if self._stall_timer is None:
            self._stall_timer = self._clock.call_later(
                self._timeouts.stall, self.abort, "the peer doesn't read"
            )

    def resumeProducing(self) -> None:
        """Accept messages again and cancel the stall timeout."""
        self._is_send_buffer_full = False
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def stopProducing(self) -> None:
        """Refuse to send messages, as the transport is closed."""
        self._is_send_buffer_full = True

    def _handle_frame(self, content: bytes) -> None:
        if self._receive_authenticator is not None:
            self._handle_authenticated_frame(content, self._receive_authenticator)
            return
        self._handshake.receive(self._codec.decode(content))
        session = self._handshake.session
        if session is None:
            return
        self._send_authenticator = FrameAuthenticator(session.sending_key)
        self._receive_authenticator = FrameAuthenticator(session.receiving_key)
        if not self._is_dialer:
            self._send_authenticated(self._codec.encode(Welcome()))
            self._open()

    def _handle_authenticated_frame(
        self, content: bytes, authenticator: FrameAuthenticator
    ) -> None:
        body = authenticator.verify(content)
        self._last_received_at = self._clock.now()
        try:
            message = self._codec.decode(body)
        except UnknownMessage as e:
            # Instances of a newer release may send message types that this one doesn't know. They
            # must not close the stream.
            _log.debug("ignored a message from {}: {}", self.session.peer, e)
            return
        if not self._is_open:
            self._handshake.receive(message)
            self._open()
        elif not isinstance(message, KeepAlive):
            self._on_message(self, message)

    def _open(self) -> None:
        self._is_open = True
        _cancel(self._handshake_timer)
        self._last_received_at = self._last_checked_at = self._clock.now()
        self._schedule_check()
        self._on_open(self)

    def _schedule_check(self) -> None:
        self._check_timer = self._clock.call_later(LIVENESS_CHECK_INTERVAL, self._check_liveness)

    def _check_liveness(self) -> None:
        now = self._clock.now()
        # While this process is suspended it reads nothing, so that time must not count as silence
        # of the peer.
        delay = now - self._last_checked_at - LIVENESS_CHECK_INTERVAL
        if delay > LIVENESS_CHECK_INTERVAL:
            self._last_received_at += delay
        self._last_checked_at = now
        if now - self._last_received_at > self._timeouts.silence:
            self.abort("the peer is silent")
            return
        if now - self._last_sent_at >= self._timeouts.keep_alive_interval:
            self.send(KeepAlive())
        self._schedule_check()

    def _send_unauthenticated(self, message: object) -> None:
        self.transport.write(pack_frame(self._codec.encode(message)))

    def _send_authenticated(self, body: bytes) -> None:
        assert self._send_authenticator is not None
        self._last_sent_at = self._clock.now()
        self.transport.write(pack_frame(self._send_authenticator.add_tag(body)))

    def _close_on_error(self, reason: str) -> None:
        if self._is_open:
            self.abort(reason)
            return
        # An orderly close lets a `Rejection` reach the peer first.
        self._is_closed = True
        self._close_reason = reason
        self._cancel_timers()
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _cancel_timers(self) -> None:
        for timer in (self._handshake_timer, self._check_timer, self._stall_timer):
            _cancel(timer)
        self._stall_timer = None


def _cancel(timer: Cancellable | None) -> None:
    if timer is not None and timer.active():
        timer.cancel()
