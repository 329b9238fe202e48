"""Decoders and protocols that take bytes from outside, each with the errors that it may raise.

A target raises an exception only if something is wrong: undocumented errors, or a broken contract.
"""

import contextlib
import re
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock as FakeReactor
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from ..clocks import ReactorClock
from ..coordination.leadership import LeaderRecord, decode_leader, encode_leader
from ..coordination.messages import (
    COORDINATION_MESSAGES,
    AnnouncedLimit,
    LeavingReport,
    LeavingUpstream,
    LimitReport,
    ServiceDemand,
)
from ..fleet import CallerLimits, Upstream, UpstreamIncarnation
from ..keyspace import ServiceRecord, decode_record, encode_record
from ..keyspace.row import RecordedRange, decode_last_token
from ..links import LINK_MESSAGES, Codec
from ..links.codec import MessageInvalid
from ..platform import headers
from ..platform.configuration import DocumentInvalid, decode_configuration
from ..platform.standin import StandinRoute, encode_configuration, encode_registration
from ..platform.upstreams import decode_upstream
from ..transport import CallerFactory, OutboundRequest
from ..transport.outbound import OutboundConnection
from ..transport.request_body import RequestBody

__all__ = ["TARGETS", "Target"]

Target = Callable[[Sequence[bytes]], None]

# Depth of nesting that no parser follows by recursion.
NESTING_DEPTH = 5000

_CODEC = Codec([LINK_MESSAGES, COORDINATION_MESSAGES])
_OWNER = UpstreamIncarnation("u1", 1)
_REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nid: 1\r\n\r\nfine"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nid: 1\r\n\r\n4\r\nfine\r\n0\r\n\r\n"
_UPSTREAM = Upstream(
    _OWNER, "s", "127.0.0.1", 1, "a", slots=2, is_draining=False, warmup_remaining=timedelta()
)
_ROUTES = (
    StandinRoute("r", "h", "/a/", "s"),
    StandinRoute("unsafe", "h", "/b/", "t", is_repeatable=False),
)


class _Transport(StringTransport):
    """Transport in memory whose socket never has unread bytes."""

    def getHandle(self) -> Any:
        return self

    def setsockopt(self, *options: Any) -> None:
        pass

    def recv(self, size: int, flags: int = 0) -> bytes:
        raise BlockingIOError

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def doWrite(self) -> None:
        pass

    def loseWriteConnection(self) -> None:
        self.disconnecting = True


class _Receiver:
    """Receiver that checks that a response ends once."""

    def __init__(self) -> None:
        self.is_over = False

    def on_header(self, status: int, fields: Any, length: int | None) -> None:
        assert not self.is_over

    def on_body(self, data: bytes) -> None:
        assert not self.is_over

    def on_end(self) -> None:
        assert not self.is_over
        self.is_over = True

    def on_failure(self, failure: Any) -> None:
        assert not self.is_over
        self.is_over = True


def _decode_stream_message(parts: Sequence[bytes]) -> None:
    with contextlib.suppress(MessageInvalid):
        _CODEC.decode(b"".join(parts))


def _decode_owner_record(parts: Sequence[bytes]) -> None:
    decode_last_token(b"".join(parts))
    with contextlib.suppress(ValueError):
        decode_record(b"".join(parts))


def _decode_leader_row(parts: Sequence[bytes]) -> None:
    decode_leader(b"".join(parts))


def _decode_registration(parts: Sequence[bytes]) -> None:
    with contextlib.suppress(ValueError):
        decode_upstream("u1", b"".join(parts))


def _decode_configuration(parts: Sequence[bytes]) -> None:
    with contextlib.suppress(DocumentInvalid):
        decode_configuration(b"".join(parts))


def _parse_headers(parts: Sequence[bytes]) -> None:
    value = b"".join(parts)
    headers.parse_deadline_ms(value)
    headers.parse_key(value)
    headers.parse_request_limit(value)
    headers.parse_retry_after(value)
    headers.parse_store_generation(value)
    headers.is_leaving([(headers.LEAVING, value)])


def _receive_request(parts: Sequence[bytes]) -> None:
    clock = ReactorClock(FakeReactor())
    factory = CallerFactory(clock, lambda r: r.respond(200, [], b"fine"), CallerLimits)
    connection = factory.buildProtocol(None)
    connection.makeConnection(_Transport())
    for part in parts:
        connection.dataReceived(part)
    connection.connectionLost(Failure(ConnectionDone()))


def _receive_response(parts: Sequence[bytes]) -> None:
    idle: list[Any] = []
    connection = OutboundConnection(idle.append, lambda c: None, lambda action: action())
    connection.makeConnection(_Transport())
    receiver = _Receiver()
    request = OutboundRequest(
        b"GET",
        b"/a",
        [(b"host", b"h")],
        RequestBody.of(b""),
        lambda status, fields: (b"id", b"1") in fields,
    )
    connection.send(request, receiver)
    for part in parts:
        if not receiver.is_over:
            connection.dataReceived(part)
    if not idle:
        connection.connectionLost(Failure(ConnectionDone()))
    assert receiver.is_over


def _with_odd_values(document: bytes) -> tuple[bytes, ...]:
    """Return a JSON object as it is, with a deeply nested field and with numbers out of range."""
    nested = b'{"unread":' + b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH + b"," + document[1:]
    digits = re.sub(rb"(?<=[\"{:,])[0-9]+", lambda found: found[0] * 12, document)
    return document, nested, digits


# Target, and valid inputs of which mutations are made, by name.
TARGETS: dict[str, tuple[Target, tuple[bytes, ...]]] = {
    "stream messages": (
        _decode_stream_message,
        (
            _CODEC.encode(LeavingReport((LeavingUpstream("u1", 1),))),
            _CODEC.encode(
                LimitReport(
                    (AnnouncedLimit("u1", 6.0, ReactorClock(FakeReactor()).now()),),
                    (ServiceDemand("s", 1.5),),
                )
            ),
        ),
    ),
    "records of owners": (
        _decode_owner_record,
        (encode_record(ServiceRecord(9, (RecordedRange(0, 65_535, _OWNER, 2, None, 0),), 1)),),
    ),
    "rows of leaders": (
        _decode_leader_row,
        (encode_leader(LeaderRecord("a/1", "127.0.0.1", 1, 2, False)),),
    ),
    "registrations": (_decode_registration, _with_odd_values(encode_registration(_UPSTREAM, 1))),
    "configurations": (
        _decode_configuration,
        _with_odd_values(encode_configuration(1, _ROUTES, keyed=["s"], unkeyed=["t"])),
    ),
    "header values": (_parse_headers, (b"6.25", b"1", b"1500")),
    "requests of callers": (_receive_request, (_REQUEST, _REQUEST + _REQUEST)),
    "responses of upstreams": (_receive_response, (_RESPONSE, _CHUNKED)),
}
