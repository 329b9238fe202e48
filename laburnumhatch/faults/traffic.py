"""Simulated callers behind a load balancer, and the record of their calls."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from ..clocks import Clock, milliseconds
from ..results import PROBLEM_CONTENT_TYPE, RunStatus
from ..standins.caller import Answer, Caller, RequestFailure

__all__ = ["Call", "CallPlan", "LoadBalancer", "Traffic", "longest_gap"]

PAUSE_BETWEEN_CALLS = milliseconds(25)
READINESS_INTERVAL = milliseconds(500)
# Slightly longer than the deadline of a request, which is 1 s in the example.
CALLER_TIMEOUT = milliseconds(1500)
OK = 200
CONNECTION_REFUSED = "ConnectionRefusedError"


@dataclass(frozen=True, slots=True)
class CallPlan:
    """Sequence of calls of one kind for one key.

    Attributes
    ----------
    service, kind, key, method : str
    path : str
        Path prefix; each call appends a unique number.
    is_repeatable : bool
        Whether a call may run more than once.
    has_idempotency_key : bool
        Whether the calls carry an idempotency key.
    """

    service: str
    kind: str
    key: str
    method: str
    path: str
    is_repeatable: bool
    has_idempotency_key: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """Call and its result.

    Attributes
    ----------
    plan : CallPlan
    path : str
        Unique path of the call.
    entry : str
        Name of the entry instance to which the call was sent.
    sent_at, done_at : timedelta
        Times of the request and of its result, on the clock of the machine.
    status : int
        HTTP status, or 0 without a complete response.
    code : int or None
        Result code of a refusal.
    run : RunStatus or None
        Whether the request ran, according to the refusal.
    detail : str
        Detail text of the refusal, or the reason for the missing response.
    is_own_answer : bool
        Whether the call has a response with status 200 that echoes its own path and method.
    """

    plan: CallPlan
    path: str
    entry: str
    sent_at: timedelta
    done_at: timedelta
    status: int
    code: int | None
    run: RunStatus | None
    detail: str
    is_own_answer: bool

    @property
    def is_answered(self) -> bool:
        """Whether the call received its own complete response."""
        return self.status == OK and self.is_own_answer


class LoadBalancer:
    """Round-robin load balancer over the ready entry instances, like that of the platform.

    Parameters
    ----------
    clock : Clock
    caller : Caller
    addresses : callable
        Returns the URLs of the callers' port and the admin port of each entry instance, by name.
    """

    def __init__(
        self, clock: Clock, caller: Caller, addresses: Callable[[], dict[str, tuple[str, str]]]
    ) -> None:
        self._clock = clock
        self._caller = caller
        self._addresses = addresses
        self._ready: list[str] = []
        self._selection_count = 0
        self._is_running = False
        self._pending_checks: set[str] = set()

    def start(self) -> None:
        """Start polling the readiness of the instances."""
        self._is_running = True
        self._check_all()

    def stop(self) -> None:
        """Stop polling."""
        self._is_running = False

    def next_entry(self) -> tuple[str, str] | None:
        """Return the name and URL of the next ready instance, or None if there is none."""
        if not self._ready:
            return None
        self._selection_count += 1
        name = self._ready[self._selection_count % len(self._ready)]
        return name, self._addresses()[name][0]

    def mark_unready(self, name: str) -> None:
        """Mark an instance that refused a connection as unready."""
        self._set_ready(name, False)

    def _check_all(self) -> None:
        if not self._is_running:
            return
        for name, (_, admin) in self._addresses().items():
            if name not in self._pending_checks:
                self._pending_checks.add(name)
                Deferred.fromCoroutine(self._check(name, admin))
        self._clock.call_later(READINESS_INTERVAL, self._check_all)

    async def _check(self, name: str, admin: str) -> None:
        answer = await self._caller.send("GET", f"{admin}/readyz", timeout=READINESS_INTERVAL)
        self._pending_checks.discard(name)
        self._set_ready(name, isinstance(answer, Answer) and answer.status == OK)

    def _set_ready(self, name: str, ready: bool) -> None:
        if ready and name not in self._ready:
            self._ready.append(name)
        if not ready and name in self._ready:
            self._ready.remove(name)


@dataclass
class Traffic:
    """Callers that send the calls of their plans until they are stopped.

    Attributes
    ----------
    clock : Clock
    caller : Caller
    balancer : LoadBalancer
    calls : list of Call
        Finished calls, in the order of their end.
    """

    clock: Clock
    caller: Caller
    balancer: LoadBalancer
    calls: list[Call] = field(default_factory=list)
    _is_running: bool = False
    _caller_loops: list[Deferred[None]] = field(default_factory=list)
    _call_count: int = 0

    def start(self, plans: list[CallPlan]) -> None:
        """Start one caller for each plan."""
        self._is_running = True
        for plan in plans:
            self._caller_loops.append(Deferred.fromCoroutine(self._send_all(plan)))

    async def stop(self) -> None:
        """Stop the callers and wait for the calls in flight."""
        self._is_running = False
        await gatherResults(self._caller_loops, consumeErrors=True)
        self._caller_loops = []

    async def _send_all(self, plan: CallPlan) -> None:
        while self._is_running:
            entry = self.balancer.next_entry()
            if entry is not None:
                await self._send(plan, *entry)
            pause: Deferred[None] = Deferred()
            self.clock.call_later(PAUSE_BETWEEN_CALLS, pause.callback, None)
            await pause

    async def _send(self, plan: CallPlan, entry: str, url: str) -> None:
        self._call_count += 1
        path = f"{plan.path}/{self._call_count}"
        headers = {"Idempotency-Key": f'"{path}"'} if plan.has_idempotency_key else {}
        sent_at = self.clock.now()
        answer = await self.caller.send(
            plan.method, f"{url}{path}", headers, timeout=CALLER_TIMEOUT
        )
        if isinstance(answer, RequestFailure) and CONNECTION_REFUSED in answer.reason:
            self.balancer.mark_unready(entry)
            return
        self.calls.append(_build_call(plan, path, entry, sent_at, self.clock.now(), answer))


def longest_gap(calls: list[Call], start: timedelta, end: timedelta) -> tuple[timedelta, str]:
    """Return the longest time that any plan went without a response, and the name of the plan.

    Parameters
    ----------
    calls : list of Call
    start, end : timedelta
        Period to consider. The gap of a plan without any response is the whole period.
    """
    answers: dict[CallPlan, list[timedelta]] = {call.plan: [start] for call in calls}
    for call in sorted(calls, key=lambda call: call.done_at):
        if call.is_answered and start <= call.done_at <= end:
            answers[call.plan].append(call.done_at)
    gaps = [
        (later - earlier, f"{plan.service}/{plan.kind}/{plan.key}")
        for plan, instants in answers.items()
        for earlier, later in zip(instants, [*instants[1:], end], strict=True)
    ]
    return max(gaps, default=(timedelta(), ""))


def _build_call(
    plan: CallPlan,
    path: str,
    entry: str,
    sent_at: timedelta,
    done_at: timedelta,
    answer: Answer | RequestFailure,
) -> Call:
    if isinstance(answer, RequestFailure):
        return Call(plan, path, entry, sent_at, done_at, 0, None, None, answer.reason, False)
    document = _parse_document(answer)
    if answer.headers.get("content-type") == PROBLEM_CONTENT_TYPE:
        code = document["code"]
        run = RunStatus(document["run"])
        return Call(
            plan, path, entry, sent_at, done_at, answer.status, code, run, document["detail"], False
        )
    own = document.get("path") == path and document.get("method") == plan.method
    return Call(plan, path, entry, sent_at, done_at, answer.status, None, None, "", own)


def _parse_document(answer: Answer) -> dict[str, Any]:
    try:
        document = json.loads(answer.body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
