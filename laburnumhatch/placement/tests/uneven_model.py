"""Load models with upstreams that differ in speed, slow down at times, or before they are full."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial

from ...fleet import Upstream, UpstreamIncarnation
from ...keyspace.service_leases import rebalance
from ..capacities import serving_capacities
from ..concurrency import ConcurrencyEstimate, ConcurrencyEstimator
from .keyed_model import KEY_COUNT, KeyedModel
from .load_model import NETWORK_DELAY_S, REPORT_INTERVAL_S, Call, Kind, LoadModel

__all__ = ["RULES", "SPEEDS", "UnevenKeyedModel", "UnevenModel"]

# What the decisions know: smoothed service times, estimates, or the true speeds and limits.
RULES = ("smoothed", "estimated", "known")
SPEEDS = (0.5, 1.0, 1.6, 0.7, 1.2, 0.9, 1.4)
# Periods within which an upstream takes longer: length, share and factor.
NOISE_PERIOD_S = 0.4
NOISE_SHARE = 0.2
NOISE_FACTOR = 3.0
# Factor on the work of a request that starts while more than half of the slots are busy, at an
# upstream that slows down before it is full.
SLOW_DOWN_FACTOR = 5.0


class UnevenModel(LoadModel):
    """Load model of uneven upstreams.

    Attributes
    ----------
    rule : str
        One of `RULES`.
    slowing : dict of str to (float, float)
        When each upstream that slows down before it is full does so, in seconds.
    limits_seen : list of (float, str, int)
        Limits that were in force, by time in seconds and upstream.
    """

    rule = "smoothed"

    def prepare(self, rule: str, slowing: dict[str, tuple[float, float]], seed: int) -> None:
        """Choose what the decisions know and which upstreams slow down."""
        self.rule, self.slowing, self.noise_seed = rule, slowing, seed
        self.estimator = ConcurrencyEstimator()
        self.limits_seen: list[tuple[float, str, int]] = []
        self.by_name = {u.name: u for u in self.upstreams}
        for tracker in self.trackers:
            tracker.timings.is_enabled = rule == "estimated"
        self._later(REPORT_INTERVAL_S * 0.9, self._share_estimates)

    def _is_noisy(self, name: str) -> bool:
        period = int(self.now_s / NOISE_PERIOD_S + hash_of(name))
        return hash_of(f"{self.noise_seed} {name} {period}") < NOISE_SHARE

    def _is_slowing(self, name: str) -> bool:
        first_s, last_s = self.slowing.get(name, (0.0, 0.0))
        return first_s <= self.now_s < last_s

    def _place(self, call: Call, instance: int) -> None:
        call.instance = instance
        super()._place(call, instance)

    def _serve(
        self, name: str, call: Call, remaining_s: float, on_answer: Callable[[bool], None]
    ) -> None:
        server, timings = self.servers[name], self.trackers[call.instance].timings
        sent_at = self._now() - timedelta(seconds=NETWORK_DELAY_S)
        timings.note_sent(name, sent_at, 1.0)

        def answered(has_run: bool) -> None:
            timings.note_ended(name, sent_at, self._now() if has_run else None)
            on_answer(has_run)

        def start() -> None:
            server.running += 1
            spread = call.kind.spread
            work_s = call.kind.work_s / server.speed
            work_s *= self.random.lognormvariate(-(spread**2) / 2, spread)
            if self._is_noisy(name):
                work_s *= NOISE_FACTOR
            if self._is_slowing(name) and server.running > server.upstream.slots / 2:
                work_s *= SLOW_DOWN_FACTOR
            self._later(work_s, end)

        def end() -> None:
            server.running -= 1
            if server.queue:
                server.queue.popleft()()
            self._later(NETWORK_DELAY_S, partial(answered, True))

        if server.running < server.upstream.slots:
            start()
        elif len(server.queue) < server.queue_limit:
            server.queue.append(start)
        else:
            self._later(NETWORK_DELAY_S, partial(answered, False))

    def _share_estimates(self) -> None:
        self._later(REPORT_INTERVAL_S, self._share_estimates)
        estimates: dict[str, ConcurrencyEstimate] = {}
        if self.rule == "estimated":
            for number, tracker in enumerate(self.trackers):
                timings = tracker.timings.collect(self._now())
                for times in timings:
                    upstream = self.by_name[times.name]
                    self.estimator.add(str(number), upstream, times.answered, times.running)
                self.estimator.end_report(str(number), {times.name for times in timings})
            estimates = self.estimator.evaluate(self.by_name, self._now())
        elif self.rule == "known":
            noise = 1.0 + NOISE_SHARE * (NOISE_FACTOR - 1.0)
            for name, server in self.servers.items():
                limit = server.upstream.slots // 2 if self._is_slowing(name) else 0
                time_s = self.kinds[0].work_s / server.speed * noise
                estimates[name] = ConcurrencyEstimate(time_s, limit)
        for name, estimate in estimates.items():
            if estimate.limit:
                self.limits_seen.append((self.now_s, name, estimate.limit))
            for tracker in (*self.trackers, self.leader):
                tracker.set_estimate(name, estimate)


class UnevenKeyedModel(KeyedModel, UnevenModel):
    """Load model of uneven upstreams that own keys, with ranges of busy keys.

    Attributes
    ----------
    hot_ranges : list of (float, float, int, int, float)
        Begin and end in seconds, first key, number of keys and share of the requests.
    move_times : list of float
        When each move of keys began, in seconds.
    """

    hot_ranges: list[tuple[float, float, int, int, float]] = []

    def prepare(self, rule: str, slowing: dict[str, tuple[float, float]], seed: int) -> None:
        super().prepare(rule, slowing, seed)
        self.move_times: list[float] = []

    def _place(self, call: Call, instance: int) -> None:
        call.instance = instance
        for first_s, last_s, key, width, share in self.hot_ranges:
            if first_s <= call.started_s < last_s and self.random.random() < share:
                call.key = (key + self.random.randrange(width)) % KEY_COUNT
        super()._place(call, instance)

    def _rebalance(self, capacities: dict[UpstreamIncarnation, float], now: timedelta) -> None:
        moves = rebalance(self.leases, capacities, now, spreads_ranges=self.rule != "smoothed")
        self.move_times.extend(self.now_s for _ in moves)

    def _capacity(self, upstream: Upstream) -> float:
        if upstream is self.upstreams[0] or not hasattr(self, "_capacities"):
            self._capacities = serving_capacities(self.upstreams, self.leader, self._now())
        return self._capacities[upstream.incarnation]


def hash_of(text: str) -> float:
    """Return a number from 0 to 1 that depends on a text only."""
    value = 14_695_981_039_346_656_037
    for byte in text.encode():
        value = (value ^ byte) * 1_099_511_628_211 % 2**64
    value ^= value >> 33
    value = value * 0xFF51AFD7ED558CCD % 2**64
    return (value >> 11) / 2**53


def uneven_model(
    kind: Kind, rule: str, seed: int, slowing: dict[str, tuple[float, float]], *, is_keyed: bool
) -> UnevenModel:
    """Return a model of 16 instances and 28 upstreams with 4 slots."""
    if is_keyed:
        model: UnevenModel = UnevenKeyedModel(seed, 16, 28, 4, [kind], [], speeds=SPEEDS)
    else:
        model = UnevenModel(seed, 16, 28, 4, [kind], SPEEDS, 16, reserves=False)
    model.prepare(rule, slowing, seed)
    return model
