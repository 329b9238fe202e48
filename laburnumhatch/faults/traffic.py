"""Simulated callers behind a load balancer, and the record of their calls."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from ..clocks import Clock, milliseconds
from ..results import PROBLEM_CONTENT_TYPE, Run
from ..standins.caller import Answer, Caller, NoAnswer

__all__ = ["Balancer", "Call", "CallPlan", "Traffic", "longest_gap"]

PAUSE_BETWEEN_CALLS = milliseconds(25)
READINESS_INTERVAL = milliseconds(500)
# Slightly longer than the deadline of a request, which is 1 s in the example.
CALLER_TIMEOUT = milliseconds(1500)
OK = 200
REFUSED = "ConnectionRefusedError"


@dataclass(frozen=True, slots=True)
class CallPlan:
    """Sequence of calls of one kind for one key.

    Attributes
    ----------
    service, kind, key, method : str
    path : str
        Path prefix; each call appends a unique number.
    repeatable : bool
        Whether a call may run more than once.
    claimed : bool
        Whether the calls carry an idempotency key.
    """

    service: str
    kind: str
    key: str
    method: str
    path: str
    repeatable: bool
    claimed: bool = False


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
    sent, done : timedelta
        Times of the request and of its result, on the clock of the machine.
    status : int
        HTTP status, or 0 without a complete response.
    code : int or None
        Result code of a refusal.
    run : Run or None
        Whether the request ran, according to the refusal.
    detail : str
        Detail text of the refusal, or the reason for the missing response.
    own_answer : bool
        Whether the call has a response with status 200 that echoes its own path and method.
    """

    plan: CallPlan
    path: str
    entry: str
    sent: timedelta
    done: timedelta
    status: int
    code: int | None
    run: Run | None
    detail: str
    own_answer: bool

    @property
    def answered(self) -> bool:
        """Whether the call received its own complete response."""
        return self.status == OK and self.own_answer


class Balancer:
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
        self._turn = 0
        self._running = False
        self._checking: set[str] = set()

    def start(self) -> None:
        """Start polling the readiness of the instances."""
        self._running = True
        self._check_all()

    def stop(self) -> None:
        """Stop polling."""
        self._running = False

    def next_entry(self) -> tuple[str, str] | None:
        """Return the name and URL of the next ready instance, or None if there is none."""
        if not self._ready:
            return None
        self._turn += 1
        name = self._ready[self._turn % len(self._ready)]
        return name, self._addresses()[name][0]

    def note_refused(self, name: str) -> None:
        """Mark an instance that refused a connection as unready."""
        self._set(name, False)

    def _check_all(self) -> None:
        if not self._running:
            return
        for name, (_, admin) in self._addresses().items():
            if name not in self._checking:
                self._checking.add(name)
                Deferred.fromCoroutine(self._check(name, admin))
        self._clock.call_later(READINESS_INTERVAL, self._check_all)

    async def _check(self, name: str, admin: str) -> None:
        answer = await self._caller.send("GET", f"{admin}/readyz", timeout=READINESS_INTERVAL)
        self._checking.discard(name)
        self._set(name, isinstance(answer, Answer) and answer.status == OK)

    def _set(self, name: str, ready: bool) -> None:
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
    balancer : Balancer
    calls : list of Call
        Finished calls, in the order of their end.
    """

    clock: Clock
    caller: Caller
    balancer: Balancer
    calls: list[Call] = field(default_factory=list)
    _running: bool = False
    _loops: list[Deferred[None]] = field(default_factory=list)
    _number: int = 0

    def start(self, plans: list[CallPlan]) -> None:
        """Start one caller for each plan."""
        self._running = True
        for plan in plans:
            self._loops.append(Deferred.fromCoroutine(self._send_all(plan)))

    async def stop(self) -> None:
        """Stop the callers and wait for the calls in flight."""
        self._running = False
        await gatherResults(self._loops, consumeErrors=True)
        self._loops = []

    async def _send_all(self, plan: CallPlan) -> None:
        while self._running:
            entry = self.balancer.next_entry()
            if entry is not None:
                await self._send(plan, *entry)
            pause: Deferred[None] = Deferred()
            self.clock.call_later(PAUSE_BETWEEN_CALLS, pause.callback, None)
            await pause

    async def _send(self, plan: CallPlan, entry: str, url: str) -> None:
        self._number += 1
        path = f"{plan.path}/{self._number}"
        headers = {"Idempotency-Key": f'"{path}"'} if plan.claimed else {}
        sent = self.clock.now()
        answer = await self.caller.send(
            plan.method, f"{url}{path}", headers, timeout=CALLER_TIMEOUT
        )
        if isinstance(answer, NoAnswer) and REFUSED in answer.reason:
            self.balancer.note_refused(entry)
            return
        self.calls.append(_call(plan, path, entry, sent, self.clock.now(), answer))


def longest_gap(calls: list[Call], start: timedelta, end: timedelta) -> tuple[timedelta, str]:
    """Return the longest time that any plan went without a response, and the name of the plan.

    Parameters
    ----------
    calls : list of Call
    start, end : timedelta
        Period to consider. The gap of a plan without any response is the whole period.
    """
    answers: dict[CallPlan, list[timedelta]] = {call.plan: [start] for call in calls}
    for call in sorted(calls, key=lambda call: call.done):
        if call.answered and start <= call.done <= end:
            answers[call.plan].append(call.done)
    gaps = [
        (later - earlier, f"{plan.service}/{plan.kind}/{plan.key}")
        for plan, instants in answers.items()
        for earlier, later in zip(instants, [*instants[1:], end], strict=True)
    ]
    return max(gaps, default=(timedelta(), ""))


def _call(
    plan: CallPlan,
    path: str,
    entry: str,
    sent: timedelta,
    done: timedelta,
    answer: Answer | NoAnswer,
) -> Call:
    if isinstance(answer, NoAnswer):
        return Call(plan, path, entry, sent, done, 0, None, None, answer.reason, False)
    document = _document(answer)
    if answer.headers.get("content-type") == PROBLEM_CONTENT_TYPE:
        code = document["code"]
        run = Run(document["run"])
        return Call(
            plan, path, entry, sent, done, answer.status, code, run, document["detail"], False
        )
    own = document.get("path") == path and document.get("method") == plan.method
    return Call(plan, path, entry, sent, done, answer.status, None, None, "", own)


def _document(answer: Answer) -> dict[str, Any]:
    try:
        document = json.loads(answer.body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
