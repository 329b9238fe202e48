"""Stand-in of an upstream that registers, holds leases of keys and runs requests."""

import random
from collections.abc import Callable, Set
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from ...clocks import Cancellable, Clock, milliseconds
from ...clocks.duration_text import parse_duration
from ...fleet import CallerLimits, Upstream, UpstreamIncarnation
from ...transport import CallerFactory, CallerRequest
from ..grants import GRANT_PATH, RELEASE_PATH
from ..headers import (
    ATTEMPT_ID,
    EXPECTED_UPSTREAM,
    HANDOVER,
    KEY,
    LEAVING,
    MISDIRECTED,
    NOT_RUN,
    REQUEST_LIMIT,
    RETRY_AFTER,
    SEAL,
    UPSTREAM_NAME,
    find_header,
    parse_key,
)
from ..upstreams import UPSTREAM_TABLE
from .registration import encode_registration
from .store import StandinStore

__all__ = ["LeasedRange", "StandinUpstream", "UpstreamFaults", "UpstreamObserver"]

LAST_KEY = 65_535
# Earlier than every instant of the clock.
DISTANT_PAST = timedelta(days=-1)
HEARTBEAT = milliseconds(870)
# Time without a heartbeat after which a registration is removed.
REGISTRATION_TTL = HEARTBEAT * 3
# Maximum number of queued requests for each slot.
MAX_QUEUED_PER_SLOT = 3
# Bounds of the delay after which a grant without an answer is applied.
MIN_LATE_DELAY_S = 2.0
MAX_LATE_DELAY_S = 12.0


@dataclass(slots=True)
class UpstreamFaults:
    """Injected faults of an upstream.

    Attributes
    ----------
    is_silent : bool
        Whether the upstream drops every new request without an answer.
    slowdown : float
        Factor by which the duration of each run grows.
    late_share : float
        Share of the grants that are applied seconds later without an answer.
    lost_share : float
        Share of the requests that run and get no answer.
    failed_share : float
        Share of the requests that run and are answered with status 500.
    request_limit_per_s : float or None
        Requests per second that the upstream announces to take from all instances together.
    pause : timedelta
        Time for which the upstream asks an instance to send nothing when it declines a request;
        it then declines each request. Zero for an upstream that declines none.
    """

    is_silent: bool = False
    slowdown: float = 1.0
    late_share: float = 0.0
    lost_share: float = 0.0
    failed_share: float = 0.0
    request_limit_per_s: float | None = None
    pause: timedelta = timedelta()


@dataclass(slots=True)
class LeasedRange:
    """Range of keys that was granted under one fencing token.

    Attributes
    ----------
    first, last : int
        Bounds of the range, both inclusive.
    fencing_token : int
        Fencing token.
    expires_at : timedelta
        End of the lease.
    """

    first: int
    last: int
    fencing_token: int
    expires_at: timedelta = DISTANT_PAST


