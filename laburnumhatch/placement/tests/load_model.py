"""Simulation of many instances that place the requests of one service on its upstreams.

The decisions are those of the package: each instance knows its own requests at once and those of
the others from totals that arrive late. Network delays are constant, and nothing fails.
"""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

from ...fleet import Upstream, UpstreamIncarnation
from ..admission import Declined, decide_admission
from ..choice import Demand, choose_upstream, median_service_time, plausible_service_time
from ..loads import LoadTracker, UpstreamTotals
from ..reservation import plan_reservation, reserved_upstreams
from ..work_times import WorkTimes

REPORT_INTERVAL_S = 0.25
# One way between an instance and an upstream, and between an instance and a caller.
NETWORK_DELAY_S = 0.001
CALLER_DELAY_S = 0.003
DEMAND_HALF_LIFE_S = 3.0


@dataclass(frozen=True)
class Kind:
    """A kind of request: arrivals per second, work in seconds, objective and deadline."""

    name: str
    rate: float
    work_s: float
    spread: float
    objective_s: float
    deadline_s: float
    priority: int
    retries: int = 1


@dataclass
class Counts:
    """What the callers of one kind got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    lost: int = 0


@dataclass
class FakeServer:
    """Upstream with a number of slots and a queue of limited length."""

    upstream: Upstream
    speed: float
    queue_limit: int
    running: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)


@dataclass
class Call:
    """A caller's request, with its attempts."""

    kind: Kind
    started_s: float
    retries_left: int
    key: int = 0
    is_hot: bool = False
    instance: int = 0


