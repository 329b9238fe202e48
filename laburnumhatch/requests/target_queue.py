"""Queue of the requests of one instance for one target."""

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
    has_queue_room,
    next_kind,
)

__all__ = ["QueuedRequest", "TargetQueue"]

LATENCY_SMOOTHING_FACTOR = 0.1
MIN_RETRY_AFTER = timedelta(seconds=1)


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a target.

    Attributes
    ----------
    kind : RequestKind
    key : str or None
    deadline : timedelta
        Time by which the caller must have its answer.
    started : Deferred
        Fires with None once the request may start, or with a `Refusal` if it is refused.
    """

    kind: RequestKind
    key: str | None
    deadline: timedelta
    started: Deferred[Refusal | None] = field(default_factory=Deferred)


class TargetQueue:
    """Queue of the requests of one instance that run at or wait for one target.

    Parameters
    ----------
    now : callable
        Returns the current time of the instance's clock.
    waiting_by_kind : Counter
        Number of waiting requests of each kind at all targets of the service; shared by the
        queues of these targets.
    """

    def __init__(self, now: Callable[[], timedelta], waiting_by_kind: Counter[str]) -> None:
        self._now = now
        self._waiting_by_kind = waiting_by_kind
        self._backlogs: dict[str, KindBacklog] = {}
        self._queued_requests: dict[str, deque[QueuedRequest]] = {}
        self._waiting_by_key: Counter[str | None] = Counter()
        self._running_count = 0
        self._waiting_count = 0
        self._latency = timedelta()
        self._max_running = 1

    @property
    def running_count(self) -> int:
        """Number of requests that have started and not yet ended."""
        return self._running_count

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return self._waiting_count

    @property
    def latency(self) -> timedelta:
        """Smoothed duration of one upstream call."""
        return self._latency

    def submit(
        self, kind: RequestKind, key: str | None, deadline: timedelta, max_running: int
    ) -> QueuedRequest | Refusal | None:
        """Start, queue or refuse a request.

        Parameters
        ----------
        kind : RequestKind
        key : str or None
        deadline : timedelta
            Time by which the caller must have its answer.
        max_running : int
            Maximum number of requests that run concurrently.

        Returns
        -------
        QueuedRequest, Refusal or None
            None if the request has started, the `QueuedRequest` if it waits.
        """
        self._max_running = max_running
        if self._running_count < max_running and not self._waiting_count:
            # `decide_admission` would return START; skip the cost of building its arguments.
            self._running_count += 1
            return None
        backlog = self._backlog(kind)
        remaining = deadline - self._now()
        has_room = self._running_count < max_running or self._has_room(kind, key)
        decision = decide_admission(kind.name, self._backlogs, self._load(), remaining, has_room)
        if decision is Admission.START:
            self._running_count += 1
            return None
        if decision is not Admission.WAIT:
            return self._refuse(kind, decision)
        queued_request = QueuedRequest(kind, key, deadline)
        self._enqueue(backlog, queued_request)
        return queued_request

    def withdraw(self, queued_request: QueuedRequest) -> None:
        """Remove a waiting request from the queue."""
        self._queued_requests[queued_request.kind.name].remove(queued_request)
        self._count_removal(queued_request)

    def finish_request(self, latency: timedelta | None) -> None:
        """Record the end of a started request and start the next ones.

        Parameters
        ----------
        latency : timedelta or None
            Duration of the upstream call, or None if no data was sent.
        """
        self._running_count -= 1
        if latency is not None:
            self._update_latency(latency)
        while self._waiting_count and self._running_count < self._max_running:
            queued_request = self._next_queued_request()
            if queued_request is None:
                return
            if queued_request.deadline - self._now() < self._latency:
                queued_request.started.callback(
                    self._refuse(queued_request.kind, Admission.DEADLINE_UNREACHABLE)
                )
                continue
            self._running_count += 1
            queued_request.started.callback(None)

    def _next_queued_request(self) -> QueuedRequest | None:
        name = next_kind(self._backlogs)
        if name is None:
            return None
        queued_request = self._queued_requests[name].popleft()
        self._count_removal(queued_request)
        backlog = self._backlogs[name]
        backlog.virtual_time += 1 / backlog.weight
        return queued_request

    def _backlog(self, kind: RequestKind) -> KindBacklog:
        backlog = self._backlogs.get(kind.name)
        if backlog is None:
            backlog = self._backlogs[kind.name] = KindBacklog(kind.weight)
            self._queued_requests[kind.name] = deque()
        backlog.weight = kind.weight
        return backlog

    def _enqueue(self, backlog: KindBacklog, queued_request: QueuedRequest) -> None:
        if backlog.waiting_count == 0:
            # A kind without waiting requests must not accumulate credit for service.
            busy = [b.virtual_time for b in self._backlogs.values() if b.waiting_count > 0]
            backlog.virtual_time = max(backlog.virtual_time, min(busy, default=0.0))
        backlog.waiting_count += 1
        self._waiting_count += 1
        self._queued_requests[queued_request.kind.name].append(queued_request)
        self._waiting_by_kind[queued_request.kind.name] += 1
        self._waiting_by_key[queued_request.key] += 1

    def _count_removal(self, queued_request: QueuedRequest) -> None:
        self._backlogs[queued_request.kind.name].waiting_count -= 1
        self._waiting_count -= 1
        self._waiting_by_kind[queued_request.kind.name] -= 1
        self._waiting_by_key[queued_request.key] -= 1
        if not self._waiting_by_key[queued_request.key]:
            del self._waiting_by_key[queued_request.key]

    def _has_room(self, kind: RequestKind, key: str | None) -> bool:
        waiting = self._backlogs[kind.name].waiting_count
        if not has_queue_room(waiting, self._waiting_by_kind[kind.name], kind.queue_limit):
            return False
        if key is None:
            return True
        # Limits a hot key to half of the room that its target's queue has.
        others = self._waiting_by_kind[kind.name] - waiting
        return has_queue_room(
            self._waiting_by_key[key], self.waiting_count, (kind.queue_limit - others + 1) // 2
        )

    def _load(self) -> TargetLoad:
        return TargetLoad(self._running_count, self._max_running, self._latency)

    def _update_latency(self, latency: timedelta) -> None:
        if not self._latency:
            self._latency = latency
        else:
            self._latency += (latency - self._latency) * LATENCY_SMOOTHING_FACTOR

    def _refuse(self, kind: RequestKind, decision: Admission) -> Refusal:
        wait = expected_wait(kind.name, self._backlogs, self._load())
        retry_after = max(wait, MIN_RETRY_AFTER)
        if decision is Admission.QUEUE_FULL:
            detail = f"the queue for kind {kind.name} is full"
            return Refusal(ResultCode.QUEUE_FULL, detail, retry_after=retry_after)
        detail = f"about {wait.total_seconds():.3f} s of waiting are ahead of this request"
        return Refusal(ResultCode.DEADLINE_UNREACHABLE, detail, retry_after=retry_after)
