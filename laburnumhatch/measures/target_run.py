"""Discrete-event simulation of choosers and admission with simulated targets."""

import random
from collections import Counter
from datetime import timedelta
from typing import Any

import numpy as np

from ..clocks import ReactorClock
from ..requests.admission import concurrency_limit
from ..requests.target_queue import TargetQueue, Waiter
from ..results import Refusal
from ..routing import Target
from .deployments import ENTRY_COUNT, Deployment
from .event_loop import EventLoop
from .figures import TargetFigures, latency_milliseconds
from .scenarios import Event, EventKind, Scenario
from .target_entries import (
    DEADLINE_SECONDS,
    KIND,
    RETRY_LIMIT,
    SERVICE,
    Call,
    ChooserFactory,
    ChooserParts,
    Entry,
    make_service,
)
from .target_servers import KnownTargets, TargetServer

__all__ = ["run_targets"]

WORK_SECONDS = 0.04
LOCAL_HOP_SECONDS = 0.0002
CONNECT_SECONDS = 0.001
COLD_SECONDS = 5.0
COLD_FACTOR = 3.0
SLOW_FACTOR = 4.0
# Time until the probes detect that a target is leaving, or frozen.
LEAVING_SEEN_SECONDS = 1.0
FREEZE_SEEN_SECONDS = 2.0
ROUND_TRIPS_OF_CONNECT = 2


def run_targets(
    deployment: Deployment, scenario: Scenario, seed: int, make_chooser: ChooserFactory
) -> TargetFigures:
    """Return the figures of a chooser of targets in a scenario.

    Parameters
    ----------
    deployment : Deployment
    scenario : Scenario
    seed : int
    make_chooser : callable
        Called once for each entry instance.

    Notes
    -----
    Each entry instance has its own chooser, connections and admission queues, which are those
    of the request path, and sees only its own requests. A request is retried once, at another
    target if there is one, after a target refuses it without running it, is down or does not
    answer.
    """
    return _TargetRun(deployment, scenario, seed, make_chooser).run()


