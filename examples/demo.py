"""Demonstrates failover: starts an example deployment, sends requests and kills processes.

Run it with ``make demo``, or with ``python examples/demo.py caroni``. All processes listen on free
ports of 127.0.0.1 and are stopped at the end. The demo prints which requests were answered, by
which servers, and how long recovery took.
"""

import json
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Any

from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.python.failure import Failure

from laburnumhatch.clocks import ReactorClock, boot_seconds, to_milliseconds
from laburnumhatch.routing import RoutingFile
from laburnumhatch.standins.caller import Answer, Caller
from laburnumhatch.standins.deployment import Deployment, start_deployment
from laburnumhatch.standins.processes import ProcessGroup, wait_until

EXAMPLES = Path(__file__).parent
OWNED_SERVICES = {"duefjaer": "loft-availability", "caroni": "timber-yard-stock-ledger"}
ENTRIES = tuple(f"entry-{n}" for n in range(1, 9))
KEY_COUNT = 40
ROUND_COUNT = 6
CALLER_COUNT = 16
STREAMED_ANSWER_BYTES = 2_000_000
RECOVERY_TIMEOUT = timedelta(seconds=15)
SEED = 7

Reporter = Callable[[str], None]


@dataclass
class Figures:
    """Counts of requests and responses, and the latencies of the answers."""

    sent: Counter[str] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    answers_by_server: Counter[str] = field(default_factory=Counter)
    mismatches: list[str] = field(default_factory=list)
    latencies_ms: list[int] = field(default_factory=list)

    def latency_ms(self, share: float) -> int:
        """Return the latency that a `share` of the answers do not exceed."""
        ordered = sorted(self.latencies_ms) or [0]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(frozen=True)
class Request:
    """One request of a kind for a key."""

    service: str
    kind: str
    method: str
    path: str
    headers: dict[str, str]
    streamed: bool


def build_requests(files: dict[str, RoutingFile], rounds: int, seed: int) -> list[Request]:
    """Return requests of every kind of every service, in random order."""
    requests = []
    for file in files.values():
        for name, kind in file.kinds.items():
            for n in range(rounds * 4):
                requests.append(_make_request(file.service, name, kind, n, f"{name}-{n}-{seed}"))
    random.Random(seed).shuffle(requests)
    return requests


def _make_request(service: str, name: str, kind: Any, n: int, request_tag: str) -> Request:
    path = "/".join(
        f"key-{n % KEY_COUNT}" if s.startswith("{") else s for s in kind.path.split("/")
    )
    streamed = kind.method == "GET" and path.endswith("film")
    streamed = streamed or (kind.method == "GET" and path.startswith("/drawings/"))
    query = f"?tag={request_tag}" + (f"&answer_bytes={STREAMED_ANSWER_BYTES}" if streamed else "")
    headers = {} if kind.repeatable else {"Idempotency-Key": f'"{service}-{request_tag}"'}
    return Request(service, name, kind.method, path + query, headers, streamed)


