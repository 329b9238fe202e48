"""The queue of one target in one instance."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from twisted.internet.defer import Deferred

from ..results import Refusal, ResultCode
from ..routing import RequestKind
from .admission import (
    Admission,
    KindBacklog,
    TargetLoad,
    decide_admission,
    expected_wait,
    next_kind,
    room_in_queue,
)

__all__ = ["TargetQueue", "Waiter"]

LATENCY_SMOOTHING = 0.1
SHORTEST_RETRY_AFTER = timedelta(seconds=1)


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a target.

    Attributes
    ----------
    kind : RequestKind
    key : str or None
    deadline : timedelta
        Instant by which the caller must have its answer.
    started : Deferred
        Fires with None once the request may start, or with a `Refusal`.
    """

    kind: RequestKind
    key: str | None
    deadline: timedelta
    started: Deferred[Refusal | None] = field(default_factory=Deferred)


class TargetQueue:
    """Requests of one instance that run at, or wait for, one target.

    Parameters
    ----------
    now : callable
        Returns the instant of the instance's clock.
    kind_totals : Counter
        Waiting requests of each kind at all targets of the service, shared by their queues.
    """

    def __init__(self, now: Callable[[], timedelta], kind_totals: Counter[str]) -> None:
        self._now = now
        self._kind_totals = kind_totals
        self._backlogs: dict[str, KindBacklog] = {}
        self._waiters: dict[str, deque[Waiter]] = {}
        self._keys: Counter[str | None] = Counter()
        self._running = 0
        self._waiting = 0
        self._latency = timedelta()
        self._limit = 1

    @property
    def running(self) -> int:
        """Number of requests that have started and not ended."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return self._waiting

    @property
    def latency(self) -> timedelta:
        """Smoothed time of one upstream call."""
        return self._latency

    def enter(
        self, kind: RequestKind, key: str | None, deadline: timedelta, limit: int
    ) -> Waiter | Refusal | None:
        """Start a request, let it wait, or refuse it.

        Parameters
        ----------
        kind : RequestKind
        key : str or None
        deadline : timedelta
            Instant by which the caller must have its answer.
        limit : int
            Most requests that run at a time.

        Returns
        -------
        Waiter, Refusal or None
            None where the request has started.
        """
        self._limit = limit
        if self._running < limit and not self._waiting:
            # As `decide_admission` would, without the cost of its arguments.
            self._running += 1
            return None
        backlog = self._backlog(kind)
        remaining = deadline - self._now()
        has_room = self._running < limit or self._has_room(kind, key)
        decision = decide_admission(kind.name, self._backlogs, self._load(), remaining, has_room)
        if decision is Admission.START:
            self._running += 1
            return None
        if decision is not Admission.WAIT:
            return self._refuse(kind, decision)
        waiter = Waiter(kind, key, deadline)
        self._enqueue(backlog, waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Take a request that still waits out of the queue."""
        self._waiters[waiter.kind.name].remove(waiter)
        self._forget(waiter)

    def ended(self, latency: timedelta | None) -> None:
        """Note the end of a request that had started, and start the next.

        Parameters
        ----------
        latency : timedelta or None
            Time of the upstream call; None where no byte of it went out.
        """
        self._running -= 1
        if latency is not None:
            self._note_latency(latency)
        while self._waiting and self._running < self._limit:
            waiter = self._next_waiter()
            if waiter is None:
                return
            if waiter.deadline - self._now() < self._latency:
                waiter.started.callback(self._refuse(waiter.kind, Admission.DEADLINE_UNREACHABLE))
                continue
            self._running += 1
            waiter.started.callback(None)

    def _next_waiter(self) -> Waiter | None:
        name = next_kind(self._backlogs)
        if name is None:
            return None
        waiter = self._waiters[name].popleft()
        self._forget(waiter)
        backlog = self._backlogs[name]
        backlog.served += 1 / backlog.weight
        return waiter

    def _backlog(self, kind: RequestKind) -> KindBacklog:
        backlog = self._backlogs.get(kind.name)
        if backlog is None:
            backlog = self._backlogs[kind.name] = KindBacklog(kind.weight)
            self._waiters[kind.name] = deque()
        backlog.weight = kind.weight
        return backlog

    def _enqueue(self, backlog: KindBacklog, waiter: Waiter) -> None:
        if backlog.waiting == 0:
            # A kind that had nothing waiting can't have saved up service.
            busy = [b.served for b in self._backlogs.values() if b.waiting > 0]
            backlog.served = max(backlog.served, min(busy, default=0.0))
        backlog.waiting += 1
        self._waiting += 1
        self._waiters[waiter.kind.name].append(waiter)
        self._kind_totals[waiter.kind.name] += 1
        self._keys[waiter.key] += 1

    def _forget(self, waiter: Waiter) -> None:
        self._backlogs[waiter.kind.name].waiting -= 1
        self._waiting -= 1
        self._kind_totals[waiter.kind.name] -= 1
        self._keys[waiter.key] -= 1
        if not self._keys[waiter.key]:
            del self._keys[waiter.key]

    def _has_room(self, kind: RequestKind, key: str | None) -> bool:
        waiting = self._backlogs[kind.name].waiting
        if not room_in_queue(waiting, self._kind_totals[kind.name], kind.queue_limit):
            return False
        if key is None:
            return True
        # One hot key takes at most half of what its target's queue may take.
        others = self._kind_totals[kind.name] - waiting
        return room_in_queue(self._keys[key], self.waiting, (kind.queue_limit - others + 1) // 2)

    def _load(self) -> TargetLoad:
        return TargetLoad(self._running, self._limit, self._latency)

    def _note_latency(self, latency: timedelta) -> None:
        if not self._latency:
            self._latency = latency
        else:
            self._latency += (latency - self._latency) * LATENCY_SMOOTHING

    def _refuse(self, kind: RequestKind, decision: Admission) -> Refusal:
        wait = expected_wait(kind.name, self._backlogs, self._load())
        retry_after = max(wait, SHORTEST_RETRY_AFTER)
        if decision is Admission.QUEUE_FULL:
            detail = f"the queue for kind {kind.name} is full"
            return Refusal(ResultCode.QUEUE_FULL, detail, retry_after=retry_after)
        detail = f"about {wait.total_seconds():.3f} s of waiting are ahead of this request"
        return Refusal(ResultCode.DEADLINE_UNREACHABLE, detail, retry_after=retry_after)