class _TargetRun:
    """State of one run."""

    def __init__(
        self, deployment: Deployment, scenario: Scenario, seed: int, make_chooser: ChooserFactory
    ) -> None:
        self._deployment = deployment
        self._scenario = scenario
        self._seed = seed
        self._make_chooser = make_chooser
        self._generator = np.random.default_rng(seed)
        self._loop = EventLoop()
        self._clock = ReactorClock(self._loop)
        self._known = KnownTargets()
        centres = deployment.data_centres
        self._servers = {
            f"t{i}": TargetServer(f"t{i}", centres[i % len(centres)], deployment.slots)
            for i in range(deployment.targets)
        }
        self._service = make_service(deployment, self._servers.values())
        self._limit = concurrency_limit(deployment.slots, deployment.connections, ENTRY_COUNT)
        self._entries = [self._new_entry(i, seed) for i in range(ENTRY_COUNT)]
        self._latencies: list[float] = []
        self._asked_for = self._sent = self._found_full = 0
        self._connects = self._far = self._readings = 0

    def run(self) -> TargetFigures:
        """Run the scenario and return its figures."""
        for event in self._scenario.events:
            self._loop.call_at(event.at, self._happen, event)
        self._draw_arrivals()
        self._loop.run_until(self._scenario.seconds + DEADLINE_SECONDS)
        return self._figures()

    def _draw_arrivals(self) -> None:
        capacity = len(self._servers) * self._deployment.slots / WORK_SECONDS
        rate = capacity * self._scenario.utilization
        count = int(self._generator.poisson(rate * self._scenario.seconds))
        times = np.sort(self._generator.random(count)) * self._scenario.seconds
        works = self._generator.exponential(WORK_SECONDS, count)
        entries = self._generator.integers(0, ENTRY_COUNT, count)
        columns = (times.tolist(), works.tolist(), entries.tolist())
        for at, work, entry in zip(*columns, strict=True):
            self._loop.call_at(at, self._arrive, at, work, entry)

    def _new_entry(self, index: int, seed: int) -> Entry:
        centre = self._deployment.data_centres[index % len(self._deployment.data_centres)]
        totals: Counter[str] = Counter()
        queues = {name: TargetQueue(self._clock.now, totals) for name in self._servers}
        parts = ChooserParts(
            targets=self._known,
            clock=self._clock,
            random_source=random.Random(seed * 1000 + index),
            data_centre=centre,
            instance=f"entry-{index}",
            live_instances=lambda: ENTRY_COUNT,
            read_load=lambda target: self._read_load(index, target),
        )
        return Entry(index, centre, self._make_chooser(parts), queues)

    def _happen(self, event: Event) -> None:
        if event.kind is EventKind.ENTRY_REPLACED:
            old = self._entries[event.index]
            for name, idle in old.idle.items():
                self._servers[name].connections -= idle
            self._entries[event.index] = self._new_entry(event.index, self._seed + 1)
            return
        server = self._servers[f"t{event.index % len(self._servers)}"]
        server.steady = False
        match event.kind:
            case EventKind.SERVER_LEAVES:
                server.leaving = True
                self._loop.callLater(LEAVING_SEEN_SECONDS, self._known.closed.add, server.name)
            case EventKind.SERVER_STOPS:
                server.stop()
                for entry in self._entries:
                    entry.idle[server.name] = 0
            case EventKind.SERVER_STARTS:
                self._start_server(server)
            case EventKind.SERVER_FREEZES:
                server.frozen = True
                self._loop.callLater(FREEZE_SEEN_SECONDS, self._known.closed.add, server.name)
            case EventKind.SERVER_THAWS:
                server.frozen = False
                server.stop()
                self._start_server(server)
            case EventKind.SERVER_SLOWS:
                server.factor = SLOW_FACTOR

    def _start_server(self, server: TargetServer) -> None:
        server.up = True
        server.leaving = False
        server.factor = COLD_FACTOR
        self._known.closed.discard(server.name)
        self._loop.callLater(COLD_SECONDS, setattr, server, "factor", 1.0)

    def _arrive(self, at: float, work: float, entry: int) -> None:
        self._asked_for += 1
        self._try(Call(self._entries[entry], at, work))

    def _try(self, call: Call) -> None:
        chooser = call.entry.chooser
        while True:
            target = chooser.choose(self._service, call.asked | call.full)
            if target is None and call.asked:
                target = chooser.choose(self._service, call.full)
            if target is None:
                return
            call.target = target.name
            deadline = timedelta(seconds=call.arrived + DEADLINE_SECONDS)
            entered = call.entry.queues[target.name].enter(KIND, None, deadline, self._limit)
            if entered is None:
                self._send(call)
                return
            if isinstance(entered, Waiter):
                entered.started.addCallback(self._waited, call)
                return
            call.full |= {target.name}

    def _waited(self, refusal: Refusal | None, call: Call) -> None:
        if refusal is None:
            self._send(call)

    def _send(self, call: Call) -> None:
        entry, server = call.entry, self._servers[call.target]
        entry.chooser.request_started(SERVICE, server.name)
        call.attempt += 1
        call.sent = True
        call.sent_at = self._loop.seconds()
        hop = self._hop(entry, server)
        delay = hop
        if entry.idle[server.name] > 0:
            entry.idle[server.name] -= 1
        elif server.up:
            self._connects += 1
            server.connections += 1
            server.peak_connections = max(server.peak_connections, server.connections)
            delay += CONNECT_SECONDS + ROUND_TRIPS_OF_CONNECT * hop
        self._loop.callLater(delay, self._reach, call, call.attempt)
        left = call.arrived + DEADLINE_SECONDS - call.sent_at
        limit = left / 2 if call.retries < RETRY_LIMIT else left
        self._loop.callLater(limit, self._time_out, call, call.attempt)

    def _reach(self, call: Call, attempt: int) -> None:
        server = self._servers[call.target]
        hop = self._hop(call.entry, server)
        if call.attempt != attempt or not call.sent or server.frozen:
            return
        if not server.up:
            self._known.closed.add(server.name)
            self._loop.callLater(hop, self._end, call, attempt, False)
            return
        self._sent += 1
        self._found_full += server.running >= server.slots
        if server.leaving or not server.enter(lambda: self._run(call, attempt, server)):
            if server.leaving:
                self._known.closed.add(server.name)
            self._loop.callLater(hop, self._end, call, attempt, False)

    def _run(self, call: Call, attempt: int, server: TargetServer) -> None:
        if call.attempt != attempt or not call.sent:
            # The entry instance abandoned the request while it was queued.
            self._loop.callLater(0.0, server.leave)
            return
        server.work_done += call.work
        self._loop.callLater(call.work * server.factor, self._finish, call, attempt, server)

    def _finish(self, call: Call, attempt: int, server: TargetServer) -> None:
        if not server.up:
            return
        if server.frozen:
            return
        server.latency += 0.1 * (call.work * server.factor - server.latency)
        server.leave()
        self._loop.callLater(self._hop(call.entry, server), self._end, call, attempt, True)

    def _time_out(self, call: Call, attempt: int) -> None:
        if call.attempt == attempt and call.sent:
            server = self._servers[call.target]
            server.connections -= server.up
            self._end(call, attempt, False, keep_connection=False)

    def _end(self, call: Call, attempt: int, answered: bool, keep_connection: bool = True) -> None:
        if call.attempt != attempt or not call.sent:
            return
        now = self._loop.seconds()
        call.sent = False
        entry, server = call.entry, self._servers[call.target]
        if keep_connection and server.up:
            entry.idle[server.name] += 1
        latency = timedelta(seconds=now - call.sent_at)
        entry.chooser.request_ended(SERVICE, server.name, latency, answered)
        entry.queues[server.name].ended(latency)
        if answered:
            if now - call.arrived <= DEADLINE_SECONDS:
                self._latencies.append(now - call.arrived)
                self._far += entry.data_centre != server.data_centre
            return
        call.asked |= {server.name}
        if call.retries < RETRY_LIMIT and now < call.arrived + DEADLINE_SECONDS:
            call.retries += 1
            self._try(call)

    def _hop(self, entry: Entry, server: TargetServer) -> float:
        if entry.data_centre == server.data_centre:
            return LOCAL_HOP_SECONDS
        return self._deployment.hop_seconds

    def _read_load(self, index: int, target: Target) -> None:
        self._readings += 1
        server, entry = self._servers[target.name], self._entries[index]
        hop = self._hop(entry, server)
        self._loop.callLater(hop, self._answer_load, server, entry.chooser, hop)

    def _answer_load(self, server: TargetServer, chooser: Any, hop: float) -> None:
        if server.up and not server.frozen:
            latency = server.latency * (1.0 + server.in_flight / server.slots) + 2.0 * hop
            self._loop.callLater(hop, chooser.note_load, server.name, server.in_flight, latency)

    def _figures(self) -> TargetFigures:
        answers = max(1, len(self._latencies))
        work = [server.work_done for server in self._servers.values() if server.steady]
        return TargetFigures(
            imbalance=max(work) * len(work) / sum(work) if work else 1.0,
            goodput=len(self._latencies) / self._scenario.seconds,
            p50_ms=latency_milliseconds(self._latencies, 50.0),
            p99_ms=latency_milliseconds(self._latencies, 99.0),
            refused=1.0 - len(self._latencies) / max(1, self._asked_for),
            found_full=self._found_full / max(1, self._sent),
            peak_connections=max(server.peak_connections for server in self._servers.values()),
            connects=self._connects / answers,
            far=self._far / answers,
            readings=self._readings / answers,
        )
