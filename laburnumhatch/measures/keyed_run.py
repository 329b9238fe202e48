"""Simulation of the planner with simulated servers, in steps of one second."""

from collections.abc import Callable
from datetime import timedelta

import numpy as np
from twisted.internet import task

from ..clocks import ReactorClock
from ..planning.interfaces import Move, PlanningView, ServerCondition
from ..planning.load import LoadMeter, LoadReport, merge_load_reports
from .deployments import ENTRY_COUNT, Deployment
from .figures import KeyedFigures, latency_percentile_ms
from .keyed_servers import COLD_SECONDS, WORK_SECONDS, KeyedServer, serve_second
from .keyed_workload import SLOT_COUNT, KeyedWorkload, make_keyed_workload
from .scenarios import Event, EventKind, Scenario

__all__ = ["PlanFunction", "run_keyed"]

PlanFunction = Callable[[PlanningView], tuple[Move, ...]]

# From the loss of a server until the coordinator considers it gone and all leases have expired.
DETECTION_SECONDS = 2.5
# Duration of a planned handoff: table write, revocation, end of the requests in flight, grant.
HANDOFF_SECONDS = 0.06


def run_keyed(
    deployment: Deployment, scenario: Scenario, seed: int, plan: PlanFunction
) -> KeyedFigures:
    """Return the figures of a plan function in a scenario.

    Parameters
    ----------
    deployment : Deployment
    scenario : Scenario
    seed : int
    plan : callable

    Notes
    -----
    In each second, the entry instance that receives a request meters it, and the plan function
    is called with the merged load reports. The keys that it moves are unavailable for the
    duration of a planned handoff. The loss of a server that stops or freezes is detected with a
    delay. The imbalance is computed from the keys' shares of the load rather than from the
    sampled requests, so it contains no sampling noise.
    """
    return _KeyedRun(deployment, scenario, seed, plan).run()


