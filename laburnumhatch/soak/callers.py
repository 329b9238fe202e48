"""Simulated callers of a soak test, which reuse their connections."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..platform.headers import DEADLINE, KEY, REQUEST_ID, SEAL, find_header
from ..transport import CallFailed, HttpCaller, Reply
from .checks import FOUND, PromiseChecks
from .record import Call, Outcome

__all__ = ["KINDS", "Callers", "Kind", "Target"]

HOST = b"soak.example"
DEADLINE_MS = 2000
# A caller waits 200 ms longer than the deadline that it sends.
CALLER_TIMEOUT = milliseconds(DEADLINE_MS + 200)
SHORTEST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.25
PROBE_INTERVAL = milliseconds(120)
LAST_KEY = 65_535
# Share of the keyed requests that are for one of a few hot keys.
HOT_SHARE = 0.3
HOT_KEYS = 3

_log = logbook.Logger("laburnumhatch.soak")


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of request.

    Attributes
    ----------
    name : str
        Name, which is also the first segment of the path.
    is_keyed, is_repeatable : bool
    """

    name: str
    is_keyed: bool
    is_repeatable: bool


KINDS = (
    Kind("view", is_keyed=True, is_repeatable=True),
    Kind("reserve", is_keyed=True, is_repeatable=False),
    Kind("look", is_keyed=False, is_repeatable=True),
    Kind("confirm", is_keyed=False, is_repeatable=False),
)


@dataclass(frozen=True, slots=True)
class Target:
    """Address at which an instance accepts callers.

    Attributes
    ----------
    instance : str
    boot : str
        Identifier of this start of the instance's process.
    address : (str, int)
    """

    instance: str
    boot: str
    address: tuple[str, int]


class Callers:
    """Group of callers that each send one request at a time.

    Parameters
    ----------
    clock : Clock
    caller : HttpCaller
    checks : PromiseChecks
    random_source : random.Random
    targets : callable
        Returns the `Target` of each instance whose process is expected to run.
    version : callable
        Returns the newest version of the configuration.

    Attributes
    ----------
    served : dict of (str, str) to timedelta
        Time at which each instance last served each kind of request.
    answered : int
        Number of requests that were answered with status 200.
    """

    def __init__(
        self,
        clock: Clock,
        caller: HttpCaller,
        checks: PromiseChecks,
        random_source: random.Random,
        targets: Callable[[], list[Target]],
        version: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._caller = caller
        self._checks = checks
        self._random_source = random_source
        self._targets = targets
        self._version = version
        self._number = 0
        self._is_stopped = False
        self.served: dict[tuple[str, str], timedelta] = {}
        self.answered = 0

    def start(self, count: int) -> None:
        """Start a number of callers, and one more that probes the configuration version."""
        for number in range(count):
            self._begin(self._call_on(KINDS[number % len(KINDS)]))
        self._begin(self._probe_on())

    def stop(self) -> None:
        """Stop sending requests."""
        self._is_stopped = True

    def _begin(self, calling: Coroutine[Any, Any, None]) -> None:
        running: Deferred[None] = Deferred.fromCoroutine(calling)
        running.addErrback(
            lambda f: _log.error("a simulated caller raised an error: {}", f.getTraceback())
        )

    async def _pause(self, delay: timedelta) -> None:
        due: Deferred[None] = Deferred()
        self._clock.call_later(delay, due.callback, None)
        await due

    async def _call_on(self, kind: Kind) -> None:
        while not self._is_stopped:
            pause = self._random_source.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
            await self._pause(timedelta(seconds=pause))
            targets = self._targets()
            if targets:
                target = self._random_source.choice(targets)
                call = self._new_call(kind.name, f"/{kind.name}/", kind.is_repeatable, target)
                reply = await self._send(call, target, self._key() if kind.is_keyed else None)
                if reply is not None and reply.status == FOUND:
                    self.served[target.instance, kind.name] = self._clock.now()

    async def _probe_on(self) -> None:
        while not self._is_stopped:
            await self._pause(PROBE_INTERVAL)
            targets = self._targets()
            version = max(1, self._version() - self._random_source.randint(0, 1))
            if targets:
                target = self._random_source.choice(targets)
                call = self._new_call("probe", f"/probe-{version}/", True, target)
                reply = await self._send(call, target, None)
                if reply is not None:
                    self._checks.probed(call, version, reply.status)

    def _new_call(self, kind: str, prefix: str, is_repeatable: bool, target: Target) -> Call:
        self._number += 1
        request_id = f"{kind}-{self._number}"
        body = b"" if is_repeatable else f"body of {request_id}".encode()
        return Call(
            request_id,
            kind,
            f"{prefix}{self._number}",
            body,
            is_repeatable,
            target.instance,
            target.boot,
            self._clock.now(),
        )

    async def _send(self, call: Call, target: Target, key: int | None) -> Reply | None:
        fields = [
            (b"host", HOST),
            (REQUEST_ID, call.request_id.encode()),
            (DEADLINE, str(DEADLINE_MS).encode()),
        ]
        if key is not None:
            fields.append((KEY, str(key).encode()))
        method = b"GET" if call.is_repeatable else b"POST"
        self._checks.sent(call)
        host, port = target.address
        reply = await self._caller.call(
            host, port, method, call.path.encode(), call.body, CALLER_TIMEOUT, fields
        )
        now = self._clock.now()
        if isinstance(reply, CallFailed):
            self._checks.answered(call, Outcome(now, 0, False))
            return None
        self._checks.answered(call, Outcome(now, reply.status, _is_own(reply, call)))
        self.answered += reply.status == FOUND
        return reply

    def _key(self) -> int:
        if self._random_source.random() < HOT_SHARE:
            return self._random_source.randrange(HOT_KEYS) * 97
        return self._random_source.randint(0, LAST_KEY)


def _is_own(reply: Reply, call: Call) -> bool:
    request_id = call.request_id.encode()
    sealed = find_header(reply.fields, SEAL) == b"seal-" + request_id
    return sealed and reply.body.split(b" ")[-1] == request_id
