"""Discrete-event simulation of choosers and admission with simulated targets."""

import random
from collections import Counter
from datetime import timedelta
from typing import Any

import numpy as np

from ..clocks import ReactorClock
from ..requests.admission import concurrency_limit
from ..requests.target_queue import QueuedRequest, TargetQueue
from ..results import Refusal
from ..routing import Target
from .deployments import ENTRY_COUNT, Deployment
from .event_loop import EventLoop
from .figures import TargetFigures, latency_percentile_ms
from .scenarios import Event, EventKind, Scenario
from .target_entries import (
    DEADLINE_SECONDS,
    KIND,
    RETRY_LIMIT,
    SERVICE,
    Call,
    ChooserContext,
    ChooserFactory,
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
LEAVING_DETECTION_SECONDS = 1.0
FREEZE_DETECTION_SECONDS = 2.0
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
        self._known_targets = KnownTargets()
        centres = deployment.data_centres
        self._servers = {
            f"t{i}": TargetServer(f"t{i}", centres[i % len(centres)], deployment.slots_per_server)
            for i in range(deployment.target_count)
        }
        self._service = make_service(deployment, self._servers.values())
        self._concurrency_limit = concurrency_limit(
            deployment.slots_per_server, deployment.connections_per_server, ENTRY_COUNT
        )
        self._entries = [self._new_entry(i, seed) for i in range(ENTRY_COUNT)]
        self._latencies: list[float] = []
        self._request_count = self._sent_count = self._found_full_count = 0
        self._connect_count = self._remote_answer_count = self._reading_count = 0

    def run(self) -> TargetFigures:
        """Run the scenario and return its figures."""
        for event in self._scenario.events:
            self._loop.call_at(event.at, self._apply_event, event)
        self._draw_arrivals()
        self._loop.run_until(self._scenario.seconds + DEADLINE_SECONDS)
        return self._figures()

    def _draw_arrivals(self) -> None:
        capacity = len(self._servers) * self._deployment.slots_per_server / WORK_SECONDS
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
        context = ChooserContext(
            targets=self._known_targets,
            clock=self._clock,
            random_source=random.Random(seed * 1000 + index),
            data_centre=centre,
            instance=f"entry-{index}",
            live_instances=lambda: ENTRY_COUNT,
            probe_load=lambda target: self._probe_load(index, target),
        )
        return Entry(index, centre, self._make_chooser(context), queues)

    def _apply_event(self, event: Event) -> None:
        if event.kind is EventKind.ENTRY_REPLACED:
            old = self._entries[event.index]
            for name, idle in old.idle_connections.items():
                self._servers[name].connections -= idle
            self._entries[event.index] = self._new_entry(event.index, self._seed + 1)
            return
        server = self._servers[f"t{event.index % len(self._servers)}"]
        server.is_undisturbed = False
        match event.kind:
            case EventKind.SERVER_LEAVES:
                server.is_leaving = True
                self._loop.callLater(
                    LEAVING_DETECTION_SECONDS, self._known_targets.unavailable.add, server.name
                )
            case EventKind.SERVER_STOPS:
                server.stop()
                for entry in self._entries:
                    entry.idle_connections[server.name] = 0
            case EventKind.SERVER_STARTS:
                self._start_server(server)
            case EventKind.SERVER_FREEZES:
                server.is_frozen = True
                self._loop.callLater(
                    FREEZE_DETECTION_SECONDS, self._known_targets.unavailable.add, server.name
                )
            case EventKind.SERVER_THAWS:
                server.is_frozen = False
                server.stop()
                self._start_server(server)
            case EventKind.SERVER_SLOWS:
                server.factor = SLOW_FACTOR

    def _start_server(self, server: TargetServer) -> None:
        server.is_up = True
        server.is_leaving = False
        server.factor = COLD_FACTOR
        self._known_targets.unavailable.discard(server.name)
        self._loop.callLater(COLD_SECONDS, setattr, server, "factor", 1.0)

    def _arrive(self, at: float, work: float, entry: int) -> None:
        self._request_count += 1
        self._dispatch(Call(self._entries[entry], at, work))

    def _dispatch(self, call: Call) -> None:
        chooser = call.entry.chooser
        while True:
            target = chooser.choose(self._service, call.tried_targets | call.full_targets)
            if target is None and call.tried_targets:
                target = chooser.choose(self._service, call.full_targets)
            if target is None:
                return
            call.target = target.name
            deadline = timedelta(seconds=call.arrived_at + DEADLINE_SECONDS)
            entered = call.entry.queues[target.name].submit(
                KIND, None, deadline, self._concurrency_limit
            )
            if entered is None:
                self._send(call)
                return
            if isinstance(entered, QueuedRequest):
                entered.started.addCallback(self._on_dequeued, call)
                return
            call.full_targets |= {target.name}

    def _on_dequeued(self, refusal: Refusal | None, call: Call) -> None:
        if refusal is None:
            self._send(call)

    def _send(self, call: Call) -> None:
        entry, server = call.entry, self._servers[call.target]
        entry.chooser.request_started(SERVICE, server.name)
        call.attempt += 1
        call.is_sent = True
        call.sent_at = self._loop.seconds()
        hop = self._one_way_latency(entry, server)
        delay = hop
        if entry.idle_connections[server.name] > 0:
            entry.idle_connections[server.name] -= 1
        elif server.is_up:
            self._connect_count += 1
            server.connections += 1
            server.peak_connections = max(server.peak_connections, server.connections)
            delay += CONNECT_SECONDS + ROUND_TRIPS_OF_CONNECT * hop
        self._loop.callLater(delay, self._deliver, call, call.attempt)
        left = call.arrived_at + DEADLINE_SECONDS - call.sent_at
        limit = left / 2 if call.retries < RETRY_LIMIT else left
        self._loop.callLater(limit, self._time_out, call, call.attempt)

    def _deliver(self, call: Call, attempt: int) -> None:
        server = self._servers[call.target]
        hop = self._one_way_latency(call.entry, server)
        if call.attempt != attempt or not call.is_sent or server.is_frozen:
            return
        if not server.is_up:
            self._known_targets.unavailable.add(server.name)
            self._loop.callLater(hop, self._end_attempt, call, attempt, False)
            return
        self._sent_count += 1
        self._found_full_count += server.running >= server.slots
        if server.is_leaving or not server.submit(lambda: self._start_work(call, attempt, server)):
            if server.is_leaving:
                self._known_targets.unavailable.add(server.name)
            self._loop.callLater(hop, self._end_attempt, call, attempt, False)

    def _start_work(self, call: Call, attempt: int, server: TargetServer) -> None:
        if call.attempt != attempt or not call.is_sent:
            # The entry instance abandoned the request while it was queued.
            self._loop.callLater(0.0, server.release_slot)
            return
        server.work_done += call.work
        self._loop.callLater(call.work * server.factor, self._finish_work, call, attempt, server)

    def _finish_work(self, call: Call, attempt: int, server: TargetServer) -> None:
        if not server.is_up:
            return
        if server.is_frozen:
            return
        server.latency += 0.1 * (call.work * server.factor - server.latency)
        server.release_slot()
        self._loop.callLater(
            self._one_way_latency(call.entry, server), self._end_attempt, call, attempt, True
        )

    def _time_out(self, call: Call, attempt: int) -> None:
        if call.attempt == attempt and call.is_sent:
            server = self._servers[call.target]
            server.connections -= server.is_up
            self._end_attempt(call, attempt, False, keep_connection=False)

    def _end_attempt(
        self, call: Call, attempt: int, answered: bool, keep_connection: bool = True
    ) -> None:
        if call.attempt != attempt or not call.is_sent:
            return
        now = self._loop.seconds()
        call.is_sent = False
        entry, server = call.entry, self._servers[call.target]
        if keep_connection and server.is_up:
            entry.idle_connections[server.name] += 1
        latency = timedelta(seconds=now - call.sent_at)
        entry.chooser.request_ended(SERVICE, server.name, latency, answered)
        entry.queues[server.name].finish_request(latency)
        if answered:
            if now - call.arrived_at <= DEADLINE_SECONDS:
                self._latencies.append(now - call.arrived_at)
                self._remote_answer_count += entry.data_centre != server.data_centre
            return
        call.tried_targets |= {server.name}
        if call.retries < RETRY_LIMIT and now < call.arrived_at + DEADLINE_SECONDS:
            call.retries += 1
            self._dispatch(call)

    def _one_way_latency(self, entry: Entry, server: TargetServer) -> float:
        if entry.data_centre == server.data_centre:
            return LOCAL_HOP_SECONDS
        return self._deployment.hop_seconds

    def _probe_load(self, index: int, target: Target) -> None:
        self._reading_count += 1
        server, entry = self._servers[target.name], self._entries[index]
        hop = self._one_way_latency(entry, server)
        self._loop.callLater(hop, self._deliver_reading, server, entry.chooser, hop)

    def _deliver_reading(self, server: TargetServer, chooser: Any, hop: float) -> None:
        if server.is_up and not server.is_frozen:
            latency = server.latency * (1.0 + server.in_flight / server.slots) + 2.0 * hop
            self._loop.callLater(hop, chooser.record_load, server.name, server.in_flight, latency)

    def _figures(self) -> TargetFigures:
        answers = max(1, len(self._latencies))
        work = [server.work_done for server in self._servers.values() if server.is_undisturbed]
        return TargetFigures(
            imbalance=max(work) * len(work) / sum(work) if work else 1.0,
            goodput=len(self._latencies) / self._scenario.seconds,
            p50_ms=latency_percentile_ms(self._latencies, 50.0),
            p99_ms=latency_percentile_ms(self._latencies, 99.0),
            refused=1.0 - len(self._latencies) / max(1, self._request_count),
            found_full=self._found_full_count / max(1, self._sent_count),
            peak_connections=max(server.peak_connections for server in self._servers.values()),
            connects=self._connect_count / answers,
            far=self._remote_answer_count / answers,
            readings=self._reading_count / answers,
        )