class Demo:
    """Sends requests to one deployment, kills processes and collects figures."""

    def __init__(self, deployment: Deployment, report: Reporter) -> None:
        self.deployment = deployment
        self.figures = Figures()
        self.failures: list[str] = []
        self._report = report
        self._clock = deployment.processes.clock

    async def send_all(self, requests: list[Request], entries: list[str]) -> None:
        """Distribute requests over all entries, with a limited number in flight."""
        pending = [(r, entries[n % len(entries)]) for n, r in enumerate(requests)]

        async def send_some() -> None:
            while pending:
                await self.send(*pending.pop())

        await gatherResults([Deferred.fromCoroutine(send_some()) for _ in range(CALLER_COUNT)])

    async def send(self, request: Request, entry: str) -> bool:
        """Send one request; return whether it was answered."""
        figures = self.figures
        name = f"{request.service} {request.kind}"
        figures.sent[name] += 1
        started = self._clock.now()
        url = self.deployment.entry_url(entry) + request.path
        answer = await self.deployment.caller.send(request.method, url, request.headers)
        if not isinstance(answer, Answer):
            figures.refused[answer.reason.partition(":")[0]] += 1
            return False
        if answer.status != 200:
            figures.refused[_refusal_text(answer)] += 1
            return False
        figures.answered[name] += 1
        figures.latencies_ms.append(to_milliseconds(self._clock.now() - started))
        echo = json.loads(answer.headers["echo"]) if request.streamed else answer.document
        figures.answers_by_server[f"{request.service} {echo['server']}"] += 1
        if f"{echo['path']}?{echo['query']}" != request.path:
            figures.mismatches.append(f"{request.path} got the answer to {echo['path']}")
        return True

    async def kill_server(self, service: str) -> None:
        """Kill the server that owns a key, and wait until the key is served again."""
        key = "key-0"
        explained = await self._explain(service, key)
        owner = explained["owner"]
        self._report(f"killing {owner}, which owns {service} {key} (epoch {explained['epoch']})")
        self.deployment.targets[service, owner].kill()
        recovery_time = await self._measure_recovery([self._make_read_request(service, key)])
        if recovery_time is not None:
            explained = await self._explain(service, key)
            self._report(
                f"served again after {recovery_time.total_seconds():.2f} s by {explained['owner']}"
                f" (epoch {explained['epoch']})"
            )

    async def kill_entry(self, service: str) -> None:
        """Kill the entry instance that coordinates a service, and wait for the others to serve."""
        explained = await self._explain(service, "key-0")
        victim = explained["coordinator"].partition("/")[0]
        self._report(f"killing {victim}, which coordinates {service}")
        self.deployment.entries[victim].kill()
        await self.deployment.list_entries()
        recovery_time = await self._measure_recovery(
            [self._make_read_request(service, f"key-{n}") for n in range(KEY_COUNT)]
        )
        if recovery_time is not None:
            self._report(
                f"all {KEY_COUNT} keys answered by the others after"
                f" {recovery_time.total_seconds():.2f} s"
            )

    async def _measure_recovery(self, requests: list[Request]) -> timedelta | None:
        """Repeat each request until it is answered; return the duration, None after a timeout."""
        entries = self._live_entries()
        started = self._clock.now()
        for n, request in enumerate(requests):
            entry = entries[n % len(entries)]
            send = partial(self.send, request, entry)
            try:
                await wait_until(self._clock, send, RECOVERY_TIMEOUT, request.path)
            except TimeoutError as e:
                self.failures.append(f"not served again: {e}")
                self._report(self.failures[-1])
                return None
        return self._clock.now() - started

    def show_figures(self) -> None:
        """Print the requests by kind, the answers by server, the refusals and the latencies."""
        figures = self.figures
        self._report("\nsent and answered, by kind")
        for name, sent in sorted(figures.sent.items()):
            self._report(f"  {name:48} {sent:5} sent {figures.answered[name]:5} answered")
        self._report("who answered")
        for service in sorted(self.deployment.services):
            counts = {
                n: c for n, c in figures.answers_by_server.items() if n.startswith(f"{service} ")
            }
            texts = [
                f"{n.partition(' ')[2]} {c}" for n, c in sorted(counts.items(), key=_negative_count)
            ]
            self._report(f"  {service}: {', '.join(texts)}")
        self._report("not answered")
        for reason, count in figures.refused.most_common():
            self._report(f"  {count:5} {reason}")
        self._report(
            f"{sum(figures.sent.values())} sent, {sum(figures.answered.values())} answered,"
            f" {len(figures.mismatches)} with another request's answer;"
            f" latency p50 {figures.latency_ms(0.5)} ms, p99 {figures.latency_ms(0.99)} ms"
        )

    def _live_entries(self) -> list[str]:
        entries = self.deployment.entries.items()
        return [name for name, child in entries if child.exit_code is None]

    def _make_read_request(self, service: str, key: str) -> Request:
        file = self.deployment.services[service]
        name, kind = next((n, k) for n, k in file.kinds.items() if k.method == "GET")
        path = "/".join(key if s.startswith("{") else s for s in kind.path.split("/"))
        return Request(service, name, kind.method, f"{path}?tag=again", {}, False)

    async def _explain(self, service: str, key: str) -> Any:
        entry = self._live_entries()[0]
        page = f"{self.deployment.admin_url(entry)}/explain?service={service}&key={key}"

        async def owned() -> Any:
            explained = await self.deployment.fetch_json(page)
            return explained if explained and explained["owner"] else None

        return await wait_until(self._clock, owned, RECOVERY_TIMEOUT, f"owner of {key}")