class UpstreamObserver(Protocol):
    """Receives the events of upstreams."""

    def on_grant_applied(
        self, upstream: "StandinUpstream", granted: LeasedRange, is_new: bool
    ) -> None:
        """Record an applied grant; `is_new` tells whether its token is new for any of its keys."""

    def on_request_arrived(self, upstream: "StandinUpstream", request_id: str) -> None:
        """Record that a request has reached an upstream."""

    def on_run_started(
        self, upstream: "StandinUpstream", request_id: str, path: str, body: bytes
    ) -> None:
        """Record that an upstream starts to run a request."""

    def on_run_ended(self, upstream: "StandinUpstream", request_id: str) -> None:
        """Record that a run has ended and that its answer is about to be sent."""

    def on_crashed(self, upstream: "StandinUpstream", path: str) -> None:
        """Record that an upstream has crashed under a request."""


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
    random_source : random.Random
    incarnation : UpstreamIncarnation
    service, data_centre : str
    address : (str, int)
        Address in the registration, which may belong to a proxy.
    listen_address : (str, int)
        Address on which the upstream listens.
    is_keyed : bool
        Whether a request runs only while the lease of its key is held.
    slots : int
        Maximum number of requests that run at the same time.
    run_duration : timedelta
        Duration of the run of a request.
    clock_factor : float
        Ratio of the duration of a lease on the upstream to the granted duration, which models a
        clock that runs slow.
    faults : UpstreamFaults
    crashing_paths : set of str
        Paths of the requests that crash an upstream which runs them.
    is_draining, is_store_reachable, is_up : bool
    leased_ranges : list of LeasedRange
        Adjacent ranges in ascending order, which together hold all keys.
    """

    clock: Clock
    reactor: Any
    store: StandinStore
    observer: UpstreamObserver
    random_source: random.Random
    incarnation: UpstreamIncarnation
    service: str
    data_centre: str
    address: tuple[str, int]
    listen_address: tuple[str, int]
    is_keyed: bool = False
    slots: int = 4
    run_duration: timedelta = milliseconds(20)
    clock_factor: float = 1.02
    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    crashing_paths: Set[str] = frozenset()
    is_draining: bool = False
    is_store_reachable: bool = True
    is_up: bool = False
    leased_ranges: list[LeasedRange] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.leased_ranges = [LeasedRange(0, LAST_KEY, 0)]
        self._running_count = 0
        self._queue: list[Callable[[], None]] = []
        # Keys of the running requests, and the releases that wait for such requests to end.
        self._running_keys: list[int] = []
        self._pending_releases: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._last_registered_at = DISTANT_PAST
        self._port: Any = None
        self._heartbeat_timer: Cancellable | None = None
        self._factory = CallerFactory(self.clock, self._handle, _caller_limits)

    @property
    def name(self) -> str:
        """Identifier of the upstream."""
        return self.incarnation.name

    def start(self) -> None:
        """Listen, register and send heartbeats."""
        self.is_up = True
        host, port = self.listen_address
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
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        self.clock.call_later(REGISTRATION_TTL, self._remove_registration)

    def drain(self) -> bool:
        """Announce a shutdown and return whether the announcement was stored.

        `complete_drain` completes the shutdown.
        """
        self.is_draining = True
        return self._write_registration()

    def complete_drain(self) -> None:
        """Complete an announced shutdown and remove the registration."""
        self.crash()
        self.store.remove(UPSTREAM_TABLE, self.name)

    def lease_end(self, key: int) -> timedelta:
        """Return the instant at which the lease of a key ends."""
        return next(h.expires_at for h in self.leased_ranges if h.first <= key <= h.last)

    def _heartbeat(self) -> None:
        if (
            not self._write_registration()
            and self.clock.now() - self._last_registered_at > REGISTRATION_TTL
        ):
            self._remove_registration()
        self._heartbeat_timer = self.clock.call_later(HEARTBEAT, self._heartbeat)

    def _write_registration(self) -> bool:
        if not self.is_store_reachable or self.store.faults.is_down or self.store.faults.is_silent:
            return False
        self._sequence += 1
        self._last_registered_at = self.clock.now()
        host, port = self.address
        upstream = Upstream(
            self.incarnation,
            self.service,
            host,
            port,
            self.data_centre,
            self.slots,
            self.is_draining,
            timedelta(),
        )
        registration = encode_registration(upstream, self._sequence)
        self.store.put(UPSTREAM_TABLE, self.name, registration)
        return True

    def _remove_registration(self) -> None:
        row = self.store.get(UPSTREAM_TABLE, self.name)
        if (
            row is not None
            and msgspec.json.decode(row.value)["born"] == self.incarnation.started_at_ms
        ):
            self.store.remove(UPSTREAM_TABLE, self.name)

    def _handle(self, request: CallerRequest) -> None:
        if self.faults.is_silent or not self.is_up:
            return
        expected = find_header(request.fields, EXPECTED_UPSTREAM)
        if expected is not None and expected != self.name.encode():
            request.respond(MISDIRECTED, [(NOT_RUN, b"1")], b"")
        elif request.target == GRANT_PATH:
            self._handle_grant(request)
        elif request.target == RELEASE_PATH:
            self._handle_release(request)
        elif request.target == b"/health":
            name = (UPSTREAM_NAME, self.name.encode())
            request.respond(503 if self.is_draining else 200, [name, *self._announcements()], b"")
        else:
            self._handle_request(request)

    def _announcements(self) -> list[tuple[bytes, bytes]]:
        """Return what the upstream says of itself in its answers."""
        fields = [(LEAVING, b"1")] if self.is_draining else []
        if self.faults.request_limit_per_s is not None:
            fields.append((REQUEST_LIMIT, b"%g" % self.faults.request_limit_per_s))
        return fields

    # Keys.

    def _handle_grant(self, request: CallerRequest) -> None:
        call, arrived_at = msgspec.json.decode(bytes(request.body)), self.clock.now()
        if self.random_source.random() < self.faults.late_share:
            delay = timedelta(
                seconds=self.random_source.uniform(MIN_LATE_DELAY_S, MAX_LATE_DELAY_S)
            )
            self.clock.call_later(delay, self._apply_grant, call, arrived_at)
            return
        is_applied = self._apply_grant(call, arrived_at)
        request.respond(200 if is_applied else 409, self._announcements(), b"")

    def _apply_grant(self, call: dict[str, Any], arrived_at: timedelta) -> bool:
        first, last, fencing_token = call["from"], call["target"], call["fence"]
        held = self._split_ranges(first, last)
        if not self.is_up or any(h.fencing_token > fencing_token for h in held):
            return False
        expires_at = arrived_at + parse_duration(call["hold_time"]) * self.clock_factor
        is_new = any(h.fencing_token != fencing_token for h in held)
        granted = LeasedRange(first, last, fencing_token, expires_at)
        self._replace_range(first, last, granted)
        self.observer.on_grant_applied(self, granted, is_new)
        return True

    def _handle_release(self, request: CallerRequest) -> None:
        call = msgspec.json.decode(bytes(request.body))
        for leased in self._split_ranges(call["from"], call["target"]):
            leased.expires_at = DISTANT_PAST
        token = b"%016x" % self.random_source.getrandbits(64)
        self._pending_releases.append(
            (
                call["from"],
                call["target"],
                lambda: request.respond(200, [(HANDOVER, token)], b""),
            )
        )
        self._answer_releases()

    def _answer_releases(self) -> None:
        """Answer the releases whose keys have no running requests."""
        ready = [
            r
            for r in self._pending_releases
            if not any(r[0] <= key <= r[1] for key in self._running_keys)
        ]
        self._pending_releases = [r for r in self._pending_releases if r not in ready]
        for _, _, answer in ready:
            answer()

    def _split_ranges(self, first: int, last: int) -> list[LeasedRange]:
        """Split the leased ranges at both ends of a range and return those inside it."""
        split_ranges = []
        for h in self.leased_ranges:
            edges = sorted({h.first, h.last + 1} | {e for e in (first, last + 1) if h.first < e})
            edges = [e for e in edges if e <= h.last + 1]
            split_ranges += [
                LeasedRange(a, b - 1, h.fencing_token, h.expires_at)
                for a, b in zip(edges, edges[1:], strict=False)
            ]
        self.leased_ranges = split_ranges
        return [h for h in split_ranges if first <= h.first and h.last <= last]

    def _replace_range(self, first: int, last: int, granted: LeasedRange) -> None:
        kept = [h for h in self.leased_ranges if h.last < first or h.first > last]
        self.leased_ranges = sorted([*kept, granted], key=lambda h: h.first)

    # Requests.

    def _handle_request(self, request: CallerRequest) -> None:
        request_id = (find_header(request.fields, ATTEMPT_ID) or b"").decode("ascii", "replace")
        self.observer.on_request_arrived(self, request_id)
        key = parse_key(find_header(request.fields, KEY)) if self.is_keyed else None
        if self.is_keyed and (key is None or self.lease_end(key) <= self.clock.now()):
            request.respond(MISDIRECTED, [(NOT_RUN, b"1"), *self._announcements()], b"")
        elif self.faults.pause:
            pause = (RETRY_AFTER, b"%g" % self.faults.pause.total_seconds())
            request.respond(503, [(NOT_RUN, b"1"), pause, *self._announcements()], b"")
        elif (
            self._running_count >= self.slots
            and len(self._queue) >= self.slots * MAX_QUEUED_PER_SLOT
        ):
            request.respond(503, [(NOT_RUN, b"1"), *self._announcements()], b"")
        else:
            self._queue.append(lambda: self._run(request, request_id, key))
            self._fill_slots()

    def _fill_slots(self) -> None:
        while self._queue and self._running_count < self.slots:
            self._queue.pop(0)()

    def _run(self, request: CallerRequest, request_id: str, key: int | None) -> None:
        if not self.is_up or not request.is_open:
            return
        if key is not None and self.lease_end(key) <= self.clock.now():
            request.respond(MISDIRECTED, [(NOT_RUN, b"1")], b"")
            return
        self._running_count += 1
        if key is not None:
            self._running_keys.append(key)
        path = request.target.decode("ascii", "replace")
        self.observer.on_run_started(self, request_id, path, bytes(request.body))
        if path in self.crashing_paths:
            self.clock.call_later(self.run_duration, self._crash_under, path)
            return
        run_duration = self.run_duration * self.faults.slowdown
        self.clock.call_later(run_duration, self._end_run, request, request_id, key)

    def _crash_under(self, path: str) -> None:
        if self.is_up:
            self.crash()
            self.observer.on_crashed(self, path)

    def _end_run(self, request: CallerRequest, request_id: str, key: int | None) -> None:
        self._running_count -= 1
        if key is not None:
            self._running_keys.remove(key)
        if self.is_up and request.is_open:
            self._answer(request, request_id)
        self._answer_releases()
        self._fill_slots()

    def _answer(self, request: CallerRequest, request_id: str) -> None:
        draw = self.random_source.random()
        if draw < self.faults.lost_share:
            request.abort_response()
            return
        seal = b"seal-" + request_id.encode()
        fields = [(ATTEMPT_ID, request_id.encode()), (SEAL, seal), *self._announcements()]
        if draw >= 1.0 - self.faults.failed_share:
            request.respond(500, fields, b"failed")
            return
        self.observer.on_run_ended(self, request_id)
        request.respond(200, fields, f"{self.name} {request_id}".encode())


def _caller_limits() -> CallerLimits:
    return CallerLimits(idle_timeout=timedelta(seconds=60))
