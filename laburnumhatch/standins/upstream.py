"""State of an upstream stand-in, and its processing of requests."""

import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.http import Request

from ..clocks import Clock, milliseconds, to_milliseconds
from ..ownership import hash_key
from .connections import ConnectionTally
from .grants import GrantStore
from .http import answer_json, get_header, sleep
from .request_fields import digest_body, number_in_header, number_in_query
from .run_log import Run, RunLog
from .upstream_answer import send_answer
from .upstream_faults import UpstreamFaults
from .upstream_options import UpstreamOptions
from .work_queue import WorkQueue

__all__ = ["KeyFinder", "UpstreamStandin", "drain_all"]

OK = 200
CONFLICT = 409
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
RETRY_AFTER_SHED_S = 1
COLD_SLOWDOWN = 2

# Returns the key of a request, or an empty string if it has none.
KeyFinder = Callable[[Request], str]


@dataclass(frozen=True, slots=True)
class _Refusal:
    status: int
    reason: str
    headers: dict[str, str]


@dataclass
class UpstreamStandin:
    """Simulated upstream server, with a bounded queue, fencing and injected faults."""

    options: UpstreamOptions
    clock: Clock
    find_key: KeyFinder
    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    is_shutting_down: bool = False

    def __post_init__(self) -> None:
        self.started_at = self.clock.now()
        self.clock_name = secrets.token_hex(8)
        self.queue = WorkQueue(self.options.slots, self.options.queue_limit)
        self.grants = GrantStore(self.clock, self.options.honours_expiry)
        self.run_log = RunLog(self.clock, self.options.journal)
        self.connections = ConnectionTally(self.options.connections)
        self.active_requests: dict[str, Deferred[bytes]] = {}
        self._freeze_waiters: list[Deferred[None]] = []
        self._idle_callbacks: list[Callable[[], None]] = []

    @property
    def is_draining(self) -> bool:
        """Whether the server refuses new requests."""
        return self.is_shutting_down or self.faults.draining

    @property
    def state(self) -> str:
        """Actual state: ``starting``, ``ready`` or ``draining``."""
        if self.is_draining:
            return "draining"
        if self.clock.now() - self.started_at < self.options.cold_start:
            return "starting"
        return "ready"

    def clock_reading(self) -> dict[str, object]:
        """Return the identifier and time of the server clock, to which grant expiry may refer."""
        return {"clock": self.clock_name, "clock_ms": to_milliseconds(self.clock.now())}

    def replace_faults(self, faults: UpstreamFaults) -> None:
        """Replace the faults; requests held by a freeze continue if the new faults have none."""
        self.faults = faults
        if not faults.frozen:
            waiters, self._freeze_waiters = self._freeze_waiters, []
            for waiting in waiters:
                waiting.callback(None)

    async def wait_while_frozen(self) -> None:
        """Wait until the server is not frozen."""
        while self.faults.frozen:
            waiting: Deferred[None] = Deferred(self._freeze_waiters.remove)
            self._freeze_waiters.append(waiting)
            await waiting

    def drain(self, on_idle: Callable[[], None]) -> None:
        """Start draining, and call `on_idle` once no request runs or waits."""
        self.is_shutting_down = True
        self._idle_callbacks.append(on_idle)
        self._check_idle()

    def serve(self, request: Request) -> Deferred[bytes]:
        """Run a request and return the body of its response; cancelling the deferred aborts it."""
        request_id = get_header(request, "request-id")
        served: Deferred[bytes] = Deferred.fromCoroutine(self._serve(request))
        if request_id and not served.called:
            self.active_requests[request_id] = served
        served.addBoth(self._forget_request, request_id)
        served.addErrback(_answer_cancelled, request)
        return served

    def cancel(self, request_id: str) -> bool:
        """Cancel a running or waiting request, and return whether there was one."""
        served = self.active_requests.get(request_id)
        if served is None:
            return False
        served.cancel()
        return True

    def _forget_request(self, result: object, request_id: str) -> object:
        self.active_requests.pop(request_id, None)
        return result

    async def _serve(self, request: Request) -> bytes:
        arrived_at = self.clock.now()
        await self.wait_while_frozen()
        refusal = self._refusal_on_arrival(request, arrived_at)
        if refusal is not None:
            self.run_log.refuse(self._new_run(request))
            return _refuse(request, refusal)
        await self.queue.acquire()
        try:
            refusal = self._refusal_at_start(request, arrived_at)
            if refusal is not None:
                return _refuse(request, refusal)
            return await self._run(request)
        finally:
            self.queue.release()
            self._check_idle()

    def _refusal_on_arrival(self, request: Request, arrived_at: timedelta) -> _Refusal | None:
        if self.is_draining:
            return _Refusal(UNAVAILABLE, "draining", {"draining": "yes"})
        if self.state == "starting":
            remaining = self.options.cold_start - (self.clock.now() - self.started_at)
            seconds = str(1 + remaining // timedelta(seconds=1))
            return _Refusal(UNAVAILABLE, "starting", {"retry-after": seconds})
        if self.faults.shed > 0:
            self.faults = self.faults.model_copy(update={"shed": self.faults.shed - 1})
            return _overload_refusal("shed")
        if self.queue.is_full:
            return _overload_refusal("the queue is full")
        return self._refusal_at_start(request, arrived_at)

    def _refusal_at_start(self, request: Request, arrived_at: timedelta) -> _Refusal | None:
        deadline = get_header(request, "deadline-ms")
        if deadline.isdigit():
            remaining = milliseconds(int(deadline)) - (self.clock.now() - arrived_at)
            if remaining < self._work_time(request):
                return _overload_refusal("the deadline can't be met")
        return self._fencing_refusal(request)

    def _fencing_refusal(self, request: Request) -> _Refusal | None:
        if not self.options.checks_fencing:
            return None
        slot = number_in_header(request, "ownership-slot")
        epoch = number_in_header(request, "fencing-token")
        if slot is None or epoch is None:
            return _Refusal(CONFLICT, "no fencing token", {"fencing-token": "0"})
        key = self.find_key(request)
        key_hash = f"{hash_key(self.options.service, key):016x}" if key else None
        newer = self.grants.check_token(slot, key_hash, epoch)
        if newer is None:
            return None
        return _Refusal(CONFLICT, "fenced", {"fencing-token": str(newer)})

    async def _run(self, request: Request) -> bytes:
        run = self._new_run(request)
        count = self.run_log.start(run)
        try:
            await sleep(self.clock, to_milliseconds(self._work_time(request)))
            await self.wait_while_frozen()
            refusal = self._fencing_refusal(request)
            if refusal is not None:
                # The grant ended during the run, so the effects of the run are discarded.
                self.run_log.end(run, "fenced")
                return _refuse(request, refusal)
            answer = self._echo(request, run, count)
            stream_bytes = number_in_query(request, "answer_bytes") or 0
            body = await send_answer(request, answer, stream_bytes, self._consume_cut_answer())
        except CancelledError:
            self.run_log.end(run, "cancelled")
            raise
        self.run_log.end(run, "answered")
        return body

    def _work_time(self, request: Request) -> timedelta:
        requested_ms = number_in_query(request, "work_ms")
        work = self.options.work if requested_ms is None else milliseconds(requested_ms)
        if self.clock.now() - self.started_at < 2 * self.options.cold_start:
            work *= COLD_SLOWDOWN
        return work + milliseconds(self.faults.slow_ms)

    def _consume_cut_answer(self) -> bool:
        if self.faults.cut_answers == 0:
            return False
        remaining = self.faults.cut_answers - 1
        self.faults = self.faults.model_copy(update={"cut_answers": remaining})
        return True

    def _new_run(self, request: Request) -> Run:
        return Run(
            server=self.options.name,
            request_id=get_header(request, "request-id"),
            method=request.method.decode(),
            path=request.path.decode(),
            key=self.find_key(request),
            slot=number_in_header(request, "ownership-slot"),
            epoch=number_in_header(request, "fencing-token"),
            idempotency_key=get_header(request, "idempotency-key"),
        )

    def _echo(self, request: Request, run: Run, count: int) -> dict[str, object]:
        size, digest = digest_body(request)
        return {
            "server": run.server,
            "service": self.options.service,
            "request_id": run.request_id,
            "method": run.method,
            "path": run.path,
            "query": request.uri.decode().partition("?")[2],
            "key": run.key,
            "slot": run.slot,
            "epoch": run.epoch,
            "runs": count,
            "traceparent": get_header(request, "traceparent"),
            "body_bytes": size,
            "body_digest": digest,
        }

    def _check_idle(self) -> None:
        if self.is_shutting_down and self.queue.is_idle:
            callbacks, self._idle_callbacks = self._idle_callbacks, []
            for call in callbacks:
                call()


def drain_all(upstreams: Sequence[UpstreamStandin], on_idle: Callable[[], None]) -> None:
    """Start draining several upstreams, and call `on_idle` once all of them are idle."""
    busy_indices = set(range(len(upstreams)))

    def upstream_idle(n: int) -> None:
        busy_indices.discard(n)
        if not busy_indices:
            on_idle()

    for n, upstream in enumerate(upstreams):
        upstream.drain(partial(upstream_idle, n))


def _answer_cancelled(failure: Failure, request: Request) -> bytes:
    failure.trap(CancelledError)
    return answer_json(request, GATEWAY_TIMEOUT, {"error": "cancelled"})


def _overload_refusal(reason: str) -> _Refusal:
    return _Refusal(UNAVAILABLE, reason, {"retry-after": str(RETRY_AFTER_SHED_S)})


def _refuse(request: Request, refusal: _Refusal) -> bytes:
    headers = {**refusal.headers, "run": "no"}
    return answer_json(request, refusal.status, {"error": refusal.reason}, headers)