def _refusal_text(answer: Answer) -> str:
    if "problem+json" not in answer.headers.get("content-type", ""):
        return f"status {answer.status}"
    problem = answer.document
    return f"{problem['code']} {problem['title']} (run: {problem['run']})"


def _negative_count(item: tuple[str, int]) -> int:
    return -item[1]


async def run_demo(example: str, directory: Path, report: Reporter) -> bool:
    """Run the demo; return whether all answers matched and every key was served again."""
    clock = ReactorClock(_reactor, boot_seconds)  # type: ignore[arg-type]
    service = OWNED_SERVICES[example]
    with ProcessGroup(clock, directory) as processes:
        report(
            f"starting {example}: a platform stand-in, upstream stand-ins, {len(ENTRIES)} entries"
        )
        deployment = await start_deployment(
            processes,
            Caller(_reactor, clock),
            EXAMPLES / example,
            ENTRIES,
            separate_processes=frozenset({service}),
        )
        published = await deployment.publish()
        report(f"publish: {published.stdout.read_text().strip()}")
        await deployment.wait_until_entries_ready()
        report(f"{len(processes.children) - 1} processes run, all entries are ready")
        demo = Demo(deployment, report)
        requests = build_requests(deployment.services, ROUND_COUNT, SEED)
        await demo.send_all(requests, list(ENTRIES))
        report(f"sent {len(requests)} requests of every kind over {len(ENTRIES)} entries")
        await demo.kill_server(service)
        await demo.kill_entry(service)
        demo.show_figures()
        await stop_entries(deployment, report)
    report("nothing is left running")
    return not demo.figures.mismatches and not demo.failures


async def stop_entries(deployment: Deployment, report: Reporter) -> None:
    """Shut the entries down gracefully."""
    live = [child for child in deployment.entries.values() if child.exit_code is None]
    for child in live:
        child.signal(signal.SIGTERM)
    codes = [await deployment.processes.wait_until_exited(child) for child in live]
    report(f"{len(live)} entries shut down gracefully, exit codes {sorted(set(codes))}")


def main(arguments: list[str]) -> int:
    """Run the demo of the named example, or of the first by default; return the exit code."""
    example = arguments[0] if arguments else next(iter(OWNED_SERVICES))
    if example not in OWNED_SERVICES:
        print(f"no example is called {example!r}; expected {' or '.join(OWNED_SERVICES)}")
        return 2
    results: list[bool] = []

    def print_failure(failure: Failure) -> None:
        print(failure.getTraceback(), file=sys.stderr)

    def start(directory: str) -> None:
        demo: Coroutine[Any, Any, bool] = run_demo(example, Path(directory), _report)
        completed = Deferred.fromCoroutine(demo).addCallbacks(results.append, print_failure)
        completed.addBoth(lambda _: reactor.stop())

    reactor: Any = _reactor
    with tempfile.TemporaryDirectory() as directory:
        reactor.callWhenRunning(start, directory)
        reactor.run()
    return 0 if results == [True] else 1


def _report(text: str) -> None:
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
