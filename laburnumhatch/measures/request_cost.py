"""Processor time of a request through the entry daemon and through a bare proxy.

Both are measured in one run, in alternating turns.
"""

import re
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from ..clocks import Clock, ReactorClock, boot_seconds
from ..routing import RoutingFile
from ..standins.caller import Answer, Caller
from ..standins.deployment import Deployment, start_deployment
from ..standins.processes import ChildProcess, ProcessGroup
from .process_usage import processor_seconds

__all__ = ["RequestCost", "measure_request_cost"]

HOST = "127.0.0.1"
KEYLESS_SERVICE = "ceremony-media-archive"
KEYED_SERVICE = "loft-availability"
CALLER_COUNT = 8
KEY_COUNT = 200
WARM_UP_REQUESTS = 500
IDLE_SECONDS = 5.0
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class RequestCost:
    """Processor time of a request through one process.

    Attributes
    ----------
    name : str
    requests : int
    failures : int
    microseconds : tuple of float
        Processor time of a request in each turn.
    requests_per_second : float
        Rate during the turns. The callers and the stand-ins run on the same machine.
    idle_share : float
        Share of a core that the process used without requests, before the first turn.
    """

    name: str
    requests: int
    failures: int
    microseconds: tuple[float, ...]
    requests_per_second: float
    idle_share: float

    @property
    def median_microseconds(self) -> float:
        """Median over the turns, in microseconds."""
        return sorted(self.microseconds)[len(self.microseconds) // 2]

    @property
    def microseconds_without_control(self) -> float:
        """Median in microseconds, without the share that the process uses when idle."""
        return self.median_microseconds - self.idle_share / self.requests_per_second * 1e6


@dataclass(frozen=True, slots=True)
class _Subject:
    """A measured process and the path of the requests that are sent to it."""

    name: str
    child: ChildProcess
    base_url: str
    path: str


async def measure_request_cost(
    reactor: Any, example: Path, requests: int, turns: int
) -> list[RequestCost]:
    """Return the cost of a request through a bare proxy and through an entry instance.

    Parameters
    ----------
    reactor
        A Twisted reactor.
    example : Path
        Directory of the example deployment, which has the size of Duefjaer's.
    requests : int
        Number of requests in a turn.
    turns : int
        Number of turns of each measured process; the processes alternate.
    """
    clock = ReactorClock(reactor, boot_seconds)
    caller = Caller(reactor, clock)
    with tempfile.TemporaryDirectory() as directory:
        with ProcessGroup(clock, Path(directory)) as processes:
            deployment = await start_deployment(
                processes,
                caller,
                example,
                ("entry-1",),
                services=frozenset((KEYLESS_SERVICE, KEYED_SERVICE)),
                work_ms=0.0,
            )
            await deployment.publish()
            await deployment.wait_until_entries_ready()
            subjects = await _start_subjects(deployment)
            costs = await _measure_in_turns(reactor, clock, caller, subjects, requests, turns)
        await caller.close()
    return costs


async def _start_subjects(deployment: Deployment) -> list[_Subject]:
    keyless, keyed = deployment.services[KEYLESS_SERVICE], deployment.services[KEYED_SERVICE]
    entry = deployment.entries["entry-1"]
    base_url = deployment.entry_url("entry-1")
    target = keyless.targets.servers[0]
    proxy = deployment.processes.launch(
        "proxy", "bench", "proxy", f"http://{target.host}:{target.port}"
    )
    ports = await deployment.processes.wait_until_listening(proxy)
    return [
        _Subject("bare proxy", proxy, f"http://{HOST}:{ports['http']}", _get_path(keyless)),
        _Subject("entry, no key", entry, base_url, _get_path(keyless)),
        _Subject("entry, owned key", entry, base_url, _get_path(keyed)),
    ]


def _get_path(file: RoutingFile) -> str:
    return next(kind.path for kind in file.kinds.values() if kind.method == "GET")


async def _measure_in_turns(
    reactor: Any,
    clock: Clock,
    caller: Caller,
    subjects: Sequence[_Subject],
    requests: int,
    turns: int,
) -> list[RequestCost]:
    idle = await _measure_idle_shares(reactor, subjects)
    samples: dict[str, list[tuple[float, float, int]]] = {subject.name: [] for subject in subjects}
    for subject in subjects:
        await _send_all(caller, subject, WARM_UP_REQUESTS)
    for _ in range(turns):
        for subject in subjects:
            started, before = clock.now(), processor_seconds(subject.child)
            failures = await _send_all(caller, subject, requests)
            used = processor_seconds(subject.child) - before
            samples[subject.name].append((used, (clock.now() - started).total_seconds(), failures))
    return [
        RequestCost(
            name=name,
            requests=requests * turns,
            failures=sum(failures for _, _, failures in rows),
            microseconds=tuple(used / requests * 1e6 for used, _, _ in rows),
            requests_per_second=requests * turns / sum(seconds for _, seconds, _ in rows),
            idle_share=idle[name],
        )
        for name, rows in samples.items()
    ]


async def _measure_idle_shares(reactor: Any, subjects: Sequence[_Subject]) -> dict[str, float]:
    before = {subject.name: processor_seconds(subject.child) for subject in subjects}
    due: Deferred[None] = Deferred()
    reactor.callLater(IDLE_SECONDS, due.callback, None)
    await due
    return {
        subject.name: (processor_seconds(subject.child) - before[subject.name]) / IDLE_SECONDS
        for subject in subjects
    }


async def _send_all(caller: Caller, subject: _Subject, count: int) -> int:
    """Send requests from concurrent callers; return how many were not answered with status 200."""
    numbers = iter(range(count))
    failures = 0

    async def send_some() -> None:
        nonlocal failures
        for number in numbers:
            path = re.sub(r"\{[^}]*\}", str(number % KEY_COUNT), subject.path)
            answer = await caller.send("GET", subject.base_url + path)
            failures += not isinstance(answer, Answer) or answer.status != HTTP_OK

    await gatherResults([Deferred.fromCoroutine(send_some()) for _ in range(CALLER_COUNT)])
    return failures