class _KeyedRun:
    """State of one run."""

    def __init__(
        self, deployment: Deployment, scenario: Scenario, seed: int, plan: PlanFunction
    ) -> None:
        self._deployment = deployment
        self._scenario = scenario
        self._plan = plan
        self._generator = np.random.default_rng(seed)
        self._workload: KeyedWorkload = make_keyed_workload(self._generator)
        self._reactor = task.Clock()
        self._clock = ReactorClock(self._reactor)
        self._meters = [self._new_meter() for _ in range(ENTRY_COUNT)]
        self._servers = [
            KeyedServer(deployment.slots_per_server) for _ in range(deployment.owner_count)
        ]
        self._slot_owners = np.full(SLOT_COUNT, -1)
        self._key_owners: dict[int, int] = {}
        self._available_at = np.zeros(len(self._workload.hashes))
        self._key_indices = {key_hash: i for i, key_hash in enumerate(self._workload.hashes)}
        self._last_move_at = -1000.0
        self._is_table_up = True
        self._latencies: list[float] = []
        self._imbalances: list[float] = []
        self._churn_keys = self._churn_load = self._unavailable_key_seconds = 0.0
        self._moves = self._table_writes = 0

    def run(self) -> KeyedFigures:
        """Run the scenario and return its figures."""
        events = list(self._scenario.events)
        self._run_planner(0.0, is_initial=True)
        for second in range(self._scenario.seconds):
            now = float(second)
            while events and events[0].at <= now:
                self._apply_event(events.pop(0), now)
            self._serve_requests(now)
            self._record_state(now)
            self._reactor.advance(1.0)
            self._run_planner(now + 1.0)
        return self._figures()

    def _new_meter(self) -> LoadMeter:
        return LoadMeter(clock=self._clock, slot_count=SLOT_COUNT)

    def _apply_event(self, event: Event, now: float) -> None:
        server = self._servers[event.index % len(self._servers)]
        match event.kind:
            case EventKind.HOT_KEYS_CHANGE:
                self._workload.change_hottest_keys()
            case EventKind.SERVER_LEAVES:
                server.is_leaving = True
            case EventKind.SERVER_STOPS | EventKind.SERVER_FREEZES:
                server.is_up = False
                server.down_since = now
            case EventKind.SERVER_STARTS:
                server.restart(now)
            case EventKind.SERVER_THAWS:
                server.is_up = True
            case EventKind.SERVER_SLOWS:
                server.is_slow = True
            case EventKind.ENTRY_REPLACED:
                self._meters[event.index] = self._new_meter()
                self._last_move_at = now
            case EventKind.TABLE_DOWN | EventKind.TABLE_UP:
                self._is_table_up = event.kind is EventKind.TABLE_UP

    def _key_servers(self) -> np.ndarray:
        servers = self._slot_owners[self._workload.slots]
        for key_hash, owner in self._key_owners.items():
            servers[self._key_indices[key_hash]] = owner
        return servers

    def _serve_requests(self, now: float) -> None:
        capacity = len(self._servers) * self._deployment.slots_per_server / WORK_SECONDS
        count = int(self._generator.poisson(capacity * self._scenario.utilization))
        keys = self._workload.draw(count)
        arrivals = now + np.sort(self._generator.random(count))
        work = self._generator.exponential(WORK_SECONDS, count)
        entries = self._generator.integers(0, ENTRY_COUNT, count)
        available_at = np.maximum(arrivals, self._available_at[keys])
        owners = self._key_servers()[keys]
        self._latencies.extend(serve_second(self._servers, owners, arrivals, available_at, work))
        pairs, counts = np.unique(entries * len(self._available_at) + keys, return_counts=True)
        for pair, n in zip(pairs.tolist(), counts.tolist(), strict=True):
            entry, key = divmod(pair, len(self._available_at))
            self._meters[entry].record(
                slot=int(self._workload.slots[key]),
                key_hash=self._workload.hashes[key],
                work=n * WORK_SECONDS,
            )

    def _record_state(self, now: float) -> None:
        servers = self._key_servers()
        loads = np.bincount(servers, self._workload.shares, len(self._servers))
        is_up = np.array([server.is_up for server in self._servers])
        self._imbalances.append(float(loads[is_up].max() / loads.mean()))
        self._unavailable_key_seconds += float((~is_up[servers]).sum())

    def _run_planner(self, now: float, is_initial: bool = False) -> None:
        report = merge_load_reports(meter.report() for meter in self._meters)
        if not self._is_table_up:
            return
        moves = self._plan(self._view(report, now))
        if not moves:
            return
        self._last_move_at = now
        for move in moves:
            self._apply_move(move, now, is_initial)
        if not is_initial:
            self._table_writes += 1

    def _view(self, report: LoadReport, now: float) -> PlanningView:
        slot_load = np.zeros(SLOT_COUNT)
        slot_load[list(report.slots)] = list(report.slots.values())
        for key_hash in self._key_owners:
            slot = self._workload.slots[self._key_indices[key_hash]]
            slot_load[slot] = max(0.0, slot_load[slot] - report.keys.get(key_hash, 0.0))
        return PlanningView(
            objective=self._deployment.objective,
            servers=[self._server_condition(i, now) for i in range(len(self._servers))],
            owners=self._slot_owners.tolist(),
            slot_load=slot_load.tolist(),
            key_owners=dict(self._key_owners),
            key_load=report.keys,
            time_since_last_move=timedelta(seconds=now - self._last_move_at),
        )

    def _server_condition(self, i: int, now: float) -> ServerCondition:
        server = self._servers[i]
        gone = not server.is_up and now >= server.down_since + DETECTION_SECONDS
        warmup_remaining = max(0.0, server.cold_until - now)
        return ServerCondition(
            name=f"server-{i}",
            accepts_keys=not gone and not server.is_leaving,
            is_alive=not gone,
            warmup_remaining=timedelta(seconds=min(warmup_remaining, COLD_SECONDS)),
        )

    def _apply_move(self, move: Move, now: float, is_initial: bool) -> None:
        before = self._key_servers()
        if move.key_hash is None:
            self._slot_owners[move.slot] = move.destination
        elif move.destination == -1:
            self._key_owners.pop(move.key_hash)
        else:
            self._key_owners[move.key_hash] = move.destination
        if is_initial:
            return
        moved = np.flatnonzero(self._key_servers() != before)
        self._moves += 1
        self._churn_keys += len(moved) / len(before)
        self._churn_load += float(self._workload.shares[moved].sum())
        alive = np.array([server.is_up for server in self._servers])[before[moved]]
        self._available_at[moved] = now + HANDOFF_SECONDS
        self._unavailable_key_seconds += HANDOFF_SECONDS * int(alive.sum())

    def _figures(self) -> KeyedFigures:
        return KeyedFigures(
            imbalance=float(np.mean(self._imbalances)),
            churn_keys=self._churn_keys,
            churn_load=self._churn_load,
            unavailable_key_seconds=self._unavailable_key_seconds,
            goodput=len(self._latencies) / self._scenario.seconds,
            p50_ms=latency_percentile_ms(self._latencies, 50.0),
            p99_ms=latency_percentile_ms(self._latencies, 99.0),
            moves=self._moves,
            table_writes=self._table_writes,
        )
