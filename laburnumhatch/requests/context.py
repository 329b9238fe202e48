"""Dependencies and state shared by all requests of one instance."""

import random
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from datetime import timedelta
from typing import Any

import logbook
from opentelemetry.trace import Tracer
from twisted.internet.defer import Deferred
from twisted.web.client import Request as ClientRequest
from twisted.web.http_headers import Headers

from ..balancing import TargetChooser
from ..clocks import Clock
from ..membership import TargetView
from ..ownership import Owner, OwnershipView
from ..routing import Match, Service, Target
from ..routing.match import Matcher
from ..storage import Table
from .admission import concurrency_limit
from .caller import CallerRequest
from .connections import TargetConnectionPool
from .history import HistoryHook
from .metrics import RequestMetrics
from .refusal_log import build_refusal_log
from .relay import AnswerDiscarder
from .retry import RetryBudget
from .target_queue import TargetQueue

__all__ = ["OwnerCallHook", "RequestContext"]

CANCEL_TIMEOUT = timedelta(seconds=1)
CANCEL_CONFIRMED_STATUSES = (200, 204)
ID_PREFIX_BITS = 64

OwnerCallHook = Callable[[Owner, str, timedelta], None]

_log = logbook.Logger("laburnumhatch.requests")


class RequestContext:
    """Dependencies and shared state of the requests of one instance.

    The parameters are those of `RequestPath`, except for the following.

    Parameters
    ----------
    metrics : RequestMetrics
    on_idle : callable
        Called when the last request has finished and no background task is left.

    Attributes
    ----------
    is_stopping : bool
        Whether new requests are refused.
    exchanges : set
        Requests without a final answer.
    retry_budget : RetryBudget
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        instance: str,
        matcher: Callable[[], Matcher | None],
        ownership: OwnershipView,
        targets: TargetView,
        chooser: TargetChooser,
        claims: Table | None,
        entry_count: Callable[[], int],
        metrics: RequestMetrics,
        tracer: Tracer,
        history: HistoryHook | None,
        on_owner_call: OwnerCallHook | None,
        random_source: random.Random,
        on_idle: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.matcher = matcher
        self.ownership = ownership
        self.targets = targets
        self.chooser = chooser
        self.claims = claims
        self.metrics = metrics
        self.tracer = tracer
        self.history = history
        self.on_owner_call = on_owner_call
        self.log_refusal = build_refusal_log(clock)
        self.random = random_source
        self.is_stopping = False
        self.exchanges: set[object] = set()
        self.retry_budget = RetryBudget(1.0, clock.now())
        self._reactor = reactor
        self._entry_count = entry_count
        self._on_idle = on_idle
        self._pools: dict[tuple[str, int], TargetConnectionPool] = {}
        self._queues: dict[tuple[str, str], TargetQueue] = {}
        self._targets_by_name: dict[str, tuple[Service, dict[str, Target]]] = {}
        self._waiting_by_kind: dict[str, Counter[str]] = {}
        self._id_prefix = f"{instance}-{random_source.getrandbits(ID_PREFIX_BITS):016x}"
        self._last_id = 0
        self._background_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight and no background task is running."""
        return not self.exchanges and not self._background_count

    def next_request_id(self) -> str:
        """Return an identifier that is unique among the requests of all instances."""
        self._last_id += 1
        return f"{self._id_prefix}-{self._last_id}"

    def match(self, matcher: Matcher, request: CallerRequest) -> Match | None:
        """Return the service, kind and key of a request, or None if nothing matches.

        A HEAD request that matches no kind of its own is matched as a GET request.
        """
        method = request.method.decode("latin-1")
        target = request.uri.decode("latin-1")
        headers = _LazyHeaders(request.requestHeaders)
        found = matcher(method, target, headers)
        if found is None and method == "HEAD":
            return matcher("GET", target, headers)
        return found

    def target(self, service: Service, name: str) -> Target | None:
        """Return a target of a service by name, or None, in constant time."""
        cached = self._targets_by_name.get(service.name)
        if cached is None or cached[0] is not service:
            by_name = {target.name: target for target in service.targets}
            cached = self._targets_by_name[service.name] = (service, by_name)
        return cached[1].get(name)

    def max_concurrent_calls(self, service: Service) -> int:
        """Return the maximum number of concurrent calls from this instance to a target."""
        entries = self._entry_count()
        return concurrency_limit(
            service.max_requests_per_target, service.max_connections_per_target, entries
        )

    def pool(self, target: Target) -> TargetConnectionPool:
        """Return the connection pool of a target."""
        address = (target.host, target.port)
        pool = self._pools.get(address)
        if pool is None:
            pool = TargetConnectionPool(self._reactor, self.clock, target.host, target.port)
            pool.count_unmatched = self._count_unmatched
            self._pools[address] = pool
        return pool

    def queue(self, service: str, target: str) -> TargetQueue:
        """Return the queue of a target."""
        queue = self._queues.get((service, target))
        if queue is None:
            totals = self._waiting_by_kind.setdefault(service, Counter())
            queue = self._queues[service, target] = TargetQueue(self.clock.now, totals)
        return queue

    def cancel_upstream(self, target: Target, owner: Owner | None, request_id: str) -> None:
        """Ask an upstream to cancel a request whose answer is no longer needed.

        The closed connection signals the same, but an upstream that doesn't watch its connections
        misses it. Only a confirmation proves that the request no longer runs; without one, the
        request is reported as ended to the ownership when the lease expires.
        """
        self.run_in_background(self._cancel(target, owner, request_id))

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine that no caller waits for; an error is logged."""
        self._background_count += 1
        running = Deferred.fromCoroutine(work)
        running.addErrback(
            lambda f: _log.warning("background task failed: {}", f.getErrorMessage())
        )
        running.addCallback(self._background_finished)

    def exchange_finished(self, exchange: object) -> None:
        """Remove a request that has its final answer."""
        self.exchanges.discard(exchange)
        if self.is_idle:
            self._on_idle()

    def close(self) -> None:
        """Close the connection pools of the targets."""
        for pool in self._pools.values():
            pool.close()

    async def _cancel(self, target: Target, owner: Owner | None, request_id: str) -> None:
        cancelling = Deferred.fromCoroutine(self._send_cancellation(target, request_id))
        timer = self.clock.call_later(CANCEL_TIMEOUT, cancelling.cancel)
        try:
            is_cancelled = await cancelling
        except Exception:
            is_cancelled = False
        if timer.active():
            timer.cancel()
        if owner is None:
            return
        if is_cancelled:
            self.ownership.request_ended(owner)
            return
        remaining = owner.expires - self.clock.now()
        self.clock.call_later(remaining, self.ownership.request_ended, owner)

    async def _send_cancellation(self, target: Target, request_id: str) -> bool:
        pool = self.pool(target)
        connection = pool.take_idle(is_repeatable=True) or await pool.connect()
        host = f"{target.host}:{target.port}".encode()
        request = ClientRequest(
            b"DELETE", b"/requests/" + request_id.encode(), Headers({b"host": [host]}), None, True
        )
        try:
            response: Any = await connection.request(request)
        except BaseException:
            connection.abort_connection()
            raise
        response.deliverBody(AnswerDiscarder(connection))
        return response.code in CANCEL_CONFIRMED_STATUSES

    def _background_finished(self, result: None) -> None:
        self._background_count -= 1
        if self.is_idle:
            self._on_idle()

    def _count_unmatched(self) -> None:
        self.metrics.dropped_answers["unmatched"] += 1


class _LazyHeaders(Mapping[str, str]):
    """Mapping of a request's header fields that decodes a field only when it is accessed."""

    __slots__ = ("_headers",)

    def __init__(self, headers: Headers) -> None:
        self._headers = headers

    def __getitem__(self, name: str) -> str:
        values = self._headers.getRawHeaders(name.encode())
        if not values:
            raise KeyError(name)
        return values[-1].decode("latin-1")

    def __iter__(self) -> Any:
        return (name.decode("latin-1").lower() for name, _ in self._headers.getAllRawHeaders())

    def __len__(self) -> int:
        return len(list(self._headers.getAllRawHeaders()))
