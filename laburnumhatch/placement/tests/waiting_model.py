"""Load model whose instances let requests wait, or decide as without a waiting room."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from ..admission import Declined, decide_admission
from ..choice import Demand, choose_upstream, median_service_time, predict_answer_time
from ..longest_deadlines import LongestDeadlines
from ..rank_limits import RankLimits
from ..waiting_room import Prospect, WaitingRequest, WaitingRoom, queue_limit
from .load_model import Call, Kind, LoadModel

INSTANCES, UPSTREAMS, SLOTS = 8, 15, 4
SPEEDS = (0.5, 0.8, 1.0, 1.1, 1.6)
# At any moment a fifth of the upstreams take three times as long, for this time.
SLOW_PHASE_S, SLOW_FACTOR = 0.4, 3.0
CAPACITY = SLOTS * sum(SPEEDS) * UPSTREAMS / len(SPEEDS) / (0.8 + 0.2 * SLOW_FACTOR)
# Kinds as of the forecast exchange in docs/design/hard-load.md, with their shares of the requests.
KINDS = (
    Kind("order", 0.25, 0.264, 0.4, 1.1, 6.517, 0, 2),
    Kind("read", 0.6, 0.201, 0.4, 0.88, 5.473, 1, 2),
    Kind("upload", 0.15, 0.249, 0.4, 2.746, 8.688, 2, 2),
)
# Value of an answer in time and of a late one.
VALUES = {"order": (1.4, 0.7), "read": (1.3, 0.27), "upload": (0.7, 0.53)}


def oracle_share(load: float) -> float:
    """Return the value share if all slots were always busy with what is of most value, in time."""
    room, value = sum(kind.rate * kind.work_s for kind in KINDS) / load, 0.0
    for kind in sorted(KINDS, key=lambda k: VALUES[k.name][0] / k.work_s, reverse=True):
        served_share = min(1.0, room / (kind.rate * kind.work_s))
        room -= served_share * kind.rate * kind.work_s
        value += served_share * kind.rate * VALUES[kind.name][0]
    return value / sum(kind.rate * VALUES[kind.name][0] for kind in KINDS)


class WaitingModel(LoadModel):
    """Load model that compares the waiting room with decisions without one.

    Parameters
    ----------
    seed : int
    load : float
        Work of the requests as a multiple of what the upstreams can serve.
    waits : bool
        Whether the instances have a waiting room.
    is_keyed : bool
        Whether each request has an owner; otherwise an upstream is chosen by load.
    """

    def __init__(self, seed: int, load: float, *, waits: bool, is_keyed: bool) -> None:
        rate = load * CAPACITY / sum(kind.rate * kind.work_s for kind in KINDS)
        kinds = [replace(kind, rate=kind.rate * rate) for kind in KINDS]
        super().__init__(
            seed, INSTANCES, UPSTREAMS, SLOTS, kinds, SPEEDS, queue_limit=16, reserves=not is_keyed
        )
        self.waits, self.is_keyed = waits, is_keyed
        self.tries: Counter[str] = Counter()
        self._limits = [RankLimits() for _ in self.trackers]
        clock: Any = SimpleNamespace(now=self._now, call_later=self._call_later)
        self._rooms = [
            WaitingRoom(clock, limits, lambda *_: None, lambda: self.random)
            for limits in self._limits
        ]
        self._deadlines = [LongestDeadlines() for _ in self.trackers]
        self._shift_speeds()

    def value_share(self) -> float:
        """Return the value of all answers as a share of their value if all were in time."""
        counts = self.counts
        value = sum(
            counts[n].in_time * v + counts[n].late * late for n, (v, late) in VALUES.items()
        )
        return value / sum(counts[n].asked * in_time for n, (in_time, _) in VALUES.items())

    def _call_later(self, delay: timedelta, action: Callable[[], None]) -> Any:
        timer = SimpleNamespace(is_active=True)
        self._later(delay.total_seconds(), lambda: action() if timer.is_active else None)
        timer.cancel = lambda: setattr(timer, "is_active", False)
        return timer

    def _shift_speeds(self) -> None:
        slow = self.random.sample(range(UPSTREAMS), UPSTREAMS // 5)
        for number, server in enumerate(self.servers.values()):
            factor = SLOW_FACTOR if number in slow else 1.0
            server.speed = SPEEDS[number % len(SPEEDS)] / factor
        self._later(SLOW_PHASE_S, self._shift_speeds)

    def _ask(self, call: Call) -> None:
        if self.is_measuring:
            self.tries[call.kind.name] += 1
        if not call.key:
            speeds = [SPEEDS[n % len(SPEEDS)] for n in range(UPSTREAMS)]
            call.key = self.random.choices(range(1, UPSTREAMS + 1), speeds)[0]
        super()._ask(call)

    def _place(self, call: Call, instance: int) -> None:
        tracker, kind, received_at = self.trackers[instance], call.kind, self._now()
        work_times = self.work_times[instance]
        work_s = work_times.slot_time_s("s", kind.name)
        self._demand[kind.priority] = self._demand.get(kind.priority, 0.0) + work_s
        deadline_s = kind.deadline_s - (self.now_s - call.started_s)
        owner = self.upstreams[call.key - 1]

        def assess() -> tuple[Prospect, Demand]:
            ratio, longest = work_times.ratio("s", kind.name), work_times.longest_ratio("s")
            demand = Demand(ratio, False, self.reserved, kind.priority == 0, longest)
            median_s = median_service_time(tracker.load_of(u.name) for u in self.upstreams)
            upstream, service_s = owner, tracker.load_of(owner.name).service_time_s or median_s
            if self.is_keyed:
                predicted_s = predict_answer_time(
                    owner, tracker.load_of(owner.name), median_s, demand
                )
            else:
                choice = choose_upstream(
                    self.upstreams,
                    tracker.load_of,
                    f"dc{instance % 3}",
                    demand,
                    INSTANCES,
                    self._now(),
                    self.random,
                    median_s,
                )
                assert choice is not None
                upstream, predicted_s, service_s = choice.upstream, choice.predicted_s, median_s
            in_flight = tracker.load_of(upstream.name).in_flight
            return Prospect(upstream, predicted_s, service_s * ratio, in_flight), demand

        def send(prospect: Prospect) -> None:
            self._send(call, instance, prospect, assess()[1])

        def refuse(retry_after_s: float, detail: str = "") -> None:
            self._refuse(call, retry_after_s * (0.75 + 0.5 * self.random.random()))

        prospect, _ = assess()
        if not self.waits:
            decision = decide_admission(
                prospect.predicted_s, prospect.service_time_s, kind.objective_s, deadline_s
            )
            if isinstance(decision, Declined):
                refuse(decision.retry_after_s)
            else:
                send(prospect)
            return
        deadline = timedelta(seconds=deadline_s)
        spent = self._deadlines[instance].record(kind.name, deadline, received_at)
        request = WaitingRequest(
            owner.name if self.is_keyed else "s",
            "s",
            kind.priority,
            timedelta(seconds=kind.objective_s),
            received_at - spent,
            received_at + deadline,
            lambda: assess()[0],
            send,
            refuse,
            lambda: None,
        )
        slots = SLOTS if self.is_keyed else SLOTS * UPSTREAMS
        limit = queue_limit(slots, kind.objective_s, prospect.service_time_s, INSTANCES)
        self._rooms[instance].enter(request, prospect, limit)

    def _send(self, call: Call, instance: int, prospect: Prospect, demand: Demand) -> None:
        tracker, upstream, sent_s = self.trackers[instance], prospect.upstream, self.now_s
        load = tracker.load_of(upstream.name)
        load.own_in_flight += 1
        relative_time = demand.relative_time(upstream, load.in_flight)

        def on_answer(has_run: bool) -> None:
            load.own_in_flight -= 1
            answer_s = self.now_s - sent_s
            service_s = answer_s / relative_time if has_run else 0.0
            if has_run and relative_time == demand.work_ratio:
                median_s = median_service_time(tracker.load_of(u.name) for u in self.upstreams)
                slowness = max(load.service_time_s, median_s / 2) / median_s
                self.work_times[instance].record("s", call.kind.name, answer_s / slowness)
            tracker.record_answer(
                upstream.name,
                self._now(),
                service_time_s=service_s if has_run else None,
                declined=not has_run,
            )
            self.leader.load_of(upstream.name).record_answers(
                int(has_run), int(not has_run), service_s, self._now()
            )
            if has_run:
                self._answer(call)
            else:
                self._refuse(call, 0.04)
            self._rooms[instance].look_at(upstream.name if self.is_keyed else "s")

        remaining_s = call.kind.deadline_s - (self.now_s - call.started_s)
        self._later(0.001, lambda: self._serve(upstream.name, call, remaining_s, on_answer))
