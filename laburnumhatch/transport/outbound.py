"""One connection to an upstream or to the store."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import h11
import logbook
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from .fields import HeaderFields

__all__ = [
    "AnswerReceiver",
    "CallFailure",
    "FailureKind",
    "OutboundConnection",
    "OutboundRequest",
]

# Longest header of an answer, bytes.
MAX_RESPONSE_HEADER_BYTES = 65_536
# Milliseconds without an acknowledgement after which the peer's machine counts as gone: many round
# trips of the networks in the users' site files.
TCP_USER_TIMEOUT_MS = 1000
# Seconds of silence before the first keep-alive probe, and between probes; whole seconds are the
# socket option's unit.
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBE_COUNT = 2

_log = logbook.Logger("laburnumhatch.transport")


class FailureKind(Enum):
    """Why a call has no whole answer."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    GARBLED = "garbled"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """The end of a call without a whole answer.

    Attributes
    ----------
    kind : FailureKind
    never_sent : bool
        Whether no byte of the request can have reached the peer.
    reason : str
    """

    kind: FailureKind
    never_sent: bool
    reason: str


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request as it goes out.

    Attributes
    ----------
    method, target : bytes
    fields : list of (bytes, bytes)
        Without those that frame the body.
    body : bytes
    belongs : callable
        Takes the status and fields of an answer; returns whether it answers this request. One
        that doesn't is read and dropped.
    """

    method: bytes
    target: bytes
    fields: HeaderFields
    body: bytes
    matches_response: Callable[[int, HeaderFields], bool]


class AnswerReceiver(Protocol):
    """Takes one answer; `ended` or `failed` is called once, and nothing after it."""

    def began(self, status: int, fields: HeaderFields, length: int | None) -> None:
        """Take the header; `length` is None where the answer doesn't say."""

    def received(self, data: bytes) -> None:
        """Take a part of the body."""

    def ended(self) -> None:
        """The answer is whole."""

    def failed(self, failure: CallFailure) -> None:
        """The answer is not whole, and won't be."""


class _DiscardingReceiver:
    """Drops an answer that nobody waits for any more."""

    def began(self, status: int, fields: HeaderFields, length: int | None) -> None:
        pass

    def received(self, data: bytes) -> None:
        pass

    def ended(self) -> None:
        pass

    def failed(self, failure: CallFailure) -> None:
        pass


