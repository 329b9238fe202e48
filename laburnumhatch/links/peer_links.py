"""Streams of one entry instance to the others."""

import random
from collections.abc import Callable, Iterable
from typing import Any

import logbook
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Factory

from ..clocks import Clock, milliseconds
from .codec import Codec
from .dialer import Dialer, PeerAddress
from .interfaces import MessageHandler
from .stream import PeerStream, StreamTimeouts

__all__ = ["PeerLinks"]

CONNECT_TIMEOUT = milliseconds(1000)
# Maximum number of accepted connections with an incomplete handshake. All instances of the largest
# of the users' deployments dial a new leader at once.
MAX_PENDING_HANDSHAKES = 512

_log = logbook.Logger("laburnumhatch.links")

Connect = Callable[[PeerAddress, PeerStream], "Deferred[Any]"]


class _StreamFactory(ClientFactory):
    """Factory of one dialled stream.

    `twisted.internet.endpoints` would do the same, but is slow to import.
    """

    noisy = False

    def __init__(self, stream: PeerStream) -> None:
        self._stream = stream
        self.attempt: Deferred[Any] = Deferred()

    def buildProtocol(self, addr: Any) -> PeerStream:
        self.attempt.callback(None)
        return self._stream

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.attempt.errback(reason)


class PeerLinks:
    """Links that keep at most one stream to each of the other entry instances.

    Parameters
    ----------
    reactor
        Twisted reactor that listens and connects.
    clock : Clock
    codec : Codec
        Must have `LINK_MESSAGES` and all message types that are sent or received.
    own_name : str
        Name of this instance.
    shared_key : str
        Secret that all instances share.
    timeouts : StreamTimeouts, optional
    jitter : callable, optional
        Source of random numbers in [0, 1).
    connect : callable, optional
        Connects a protocol to an address and returns a Deferred; by TCP on `reactor` by default.

    Notes
    -----
    Each instance dials the peers given to `set_peers`. It accepts streams from any instance that
    proves the shared key, including those that are missing from its own list of peers. Of two
    streams between the same two instances, the one dialled by the instance whose name sorts first
    is kept; of two streams by the same dialer, the later one. Both ends thus keep the same one.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: Clock,
        codec: Codec,
        own_name: str,
        shared_key: str,
        timeouts: StreamTimeouts | None = None,
        jitter: Callable[[], float] = random.random,
        connect: Connect | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._codec = codec
        self._own_name = own_name
        self._shared_key = shared_key.encode()
        self._timeouts = timeouts or StreamTimeouts()
        self._jitter = jitter
        self._connect = connect or self._connect_by_tcp
        self._handlers: dict[type, list[MessageHandler]] = {}
        self._connect_handlers: list[Callable[[str], None]] = []
        self._dialers: dict[str, Dialer] = {}
        self._streams: dict[str, PeerStream] = {}
        self._pending: list[PeerStream] = []
        self._listening_port: Any = None
        self._is_stopped = False

    def listen(self, host: str, port: int) -> int:
        """Accept streams at an address and return the port.

        If `port` is 0, the operating system chooses a free port.
        """
        factory = Factory.forProtocol(self.accept)
        factory.noisy = False
        self._listening_port = self._reactor.listenTCP(port, factory, interface=host)
        bound_port: int = self._listening_port.getHost().port
        return bound_port

    def set_shared_key(self, shared_key: str) -> None:
        """Use another shared key for new streams; existing streams keep theirs."""
        self._shared_key = shared_key.encode()

    def stop(self) -> None:
        """Stop listening and dialling, and close all streams."""
        self._is_stopped = True
        for dialer in self._dialers.values():
            dialer.stop()
        for stream in (*self._streams.values(), *self._pending):
            stream.abort("this instance is stopping")
        if self._listening_port is not None:
            self._listening_port.stopListening()

    def set_peers(self, peers: Iterable[PeerAddress], *, is_mutual: bool = True) -> None:
        """Replace the set of instances that this instance dials; open streams stay open.

        Parameters
        ----------
        peers : iterable of PeerAddress
        is_mutual : bool, optional
            Whether the peers dial this instance too. If so, the instance whose name sorts first
            dials at once, and the other one only after a delay.
        """
        if self._is_stopped:
            return
        wanted = {peer.name: peer for peer in peers if peer.name != self._own_name}
        for name, dialer in list(self._dialers.items()):
            if wanted.get(name) != dialer.address:
                self._dialers.pop(name).stop()
        for name, address in wanted.items():
            if name not in self._dialers:
                self._dialers[name] = self._new_dialer(address, is_mutual)
                if name not in self._streams:
                    self._dialers[name].start()

    def send(self, instance: str, message: object) -> bool:
        """Send a message and return True, or return False if it can't be sent.

        A message can't be sent without an open stream to `instance` or while its send buffer is
        full.
        """
        stream = self._streams.get(instance)
        return stream is not None and stream.send(message)

    def add_handler(self, message_type: type, handler: MessageHandler) -> None:
        """Call ``handler(instance, message)`` for each received message of a type.

        Raises
        ------
        TypeError
            If the type is not registered with the codec.
        """
        if not self._codec.is_registered(message_type):
            raise TypeError(f"{message_type.__name__} is not registered with the codec")
        self._handlers.setdefault(message_type, []).append(handler)

    def add_connect_handler(self, handler: Callable[[str], None]) -> None:
        """Call ``handler(instance)`` whenever a stream to an instance opens."""
        self._connect_handlers.append(handler)

    def connected_peers(self) -> tuple[str, ...]:
        """Return the names of the instances with an open stream in sorted order."""
        return tuple(sorted(self._streams))

    def accept(self) -> PeerStream:
        """Return the protocol of an incoming connection."""
        if len(self._pending) >= MAX_PENDING_HANDSHAKES:
            # A handshake takes a few round trips, so the oldest one is the least likely to succeed.
            self._pending.pop(0).abort("too many concurrent handshakes")
        stream = self._new_stream(None)
        self._pending.append(stream)
        return stream

    def _new_dialer(self, address: PeerAddress, is_mutual: bool) -> Dialer:
        return Dialer(
            clock=self._clock,
            address=address,
            dials_first=not is_mutual or self._own_name < address.name,
            dial=self._dial,
            jitter=self._jitter,
        )

    def _new_stream(self, peer_name: str | None) -> PeerStream:
        return PeerStream(
            clock=self._clock,
            codec=self._codec,
            own_name=self._own_name,
            peer_name=peer_name,
            shared_key=self._shared_key,
            on_open=self._on_stream_open,
            on_message=self._on_stream_message,
            on_close=lambda stream: self._on_stream_close(stream, peer_name),
            timeouts=self._timeouts,
        )

    def _dial(self, address: PeerAddress) -> None:
        if address.name in self._streams:
            return
        stream = self._new_stream(address.name)
        attempt = self._connect(address, stream)
        attempt.addErrback(lambda failure: self._attempt_failed(address.name))

    def _connect_by_tcp(self, address: PeerAddress, stream: PeerStream) -> "Deferred[Any]":
        factory = _StreamFactory(stream)
        self._reactor.connectTCP(
            address.host, address.port, factory, timeout=CONNECT_TIMEOUT.total_seconds()
        )
        return factory.attempt

    def _attempt_failed(self, name: str) -> None:
        dialer = self._dialers.get(name)
        if dialer is not None and name not in self._streams and not self._is_stopped:
            dialer.attempt_failed()

    def _on_stream_open(self, stream: PeerStream) -> None:
        self._remove_pending(stream)
        if self._is_stopped:
            stream.abort("this instance is stopping")
            return
        name = stream.session.peer
        existing = self._streams.get(name)
        if existing is not None and not self._should_replace(stream, existing):
            stream.abort("another stream to the instance is kept")
            return
        self._streams[name] = stream
        if existing is not None:
            existing.abort("another stream to the instance replaces this one")
        if name in self._dialers:
            self._dialers[name].stream_opened()
        _log.info("stream to {} is open, dialled by {}", name, stream.session.dialer)
        for handler in self._connect_handlers:
            self._call_handler(handler, name)

    def _should_replace(self, stream: PeerStream, existing: PeerStream) -> bool:
        preferred_dialer = min(self._own_name, stream.session.peer)
        return (
            stream.session.dialer == preferred_dialer or existing.session.dialer != preferred_dialer
        )

    def _on_stream_message(self, stream: PeerStream, message: Any) -> None:
        for handler in self._handlers.get(type(message), ()):
            self._call_handler(handler, stream.session.peer, message)

    def _call_handler(self, handler: Callable[..., None], *args: Any) -> None:
        try:
            handler(*args)
        except Exception:
            # An exception in a handler must not close the stream.
            _log.exception("a handler of the links raised an exception")

    def _on_stream_close(self, stream: PeerStream, dialled_name: str | None) -> None:
        self._remove_pending(stream)
        name = next((n for n, s in self._streams.items() if s is stream), None)
        if name is not None:
            del self._streams[name]
            _log.info(
                "stream to {} is closed: {}", name, stream.close_reason or "closed by the peer"
            )
        elif dialled_name is not None and stream.close_reason:
            _log.warning("stream to {} did not open: {}", dialled_name, stream.close_reason)
        if name or dialled_name:
            self._attempt_failed(name or dialled_name or "")

    def _remove_pending(self, stream: PeerStream) -> None:
        if stream in self._pending:
            self._pending.remove(stream)
