"""Callers with long bodies and their upstreams, as a process of their own.

``python -m laburnumhatch.measures.memory_peers GATEWAY_HOST GATEWAY_PORT HOST PORT SEED CALLERS``
sends requests to a gateway until it is ended, and listens as the upstream that takes the bodies.
"""

import random
import secrets
import sys
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any

from ..clocks import Clock, ReactorClock, boot_seconds, milliseconds
from ..fleet import CallerLimits
from ..platform.headers import ATTEMPT_ID, DEADLINE, SEAL, find_header
from ..transport import CallerFactory, CallerRequest, CallFailure, ConnectionPool, OutboundRequest
from ..transport.fields import HeaderFields
from ..transport.memory_budget import BodyHandling, MemoryBudget
from ..transport.request_body import RequestBody

__all__ = ["HOST_NAME", "MAX_BODY_BYTES", "Peers", "run"]

HOST_NAME = b"shop.example"
MAX_BODY_BYTES = 64 * 1_048_576
CHUNK = b"x" * 65_536
# Length of an answer that a slow caller doesn't read, in chunks.
LONG_ANSWER_CHUNKS = 64
DEADLINE_MS = 10_000
# Longest time after which a caller that stops in the middle of its body leaves.
MAX_SILENCE = milliseconds(4000)
SLOW_READ_PAUSE = milliseconds(3000)
MAX_PAUSE_S = 0.3


class _StreamingBudget(MemoryBudget):
    """Budget with which the upstream takes each long body as it arrives."""

    def choose_handling(self, length: int | None) -> BodyHandling:
        return BodyHandling.STREAM if (length or 0) > len(CHUNK) else BodyHandling.KEEP


class _RepeatedBody(RequestBody):
    """Body of equal chunks, of which a part is sent before its caller falls silent."""

    def __init__(self, length: int, sent_bytes: int) -> None:
        super().__init__(length)
        self._sent_bytes = sent_bytes
        self.is_complete = sent_bytes == length

    def kept_parts(self) -> Iterator[bytes]:
        for start in range(0, self._sent_bytes, len(CHUNK)):
            yield CHUNK[: min(len(CHUNK), self._sent_bytes - start)]

    def take_parts(self) -> Iterator[bytes | None]:
        yield from self.kept_parts()
        while not self.is_complete:
            yield None


class _Answer:
    """Receiver of an answer that is read to its end and dropped."""

    def __init__(self, on_ended: Callable[[str], None]) -> None:
        self._on_ended = on_ended
        self._status = 0
        self.on_first_part: Callable[[], None] = lambda: None

    def on_header(self, status: int, fields: HeaderFields, length: int | None) -> None:
        self._status = status

    def on_body(self, data: bytes) -> None:
        self.on_first_part()

    def on_end(self) -> None:
        self._on_ended(str(self._status))

    def on_failure(self, failure: CallFailure) -> None:
        self._on_ended(failure.kind.value)


class Peers:
    """Callers with long bodies, and the upstream that takes them.

    Parameters
    ----------
    reactor
        Twisted reactor.
    clock : Clock
    gateway : (str, int)
        Address of the gateway.
    seed : int
    """

    def __init__(self, reactor: Any, clock: Clock, gateway: tuple[str, int], seed: int) -> None:
        self._reactor = reactor
        self._clock = clock
        self._gateway = gateway
        self._random = random.Random(seed)
        self._pool = ConnectionPool(reactor, clock)

    def start(self, host: str, port: int, caller_count: int) -> None:
        """Listen as the upstream, and start the callers."""
        limits = CallerLimits(max_body_bytes=MAX_BODY_BYTES)
        factory = CallerFactory(self._clock, self._serve, lambda: limits, _StreamingBudget())
        self._reactor.listenTCP(port, factory, interface=host, backlog=512)
        for _ in range(caller_count):
            self._send_next()

    # The upstream.

    def _serve(self, request: CallerRequest) -> None:
        parts = request.body.take_parts()

        def drain() -> None:
            for part in parts:
                if part is None:
                    return
            request.body.on_part = lambda: None
            self._answer(request)

        request.body.on_part = drain
        drain()

    def _answer(self, request: CallerRequest) -> None:
        request_id = find_header(request.fields, ATTEMPT_ID) or b""
        fields = [(ATTEMPT_ID, request_id), (SEAL, b"seal-" + request_id)]
        if request.target.startswith(b"/uploads/"):
            request.respond(200, fields, b"fine")
            return
        chunk_count = LONG_ANSWER_CHUNKS if request.target.endswith(b"/long") else sys.maxsize
        request.begin(200, fields, None)
        self._write_chunks(request, chunk_count)

    def _write_chunks(self, request: CallerRequest, chunk_count: int) -> None:
        """Write chunks as fast as they are read, without end if they are many."""
        is_paused = False

        def pause() -> None:
            nonlocal is_paused
            is_paused = True

        def resume() -> None:
            nonlocal is_paused, chunk_count
            is_paused = False
            while chunk_count and not is_paused and request.is_open:
                chunk_count -= 1
                request.write(CHUNK)
            if not chunk_count and request.is_open:
                request.end()

        request.throttle(pause, resume)
        resume()

    # The callers.

    def _send_next(self) -> None:
        choice = self._random.random()
        length = round(MAX_BODY_BYTES ** self._random.random())
        if choice < 0.6:
            self._send(b"POST", b"/uploads/x", _RepeatedBody(length, length))
        elif choice < 0.8:
            self._send_part(length)
        elif choice < 0.9:
            self._read_slowly()
        else:
            self._send(b"GET", b"/downloads/endless", RequestBody.of(b""))

    def _send_part(self, length: int) -> None:
        """Send a part of a body, fall silent, and reset the connection after a while."""
        body = _RepeatedBody(length, self._random.randrange(length))
        call = self._send(b"POST", b"/uploads/x", body)
        silence = MAX_SILENCE * self._random.random()
        self._clock.call_later(silence, call.abort)
        self._clock.call_later(silence, self._send_next)

    def _read_slowly(self) -> None:
        answer = _Answer(self._pause_before_next)
        call = self._send(b"GET", b"/downloads/long", RequestBody.of(b""), answer)

        def fall_asleep() -> None:
            answer.on_first_part = lambda: None
            if call.connection is not None:
                call.connection.pause()
                self._clock.call_later(SLOW_READ_PAUSE, call.connection.resume)

        answer.on_first_part = fall_asleep

    def _send(
        self, method: bytes, target: bytes, body: RequestBody, answer: _Answer | None = None
    ) -> Any:
        fields = [
            (b"host", HOST_NAME),
            (ATTEMPT_ID, secrets.token_hex(8).encode()),
            (DEADLINE, b"%d" % DEADLINE_MS),
        ]
        request = OutboundRequest(method, target, fields, body, lambda status, fields: True)
        if answer is None:
            is_whole = body.is_complete
            answer = _Answer(self._pause_before_next if is_whole else lambda result: None)
        return self._pool.send(*self._gateway, lambda: request, answer)

    def _pause_before_next(self, result: str) -> None:
        pause = timedelta(seconds=MAX_PAUSE_S * self._random.random())
        self._clock.call_later(pause, self._send_next)


def run(arguments: list[str]) -> None:
    """Run until the process is ended."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    gateway_host, gateway_port, host, port, seed, caller_count = arguments
    clock = ReactorClock(reactor, boot_seconds)
    peers = Peers(reactor, clock, (gateway_host, int(gateway_port)), int(seed))
    reactor.callWhenRunning(peers.start, host, int(port), int(caller_count))
    reactor.run()


if __name__ == "__main__":
    run(sys.argv[1:])