class OutboundConnection(StreamProtocol):
    """Connection that carries one request at a time.

    Parameters
    ----------
    on_idle : callable
        Called with the connection when it may carry another request.
    on_gone : callable
        Called with the connection when it is closed.

    Notes
    -----
    HTTP/1.1 matches answers to requests by their order alone [1]_. A connection is closed, not
    used again, when its request was given up and when bytes came that belong to no request.

    References
    ----------
    .. [1] RFC 9112, HTTP/1.1, section 9.3.2.
    """

    transport: Any

    def __init__(
        self,
        on_idle: "Callable[[OutboundConnection], None]",
        on_closed: "Callable[[OutboundConnection], None]",
    ) -> None:
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._http: h11.Connection | None = None
        self._request: OutboundRequest | None = None
        self._receiver: AnswerReceiver | None = None
        self._is_mismatched = False
        self._is_closed = False
        self.idle_limit_s: int | None = None

    def connectionMade(self) -> None:
        """Make a silent peer show as a lost connection."""
        handle = self.transport.getHandle()
        self.transport.setTcpNoDelay(True)
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBE_COUNT)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def send(self, request: OutboundRequest, receiver: AnswerReceiver) -> None:
        """Send a request, the whole of it to the kernel as far as it takes it now."""
        self._request = request
        self._receiver = receiver
        self._http, content = _start_cycle(request)
        self.transport.write(content)
        # Twisted writes in the loop's next round, after which a lease may be over.
        self.transport.doWrite()

    def is_reusable(self) -> bool:
        """Return whether the idle connection is open and has no unread bytes."""
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return not self._is_closed
        except OSError as e:
            _log.debug("an idle connection is broken: {}", e)
        return False

    def pause(self) -> None:
        """Read no more until `resume`."""
        if not self._is_closed:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read again."""
        if not self._is_closed:
            self.transport.resumeProducing()

    def drop_answer(self) -> None:
        """Let the request run to its end and drop its answer; the receiver hears nothing more."""
        if self._receiver is not None:
            self._receiver = _DiscardingReceiver()

    def abort(self) -> None:
        """Close at once; the receiver hears nothing more."""
        self._receiver = None
        if not self._is_closed:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of an answer."""
        if self._http is None or self._receiver is None:
            # Nobody waits: bytes of an answer that was given up or never asked for.
            self.transport.abortConnection()
            return
        self._parse(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end of an answer that ends with its connection, or its loss."""
        self._is_closed = True
        if self._receiver is not None and reason.check(ConnectionDone):
            # A close ends an answer without length; a reset doesn't.
            self._parse(b"")
        if self._receiver is not None:
            self._fail(CallFailure(FailureKind.LOST, False, reason.getErrorMessage()))
        self._on_closed(self)

    def _parse(self, data: bytes) -> None:
        assert self._http is not None
        try:
            self._http.receive_data(data)
            while self._receiver is not None:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as e:
            kind = FailureKind.LOST if not data else FailureKind.GARBLED
            self._fail(CallFailure(kind, False, str(e)))

    def _handle_event(self, event: Any) -> None:
        receiver, request = self._receiver, self._request
        assert receiver is not None and request is not None
        if isinstance(event, h11.Response):
            fields = [(bytes(n), bytes(v)) for n, v in event.headers]
            self._is_mismatched = not request.matches_response(event.status_code, fields)
            if not self._is_mismatched:
                receiver.began(event.status_code, fields, _content_length(fields))
        elif isinstance(event, h11.Data):
            if not self._is_mismatched:
                receiver.received(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            if self._is_mismatched:
                self._skip_mismatched_response(request)
            else:
                self._complete(receiver)

    def _skip_mismatched_response(self, request: OutboundRequest) -> None:
        assert self._http is not None
        trailing = self._http.trailing_data[0]
        _log.warning(
            "dropped an answer to another request on a connection to {}", self._peer_address()
        )
        if self._http.their_state is not h11.DONE:
            raise h11.RemoteProtocolError("an answer to another request ended the connection")
        self._is_mismatched = False
        self._http, _ = _start_cycle(request)
        if trailing:
            self._http.receive_data(trailing)

    def _complete(self, receiver: AnswerReceiver) -> None:
        http = self._http
        assert http is not None
        is_cycle_complete = http.our_state is h11.DONE and http.their_state is h11.DONE
        has_extra_bytes = bool(http.trailing_data[0])
        self._receiver = self._request = self._http = None
        if is_cycle_complete and not has_extra_bytes and not self._is_closed:
            self._on_idle(self)
        elif not self._is_closed:
            self.transport.abortConnection()
        receiver.ended()

    def _fail(self, failure: CallFailure) -> None:
        receiver, self._receiver = self._receiver, None
        if not self._is_closed:
            self.transport.abortConnection()
        assert receiver is not None
        receiver.failed(failure)

    def _peer_address(self) -> str:
        address = self.transport.getPeer()
        return f"{address.host}:{address.port}"


def _start_cycle(request: OutboundRequest) -> tuple[h11.Connection, bytes]:
    """Return the state of a connection that has sent a request, and the request's bytes."""
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES)
    fields = list(request.fields)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        fields.append((b"content-length", b"%d" % len(request.body)))
    content = http.send(h11.Request(method=request.method, target=request.target, headers=fields))
    assert content is not None
    if request.body:
        content += http.send(h11.Data(data=request.body)) or b""
    content += http.send(h11.EndOfMessage()) or b""
    return http, content


def _content_length(fields: HeaderFields) -> int | None:
    for name, value in fields:
        if name == b"content-length":
            return int(value)
    return None
