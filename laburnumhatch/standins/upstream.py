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
from .grants import GrantBook
from .http import answer_json, header, sleep
from .request_fields import digest_body, number_in_header, number_in_query
from .run_log import Run, RunLog
from .upstream_answer import send_answer
from .upstream_faults import UpstreamFaults
from .upstream_options import UpstreamOptions
from .work_queue import WorkQueue

__all__ = ["KeyFinder", "UpstreamStandin", "leave_all"]

OK = 200
CONFLICT = 409
UNAVAILABLE = 503
CANCELLED = 504
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
    leaving: bool = False

    def __post_init__(self) -> None:
        self.started = self.clock.now()
        self.clock_name = secrets.token_hex(8)
        self.queue = WorkQueue(self.options.slots, self.options.queue_limit)
        self.grants = GrantBook(self.clock, self.options.honours_expiry)
        self.log = RunLog(self.clock, self.options.journal)
        self.connections = ConnectionTally(self.options.connections)
        self.requests: dict[str, Deferred[bytes]] = {}
        self._thawed: list[Deferred[None]] = []
        self._idle: list[Callable[[], None]] = []

    @property
    def draining(self) -> bool:
        """Whether the server refuses new requests."""
        return self.leaving or self.faults.draining

    @property
    def state(self) -> str:
        """Actual state: ``starting``, ``ready`` or ``draining``."""
        if self.draining:
            return "draining"
        if self.clock.now() - self.started < self.options.cold_start:
            return "starting"
        return "ready"

    def clock_reading(self) -> dict[str, object]:
        """Return the identifier and time of the server clock, to which grant expiry may refer."""
        return {"clock": self.clock_name, "clock_ms": to_milliseconds(self.clock.now())}

    def replace_faults(self, faults: UpstreamFaults) -> None:
        """Replace the faults; requests held by a freeze continue if the new faults have none."""
        self.faults = faults
        if not faults.frozen:
            thawed, self._thawed = self._thawed, []
            for waiting in thawed:
                waiting.callback(None)

    async def wait_while_frozen(self) -> None:
        """Wait until the server is not frozen."""
        while self.faults.frozen:
            waiting: Deferred[None] = Deferred(self._thawed.remove)
            self._thawed.append(waiting)
            await waiting

    def leave(self, when_idle: Callable[[], None]) -> None:
        """Start draining, and call `when_idle` once no request runs or waits."""
        self.leaving = True
        self._idle.append(when_idle)
        self._check_idle()

    def serve(self, request: Request) -> Deferred[bytes]:
        """Run a request and return the body of its response; cancelling the deferred aborts it."""
        request_id = header(request, "request-id")
        served: Deferred[bytes] = Deferred.fromCoroutine(self._serve(request))
        if request_id and not served.called:
            self.requests[request_id] = served
        served.addBoth(self._served, request_id)
        served.addErrback(_cancelled, request)
        return served

    def cancel(self, request_id: str) -> bool:
        """Cancel a running or waiting request, and return whether there was one."""
        served = self.requests.get(request_id)
        if served is None:
            return False
        served.cancel()
        return True

    def _served(self, result: object, request_id: str) -> object:
        self.requests.pop(request_id, None)
        return result

    async def _serve(self, request: Request) -> bytes:
        arrived = self.clock.now()
        await self.wait_while_frozen()
        refusal = self._refusal_on_arrival(request, arrived)
        if refusal is not None:
            self.log.refuse(self._describe(request))
            return _refuse(request, refusal)
        await self.queue.enter()
        try:
            refusal = self._refusal_at_start(request, arrived)
            if refusal is not None:
                return _refuse(request, refusal)
            return await self._run(request)
        finally:
            self.queue.leave()
            self._check_idle()

    def _refusal_on_arrival(self, request: Request, arrived: timedelta) -> _Refusal | None:
        if self.draining:
            return _Refusal(UNAVAILABLE, "draining", {"draining": "yes"})
        if self.state == "starting":
            left = self.options.cold_start - (self.clock.now() - self.started)
            seconds = str(1 + left // timedelta(seconds=1))
            return _Refusal(UNAVAILABLE, "starting", {"retry-after": seconds})
        if self.faults.shed > 0:
            self.faults = self.faults.model_copy(update={"shed": self.faults.shed - 1})
            return _shed("shed")
        if self.queue.full:
            return _shed("the queue is full")
        return self._refusal_at_start(request, arrived)

    def _refusal_at_start(self, request: Request, arrived: timedelta) -> _Refusal | None:
        deadline = header(request, "deadline-ms")
        if deadline.isdigit():
            left = milliseconds(int(deadline)) - (self.clock.now() - arrived)
            if left < self._work_time(request):
                return _shed("the deadline can't be met")
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
        newer = self.grants.refusal(slot, key_hash, epoch)
        if newer is None:
            return None
        return _Refusal(CONFLICT, "fenced", {"fencing-token": str(newer)})

    async def _run(self, request: Request) -> bytes:
        run = self._describe(request)
        count = self.log.start(run)
        try:
            await sleep(self.clock, to_milliseconds(self._work_time(request)))
            await self.wait_while_frozen()
            refusal = self._fencing_refusal(request)
            if refusal is not None:
                # The grant ended during the run, so the effects of the run are discarded.
                self.log.end(run, "fenced")
                return _refuse(request, refusal)
            answer = self._echo(request, run, count)
            film_bytes = number_in_query(request, "answer_bytes") or 0
            body = await send_answer(request, answer, film_bytes, self._take_cut())
        except CancelledError:
            self.log.end(run, "cancelled")
            raise
        self.log.end(run, "answered")
        return body

    def _work_time(self, request: Request) -> timedelta:
        asked = number_in_query(request, "work_ms")
        work = self.options.work if asked is None else milliseconds(asked)
        if self.clock.now() - self.started < 2 * self.options.cold_start:
            work *= COLD_SLOWDOWN
        return work + milliseconds(self.faults.slow_ms)

    def _take_cut(self) -> bool:
        if self.faults.cut_answers == 0:
            return False
        left = self.faults.cut_answers - 1
        self.faults = self.faults.model_copy(update={"cut_answers": left})
        return True

    def _describe(self, request: Request) -> Run:
        return Run(
            server=self.options.name,
            request_id=header(request, "request-id"),
            method=request.method.decode(),
            path=request.path.decode(),
            key=self.find_key(request),
            slot=number_in_header(request, "ownership-slot"),
            epoch=number_in_header(request, "fencing-token"),
            idempotency_key=header(request, "idempotency-key"),
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
            "traceparent": header(request, "traceparent"),
            "body_bytes": size,
            "body_digest": digest,
        }

    def _check_idle(self) -> None:
        if self.leaving and self.queue.idle:
            calls, self._idle = self._idle, []
            for call in calls:
                call()


def leave_all(upstreams: Sequence[UpstreamStandin], when_idle: Callable[[], None]) -> None:
    """Start draining several upstreams, and call `when_idle` once all of them are idle."""
    busy = set(range(len(upstreams)))

    def idle(n: int) -> None:
        busy.discard(n)
        if not busy:
            when_idle()

    for n, upstream in enumerate(upstreams):
        upstream.leave(partial(idle, n))


def _cancelled(failure: Failure, request: Request) -> bytes:
    failure.trap(CancelledError)
    return answer_json(request, CANCELLED, {"error": "cancelled"})


def _shed(reason: str) -> _Refusal:
    return _Refusal(UNAVAILABLE, reason, {"retry-after": str(RETRY_AFTER_SHED_S)})


def _refuse(request: Request, refusal: _Refusal) -> bytes:
    headers = {**refusal.headers, "run": "no"}
    return answer_json(request, refusal.status, {"error": refusal.reason}, headers)
