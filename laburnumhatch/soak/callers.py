"""Simulated callers of a soak test, which reuse their connections."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..platform.headers import ATTEMPT_ID, DEADLINE, KEY, SEAL, find_header
from ..transport import CallFailed, HttpCaller, Response
from .checks import OK, GuaranteeChecks
from .record import Call, Outcome

__all__ = ["KINDS", "Callers", "Endpoint", "Kind"]

HOST = b"soak.example"
DEADLINE_MS = 2000
# A caller waits 200 ms longer than the deadline that it sends.
CALLER_TIMEOUT = milliseconds(DEADLINE_MS + 200)
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.25
PROBE_INTERVAL = milliseconds(120)
LAST_KEY = 65_535
# Share of the keyed requests that are for one of a few hot keys.
HOT_KEY_SHARE = 0.3
HOT_KEY_COUNT = 3

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
class Endpoint:
    """Address at which an instance accepts callers.

    Attributes
    ----------
    instance : str
    incarnation : str
        Identifier of this start of the instance's process.
    address : (str, int)
    """

    instance: str
    incarnation: str
    address: tuple[str, int]


class Callers:
    """Group of callers that each send one request at a time.

    Parameters
    ----------
    clock : Clock
    caller : HttpCaller
    checks : GuaranteeChecks
    random_source : random.Random
    endpoints : callable
        Returns the `Endpoint` of each instance whose process is expected to run.
    newest_version : callable
        Returns the newest version of the configuration.

    Attributes
    ----------
    last_served_at : dict of (str, str) to timedelta
        Time at which each instance last served each kind of request.
    answered_count : int
        Number of requests that were answered with status 200.
    """

    def __init__(
        self,
        clock: Clock,
        caller: HttpCaller,
        checks: GuaranteeChecks,
        random_source: random.Random,
        endpoints: Callable[[], list[Endpoint]],
        newest_version: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._caller = caller
        self._checks = checks
        self._random_source = random_source
        self._endpoints = endpoints
        self._newest_version = newest_version
        self._sent_count = 0
        self._is_stopped = False
        self.last_served_at: dict[tuple[str, str], timedelta] = {}
        self.answered_count = 0

    def start(self, count: int) -> None:
        """Start a number of callers, and one more that probes the configuration version."""
        for number in range(count):
            self._spawn(self._run_caller(KINDS[number % len(KINDS)]))
        self._spawn(self._run_probe())

    def stop(self) -> None:
        """Stop sending requests."""
        self._is_stopped = True

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task: Deferred[None] = Deferred.fromCoroutine(coroutine)
        task.addErrback(
            lambda f: _log.error("a simulated caller raised an error: {}", f.getTraceback())
        )

    async def _sleep(self, delay: timedelta) -> None:
        due: Deferred[None] = Deferred()
        self._clock.call_later(delay, due.callback, None)
        await due

    async def _run_caller(self, kind: Kind) -> None:
        while not self._is_stopped:
            pause = self._random_source.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            await self._sleep(timedelta(seconds=pause))
            endpoints = self._endpoints()
            if endpoints:
                endpoint = self._random_source.choice(endpoints)
                call = self._new_call(kind.name, f"/{kind.name}/", kind.is_repeatable, endpoint)
                response = await self._send(
                    call, endpoint, self._draw_key() if kind.is_keyed else None
                )
                if response is not None and response.status == OK:
                    self.last_served_at[endpoint.instance, kind.name] = self._clock.now()

    async def _run_probe(self) -> None:
        while not self._is_stopped:
            await self._sleep(PROBE_INTERVAL)
            endpoints = self._endpoints()
            version = max(1, self._newest_version() - self._random_source.randint(0, 1))
            if endpoints:
                endpoint = self._random_source.choice(endpoints)
                call = self._new_call("probe", f"/probe-{version}/", True, endpoint)
                response = await self._send(call, endpoint, None)
                if response is not None:
                    self._checks.on_probe_answered(call, version, response.status)

    def send_crashing(self, path: str) -> None:
        """Send a request with a path that crashes the upstreams which run it."""
        endpoints = self._endpoints()
        if endpoints:
            endpoint = self._random_source.choice(endpoints)
            call = replace(self._new_call("crash", "", True, endpoint), path=path)
            self._spawn(self._send_and_ignore(call, endpoint))

    async def _send_and_ignore(self, call: Call, endpoint: Endpoint) -> None:
        await self._send(call, endpoint, None)

    def _new_call(self, kind: str, prefix: str, is_repeatable: bool, endpoint: Endpoint) -> Call:
        self._sent_count += 1
        request_id = f"{kind}-{self._sent_count}"
        body = b"" if is_repeatable else f"body of {request_id}".encode()
        return Call(
            request_id,
            kind,
            f"{prefix}{self._sent_count}",
            body,
            is_repeatable,
            endpoint.instance,
            endpoint.incarnation,
            self._clock.now(),
        )

    async def _send(self, call: Call, endpoint: Endpoint, key: int | None) -> Response | None:
        fields = [
            (b"host", HOST),
            (ATTEMPT_ID, call.request_id.encode()),
            (DEADLINE, str(DEADLINE_MS).encode()),
        ]
        if key is not None:
            fields.append((KEY, str(key).encode()))
        method = b"GET" if call.is_repeatable else b"POST"
        self._checks.on_request_sent(call)
        host, port = endpoint.address
        response = await self._caller.call(
            host, port, method, call.path.encode(), call.body, CALLER_TIMEOUT, fields
        )
        now = self._clock.now()
        if isinstance(response, CallFailed):
            self._checks.on_call_ended(call, Outcome(now, 0, False))
            return None
        self._checks.on_call_ended(call, Outcome(now, response.status, _belongs_to(response, call)))
        self.answered_count += response.status == OK
        return response

    def _draw_key(self) -> int:
        if self._random_source.random() < HOT_KEY_SHARE:
            return self._random_source.randrange(HOT_KEY_COUNT) * 97
        return self._random_source.randint(0, LAST_KEY)


def _belongs_to(response: Response, call: Call) -> bool:
    request_id = call.request_id.encode()
    has_valid_seal = find_header(response.fields, SEAL) == b"seal-" + request_id
    return has_valid_seal and response.body.split(b" ")[-1] == request_id