class LoadModel:
    """Instances, upstreams and callers of one service.

    Parameters
    ----------
    seed : int
    instance_count, upstream_count, slots : int
    kinds : list of Kind
    speeds : tuple of float
        Speeds of the upstreams, in turn.
    queue_limit : int
        Requests that an upstream queues beyond its slots.
    reserves : bool
        Whether upstreams are reserved for urgent requests.
    """

    def __init__(
        self,
        seed: int,
        instance_count: int,
        upstream_count: int,
        slots: int,
        kinds: list[Kind],
        speeds: tuple[float, ...] = (0.6, 1.0, 1.4),
        queue_limit: int = 8,
        reserves: bool = True,
    ) -> None:
        self.random = random.Random(seed)
        self.kinds = kinds
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.trackers = [LoadTracker() for _ in range(instance_count)]
        self._reported: list[dict[str, int]] = [{} for _ in range(instance_count)]
        self.leader = LoadTracker()
        self.work_times = [WorkTimes() for _ in range(instance_count)]
        self.reserves = reserves
        self.reserved: frozenset[str] = frozenset()
        # Work in seconds by priority, decayed like the totals of the leader.
        self._demand: dict[int, float] = {}
        self.servers: dict[str, FakeServer] = {}
        for number in range(upstream_count):
            name = f"u{number}"
            upstream = Upstream(
                UpstreamIncarnation(name, 1),
                "s",
                "127.0.0.1",
                number,
                f"dc{number % 3}",
                slots,
                False,
                timedelta(),
            )
            speed = speeds[number % len(speeds)]
            self.servers[name] = FakeServer(upstream, speed, queue_limit)
        self.upstreams = [server.upstream for server in self.servers.values()]
        self.counts = {kind.name: Counts() for kind in kinds}
        self.is_measuring = False

    def run(self, warmup_s: float, measured_s: float) -> dict[str, Counts]:
        """Play the load and return the counts by kind."""
        for kind in self.kinds:
            self._arrive(kind)
        for number in range(len(self.trackers)):
            self._later(REPORT_INTERVAL_S * self.random.random(), partial(self._report, number))
        self._later(REPORT_INTERVAL_S, self._send_totals)
        self._play_until(warmup_s)
        self.is_measuring = True
        self._play_until(warmup_s + measured_s)
        return self.counts

    def _play_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._sequence, action))

    def _now(self) -> timedelta:
        return timedelta(seconds=self.now_s)

    def _arrive(self, kind: Kind) -> None:
        self._later(self.random.expovariate(kind.rate), lambda: self._arrive(kind))
        if self.is_measuring:
            self.counts[kind.name].asked += 1
        self._ask(Call(kind, self.now_s, kind.retries if self.is_measuring else 0))

    def _ask(self, call: Call) -> None:
        instance = self.random.randrange(len(self.trackers))
        self._later(CALLER_DELAY_S, lambda: self._place(call, instance))

    # Decisions of an instance.

    def _place(self, call: Call, instance: int) -> None:
        tracker, kind = self.trackers[instance], call.kind
        work_times = self.work_times[instance]
        remaining_s = kind.deadline_s - (self.now_s - call.started_s)
        ratio = work_times.ratio("s", kind.name)
        work_s = work_times.slot_time_s("s", kind.name)
        self._demand[kind.priority] = self._demand.get(kind.priority, 0.0) + work_s
        is_urgent = kind.priority == min(k.priority for k in self.kinds)
        demand = Demand(ratio, False, self.reserved, is_urgent, work_times.longest_ratio("s"))
        median_s = median_service_time(tracker.load_of(u.name) for u in self.upstreams)
        choice = choose_upstream(
            self.upstreams,
            tracker.load_of,
            f"dc{instance % 3}",
            demand,
            len(self.trackers),
            self._now(),
            self.random,
            median_s,
        )
        assert choice is not None
        decision = decide_admission(
            choice.predicted_s, median_s * ratio, kind.objective_s, remaining_s
        )
        if isinstance(decision, Declined):
            self._refuse(call, decision.retry_after_s)
            return
        load = tracker.load_of(choice.upstream.name)
        load.own_in_flight += 1
        relative_time = demand.relative_time(choice.upstream, load.in_flight)
        sent_s = self.now_s

        def on_answer(has_run: bool) -> None:
            load.own_in_flight -= 1
            service_time_s = (self.now_s - sent_s) / relative_time
            if has_run and relative_time == ratio:
                slowness = plausible_service_time(load.service_time_s, median_s) / median_s
                work_times.record("s", kind.name, (self.now_s - sent_s) / slowness)
            tracker.record_answer(
                choice.upstream.name,
                self._now(),
                service_time_s=service_time_s if has_run else None,
                declined=not has_run,
            )
            self.leader.load_of(choice.upstream.name).record_answers(
                int(has_run), int(not has_run), service_time_s if has_run else 0.0, self._now()
            )
            if has_run:
                self._later(CALLER_DELAY_S, lambda: self._answer(call))
            else:
                self._refuse(call, 0.04)

        self._later(
            NETWORK_DELAY_S, lambda: self._serve(choice.upstream.name, call, remaining_s, on_answer)
        )

    def _refuse(self, call: Call, retry_after_s: float) -> None:
        left_s = call.kind.deadline_s - (self.now_s - call.started_s)
        if call.retries_left and retry_after_s < left_s / 3:
            call.retries_left -= 1
            self._later(retry_after_s + 2 * CALLER_DELAY_S, lambda: self._ask(call))
        elif self.is_measuring:
            self.counts[call.kind.name].lost += 1

    def _answer(self, call: Call) -> None:
        waited_s = self.now_s - call.started_s
        counts = self.counts[call.kind.name]
        if not self.is_measuring:
            return
        if waited_s <= call.kind.objective_s:
            counts.in_time += 1
        elif waited_s <= call.kind.deadline_s:
            counts.late += 1
        else:
            counts.lost += 1

    # Upstreams and totals.

    def _serve(
        self, name: str, call: Call, remaining_s: float, on_answer: Callable[[bool], None]
    ) -> None:
        server = self.servers[name]
        work_s = call.kind.work_s / server.speed
        work_s *= self.random.lognormvariate(-call.kind.spread**2 / 2, call.kind.spread)

        def start() -> None:
            server.running += 1
            self._later(work_s, end)

        def end() -> None:
            server.running -= 1
            if server.queue:
                server.queue.popleft()()
            self._later(NETWORK_DELAY_S, lambda: on_answer(True))

        if server.running < server.upstream.slots:
            start()
        elif len(server.queue) < server.queue_limit:
            server.queue.append(start)
        else:
            self._later(NETWORK_DELAY_S, lambda: on_answer(False))

    def _reserve(self) -> None:
        decay = 0.5 ** (REPORT_INTERVAL_S / DEMAND_HALF_LIFE_S)
        self._demand = {p: work * decay for p, work in self._demand.items()}
        if self.reserves:
            slots = sum(u.slots for u in self.upstreams)
            window_s = DEMAND_HALF_LIFE_S / math.log(2)
            demand = {p: work / window_s for p, work in self._demand.items()}
            reservation = plan_reservation(demand, slots)
            count = reservation.slots if reservation is not None else 0
            self.reserved = reserved_upstreams(self.upstreams, count)

    def _report(self, instance: int) -> None:
        tracker = self.trackers[instance]
        report = tracker.collect_report()
        self._reported[instance] = {stats.name: stats.in_flight for stats in report.upstreams}
        self._later(REPORT_INTERVAL_S, lambda: self._report(instance))

    def _send_totals(self) -> None:
        totals = {}
        for name in self.servers:
            load = self.leader.load_of(name)
            in_flight = sum(reported.get(name, 0) for reported in self._reported)
            service_time = timedelta(seconds=load.service_time_s)
            totals[name] = UpstreamTotals(
                name, in_flight, service_time, load.declined_share(self._now())
            )
        for tracker in self.trackers:
            tracker.apply_totals(totals.get, self._now())
        self._reserve()
        self._later(REPORT_INTERVAL_S, self._send_totals)
