"""Stand-in of an upstream that registers, holds leases of keys and runs requests."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from ...clocks import Cancellable, Clock, milliseconds
from ...clocks.duration_text import parse_duration
from ...fleet import CallerLimits, UpstreamLife
from ...transport import CallerFactory, CallerRequest
from ..grants import GRANT_PATH, RELEASE_PATH
from ..headers import (
    EXPECTED_UPSTREAM,
    HANDOVER,
    INSTANCE,
    KEY,
    MISDIRECTED,
    NOT_RUN,
    REQUEST_ID,
    SEAL,
    find_header,
    parse_key,
)
from ..upstreams import UPSTREAM_TABLE
from .store import StandinStore

__all__ = ["Holding", "StandinUpstream", "UpstreamObserver", "UpstreamFaults"]

LAST_KEY = 65_535
# Earlier than every instant of the clock.
NEVER = timedelta(days=-1)
HEARTBEAT = milliseconds(870)
# Time without a heartbeat after which a registration is removed.
EXPIRY = HEARTBEAT * 3
# Maximum number of queued requests for each slot.
QUEUE_FACTOR = 3
# Bounds of the delay after which a grant without an answer is applied.
LATE_FROM_S = 2.0
LATE_TO_S = 12.0


@dataclass(slots=True)
class UpstreamFaults:
    """Injected faults of an upstream.

    Attributes
    ----------
    is_silent : bool
        Whether the upstream drops every request without an answer.
    slowdown : float
        Factor by which the duration of each run grows.
    late_share : float
        Share of the grants that are applied seconds later without an answer.
    lost_share : float
        Share of the requests that run and get no answer.
    failed_share : float
        Share of the requests that run and are answered with status 500.
    """

    is_silent: bool = False
    slowdown: float = 1.0
    late_share: float = 0.0
    lost_share: float = 0.0
    failed_share: float = 0.0


@dataclass(slots=True)
class Holding:
    """Range of keys that was granted under one fencing token.

    Attributes
    ----------
    first, last : int
        Bounds of the range, both inclusive.
    fence : int
        Fencing token.
    until : timedelta
        End of the lease.
    """

    first: int
    last: int
    fence: int
    until: timedelta = NEVER


class UpstreamObserver(Protocol):
    """Receives the events of upstreams."""

    def granted(self, upstream: "StandinUpstream", taken: Holding, is_new: bool) -> None:
        """Record an applied grant; `is_new` tells whether its token is new for any of its keys."""

    def arrived(self, upstream: "StandinUpstream", request_id: str) -> None:
        """Record that a request has reached an upstream."""

    def began(self, upstream: "StandinUpstream", request_id: str, path: str, body: bytes) -> None:
        """Record that an upstream starts to run a request."""

    def ended(self, upstream: "StandinUpstream", request_id: str) -> None:
        """Record that a run has ended and that its answer is about to be sent."""


@dataclass
class StandinUpstream:
    """Upstream from its start to its end; a restart creates another object.

    Attributes
    ----------
    clock : Clock
    reactor
        A Twisted reactor.
    store : StandinStore
    observer : UpstreamObserver
    source : random.Random
    life : UpstreamLife
    service, data_centre : str
    address : (str, int)
        Address in the registration, which may belong to a proxy.
    listens_at : (str, int)
        Address on which the upstream listens.
    is_keyed : bool
        Whether a request runs only while the lease of its key is held.
    slots : int
        Maximum number of requests that run at the same time.
    work : timedelta
        Duration of the run of a request.
    clock_factor : float
        Ratio of the duration of a lease on the upstream to the granted duration, which models a
        clock that runs slow.
    """

    clock: Clock
    reactor: Any
    store: StandinStore
    observer: UpstreamObserver
    source: random.Random
    life: UpstreamLife
    service: str
    data_centre: str
    address: tuple[str, int]
    listens_at: tuple[str, int]
    is_keyed: bool = False
    slots: int = 4
    work: timedelta = milliseconds(20)
    clock_factor: float = 1.02
    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    is_draining: bool = False
    reaches_store: bool = True
    is_up: bool = False
    holdings: list[Holding] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.holdings = [Holding(0, LAST_KEY, 0)]
        self._running = 0
        self._waiting: list[Callable[[], None]] = []
        # Keys of the running requests, and the releases that wait for such requests to end.
        self._at_work: list[int] = []
        self._releases: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._reported = NEVER
        self._port: Any = None
        self._beat: Cancellable | None = None
        self._factory = CallerFactory(self.clock, self._handle, _limits)

    @property
    def name(self) -> str:
        """Identifier of the upstream."""
        return self.life.name

    def start(self) -> None:
        """Listen, register and send heartbeats."""
        self.is_up = True
        host, port = self.listens_at
        self._port = self.reactor.listenTCP(port, self._factory, interface=host)
        self._heartbeat()

    def crash(self) -> None:
        """Stop at once without announcing a shutdown; the registration expires later."""
        if not self.is_up:
            return
        self.is_up = False
        self._port.stopListening()
        for connection in list(self._factory.connections):
            connection.transport.abortConnection()
        if self._beat is not None:
            self._beat.cancel()
        self.clock.call_later(EXPIRY, self._expire)

    def drain(self) -> bool:
        """Announce a shutdown and return whether the announcement was stored.

        `leave` completes the shutdown.
        """
        self.is_draining = True
        return self._report()

    def leave(self) -> None:
        """Complete an announced shutdown and remove the registration."""
        self.crash()
        self.store.remove(UPSTREAM_TABLE, self.name)

    def held_until(self, key: int) -> timedelta:
        """Return the instant at which the lease of a key ends."""
        return next(h.until for h in self.holdings if h.first <= key <= h.last)

    def _heartbeat(self) -> None:
        if not self._report() and self.clock.now() - self._reported > EXPIRY:
            self._expire()
        self._beat = self.clock.call_later(HEARTBEAT, self._heartbeat)

    def _report(self) -> bool:
        if not self.reaches_store or self.store.faults.is_down or self.store.faults.is_silent:
            return False
        self._sequence += 1
        self._reported = self.clock.now()
        registration = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "warmup_left": "0ms",
            "sequence": self._sequence,
            "born": self.life.born,
        }
        self.store.put(UPSTREAM_TABLE, self.name, msgspec.json.encode(registration))
        return True

    def _expire(self) -> None:
        row = self.store.get(UPSTREAM_TABLE, self.name)
        if row is not None and msgspec.json.decode(row.value)["born"] == self.life.born:
            self.store.remove(UPSTREAM_TABLE, self.name)

    def _handle(self, request: CallerRequest) -> None:
        if self.faults.is_silent or not self.is_up:
            return
        expected = find_header(request.fields, EXPECTED_UPSTREAM)
        if expected is not None and expected != self.name.encode():
            request.answer(MISDIRECTED, [(NOT_RUN, b"1")], b"")
        elif request.target == GRANT_PATH:
            self._take_grant(request)
        elif request.target == RELEASE_PATH:
            self._take_release(request)
        elif request.target == b"/health":
            request.answer(503 if self.is_draining else 200, [(INSTANCE, self.name.encode())], b"")
        else:
            self._take_request(request)

    # Keys.

    def _take_grant(self, request: CallerRequest) -> None:
        order, arrived = msgspec.json.decode(request.body), self.clock.now()
        if self.source.random() < self.faults.late_share:
            delay = timedelta(seconds=self.source.uniform(LATE_FROM_S, LATE_TO_S))
            self.clock.call_later(delay, self._apply, order, arrived)
            return
        request.answer(200 if self._apply(order, arrived) else 409, [], b"")

    def _apply(self, order: dict[str, Any], arrived: timedelta) -> bool:
        first, last, fence = order["from"], order["target"], order["fence"]
        held = self._carve(first, last)
        if not self.is_up or any(h.fence > fence for h in held):
            return False
        until = arrived + parse_duration(order["hold_time"]) * self.clock_factor
        is_new = any(h.fence != fence for h in held)
        taken = Holding(first, last, fence, until)
        self._replace(first, last, taken)
        self.observer.granted(self, taken, is_new)
        return True

    def _take_release(self, request: CallerRequest) -> None:
        order = msgspec.json.decode(request.body)
        for holding in self._carve(order["from"], order["target"]):
            holding.until = NEVER
        token = b"%016x" % self.source.getrandbits(64)
        self._releases.append(
            (
                order["from"],
                order["target"],
                lambda: request.answer(200, [(HANDOVER, token)], b""),
            )
        )
        self._answer_releases()

    def _answer_releases(self) -> None:
        """Answer the releases whose keys have no running requests."""
        done = [r for r in self._releases if not any(r[0] <= key <= r[1] for key in self._at_work)]
        self._releases = [r for r in self._releases if r not in done]
        for _, _, answer in done:
            answer()

    def _carve(self, first: int, last: int) -> list[Holding]:
        """Split the holdings at both ends of a range and return those inside the range."""
        cut = []
        for h in self.holdings:
            edges = sorted({h.first, h.last + 1} | {e for e in (first, last + 1) if h.first < e})
            edges = [e for e in edges if e <= h.last + 1]
            cut += [
                Holding(a, b - 1, h.fence, h.until) for a, b in zip(edges, edges[1:], strict=False)
            ]
        self.holdings = cut
        return [h for h in cut if first <= h.first and h.last <= last]

    def _replace(self, first: int, last: int, taken: Holding) -> None:
        kept = [h for h in self.holdings if h.last < first or h.first > last]
        self.holdings = sorted([*kept, taken], key=lambda h: h.first)

    # Requests.

    def _take_request(self, request: CallerRequest) -> None:
        request_id = (find_header(request.fields, REQUEST_ID) or b"").decode("ascii", "replace")
        self.observer.arrived(self, request_id)
        key = parse_key(find_header(request.fields, KEY)) if self.is_keyed else None
        if self.is_keyed and (key is None or self.held_until(key) <= self.clock.now()):
            request.answer(MISDIRECTED, [(NOT_RUN, b"1")], b"")
        elif self._running >= self.slots and len(self._waiting) >= self.slots * QUEUE_FACTOR:
            request.answer(503, [(NOT_RUN, b"1")], b"")
        else:
            self._waiting.append(lambda: self._run(request, request_id, key))
            self._fill_slots()

    def _fill_slots(self) -> None:
        while self._waiting and self._running < self.slots:
            self._waiting.pop(0)()

    def _run(self, request: CallerRequest, request_id: str, key: int | None) -> None:
        if not self.is_up or not request.is_open:
            return
        if key is not None and self.held_until(key) <= self.clock.now():
            request.answer(MISDIRECTED, [(NOT_RUN, b"1")], b"")
            return
        self._running += 1
        if key is not None:
            self._at_work.append(key)
        path = request.target.decode("ascii", "replace")
        self.observer.began(self, request_id, path, request.body)
        work = self.work * self.faults.slowdown
        self.clock.call_later(work, self._end_run, request, request_id, key)

    def _end_run(self, request: CallerRequest, request_id: str, key: int | None) -> None:
        self._running -= 1
        if key is not None:
            self._at_work.remove(key)
        if self.is_up and request.is_open:
            self._answer(request, request_id)
        self._answer_releases()
        self._fill_slots()

    def _answer(self, request: CallerRequest, request_id: str) -> None:
        draw = self.source.random()
        if draw < self.faults.lost_share:
            request.break_off()
            return
        fields = [(REQUEST_ID, request_id.encode()), (SEAL, b"seal-" + request_id.encode())]
        if draw >= 1.0 - self.faults.failed_share:
            request.answer(500, fields, b"failed")
            return
        self.observer.ended(self, request_id)
        request.answer(200, fields, f"{self.name} {request_id}".encode())


def _limits() -> CallerLimits:
    return CallerLimits(idle_timeout=timedelta(seconds=60))
