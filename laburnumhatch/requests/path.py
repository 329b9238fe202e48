"""Entry point of the request path of one entry instance."""

import random
from collections.abc import Callable
from typing import Any

from aioprometheus import Registry
from opentelemetry import trace
from opentelemetry.trace import Tracer
from twisted.internet.defer import Deferred
from twisted.web.http import HTTPFactory

from ..balancing import TargetChooser
from ..clocks import Clock
from ..membership import TargetView
from ..ownership import OwnershipView
from ..routing.match import Matcher
from ..storage import Table
from .caller import CallerFactory
from .context import OwnerCallHook, RequestContext
from .exchange import Exchange
from .history import HistoryHook
from .metrics import RequestMetrics

__all__ = ["RequestPath"]


class RequestPath:
    """Forward callers' requests to the upstream servers.

    Parameters
    ----------
    reactor
        A Twisted reactor that opens connections and runs timers.
    clock : Clock
    instance : str
        Name of this entry instance.
    matcher : callable
        Returns the matcher of the current configuration, or None without a configuration.
    ownership : OwnershipView
    targets : TargetView
    chooser : TargetChooser
    claims : Table or None
        Table that holds the claims of idempotency keys; without it, idempotency keys are ignored.
    entry_count : callable, optional
        Returns the number of live entry instances, this one included.
    registry : aioprometheus.Registry, optional
        Registry of the metrics; a new one by default.
    tracer : Tracer, optional
    history : callable, optional
        Called with an `AttemptRecord` after each upstream call that may have sent data.
    on_owner_call : callable, optional
        Called with the owner, the key and the duration of each answered call to an owner.
    random_source : random.Random, optional

    Notes
    -----
    docs/design/requests.md states the guarantees under failure and the mechanisms behind them.
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
        claims: Table | None = None,
        *,
        entry_count: Callable[[], int] = lambda: 1,
        registry: Registry | None = None,
        tracer: Tracer | None = None,
        history: HistoryHook | None = None,
        on_owner_call: OwnerCallHook | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        self._reactor = reactor
        self._drain_waiters: list[Deferred[None]] = []
        self._context = RequestContext(
            reactor,
            clock,
            instance,
            matcher,
            ownership,
            targets,
            chooser,
            claims,
            entry_count,
            RequestMetrics(Registry() if registry is None else registry),
            trace.get_tracer("laburnumhatch.requests") if tracer is None else tracer,
            history,
            on_owner_call,
            random.Random() if random_source is None else random_source,
            self._check_drained,
        )
        self._factory = CallerFactory(reactor, lambda request: Exchange(self._context, request))

    @property
    def in_flight(self) -> int:
        """Number of requests without a final answer."""
        return len(self._context.exchanges)

    def factory(self) -> HTTPFactory:
        """Return the protocol factory of the port for callers."""
        return self._factory

    def stop_accepting(self) -> None:
        """Refuse new requests; requests in flight continue, and then their connections close."""
        self._context.is_stopping = True

    def when_drained(self) -> Deferred[None]:
        """Return a Deferred that fires once all answers have been sent.

        Must be called after `stop_accepting`. After the last request is answered, each caller's
        connection is closed as soon as its buffered output has been sent.
        """
        done: Deferred[None] = Deferred()
        self._drain_waiters.append(done)
        self._check_drained()
        return done

    def _check_drained(self) -> None:
        if self._drain_waiters and self._context.is_idle:
            waiting, self._drain_waiters = self._drain_waiters, []
            self._context.close()
            closed = self._factory.close_connections()
            closed.addCallback(_fire_all, waiting)


def _fire_all(result: None, waiting: list[Deferred[None]]) -> None:
    for done in waiting:
        done.callback(result)
