"""Estimates of how fast each upstream is and how many concurrent requests it takes well.

The requests of all instances are merged at the leader. The number in flight when a request was sent
is counted afterwards, from the times when each was sent and answered: an instance learns of the
others' requests later than a request takes.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp, log

from ..clocks import milliseconds
from ..fleet import Upstream, UpstreamIncarnation

__all__ = ["ConcurrencyEstimate", "ConcurrencyEstimator", "TimedRequest"]

# Time after an answer before its time is used, so that the requests beside it have been reported.
SETTLING_TIME = milliseconds(300)
# Time for which answers are kept, to count the requests in flight beside others.
HISTORY = milliseconds(4000)
# Number of answers, and their half-life, from which the time of an unloaded upstream is estimated.
# Speeds persist while an upstream lives, and noise lasts 400 ms.
MAX_TIMES = 80
TIMES_HALF_LIFE = milliseconds(8000)
# The mean is taken of the answers up to this multiple of a quantile. Those of slow periods are
# longer, and their share varies.
QUANTILE = 0.4
USUAL_FACTOR = 1.9
# Number of the last answers, and the time that they span at least, of which a mean that differs by
# the factor from that of the others shows that the upstream has changed.
CHANGE_ANSWERS = 12
CHANGE_SPAN = milliseconds(1200)
CHANGE_FACTOR = 1.6
# Number of answers for which the service's median, or an estimate of a former leader, counts, so
# that one or two answers of unusual length don't decide.
PRIOR_ANSWERS = 1.5
ADOPTED_ANSWERS = 6.0
# Bounds of the ratio of the mean time to the estimated time, and the weight of one answer in
# the smoothed ratio.
MIN_MEAN_RATIO = 1.0
MAX_MEAN_RATIO = 2.0
MEAN_RATIO_WEIGHT = 0.002
# Largest multiple of the estimated time as which an answer counts in that ratio. Longer times tell
# of a limit that isn't found yet.
MAX_RELATIVE_TIME = 4.0
# Factor on the explained time from which a request counts as slow. Times of single requests vary.
SLOW_FACTOR = 2.1
# Factor from which it counts fully. Noise of three times the usual time mostly counts less.
VERY_SLOW_FACTOR = 3.5
SLOW_WEIGHT = 0.5
# Requests sent within this time count once as evidence, since a short slow period affects them all.
EVIDENCE_INTERVAL = milliseconds(80)
# Requests are evidence for this time after they were sent.
EVIDENCE_WINDOW = milliseconds(3500)
# Evidence at which a limit takes effect. A slow period of 400 ms gives less.
LIMIT_EVIDENCE = 4.0
# The same for a time after the limit has changed.
CONFIRMING_EVIDENCE = 2.0
CONFIRMING_TIME = milliseconds(3000)
# Levels up to which a slow-down is looked for, in multiples of the slots.
LEVELS_PER_SLOT = 2
# Time at a limit before one more request is tried: initial and largest value. It is doubled each
# time that the limit is found again.
INITIAL_PROBE_INTERVAL = milliseconds(2000)
MAX_PROBE_INTERVAL = milliseconds(8000)
# Number of answers at the limit that a probe needs, and their number for each slow one.
MIN_FAST_AT_LIMIT = 3
FAST_FOR_EACH_SLOW = 2
# Shortest answer time that is used, in seconds: less can't be measured.
MIN_ANSWER_TIME_S = 1e-4


@dataclass(slots=True)
class TimedRequest:
    """A request that was sent to an upstream.

    Attributes
    ----------
    sent_at : timedelta
    seen_at : timedelta
        When it was answered or, if it is still running, when that was last known.
    work_ratio : float
        Expected work relative to the mean request of the service.
    in_flight : int
        Requests in flight to the upstream when it was sent, this one included; 0 if not counted.
    """

    sent_at: timedelta
    seen_at: timedelta
    work_ratio: float
    in_flight: int = 0


@dataclass(frozen=True, slots=True)
class ConcurrencyEstimate:
    """What an upstream takes well.

    Attributes
    ----------
    unloaded_s : float
        Mean time of a request of average work while slots are free, in seconds; 0 if unknown.
    limit : int
        Number of concurrent requests beyond which answers take longer than queueing explains; 0 if
        none was found.
    """

    unloaded_s: float = 0.0
    limit: int = 0


@dataclass(slots=True)
class _UpstreamState:
    """Requests to one run of an upstream and what follows from them."""

    incarnation: UpstreamIncarnation
    slots: int
    # Answered requests in the order of their reports, and those among them whose time isn't used.
    answered: deque[TimedRequest] = field(default_factory=deque)
    pending: list[TimedRequest] = field(default_factory=list)
    # Requests without an answer, by the instance that reported them.
    running: dict[str, tuple[TimedRequest, ...]] = field(default_factory=dict)
    # Instant and logarithm of the slot time in seconds.
    log_times: deque[tuple[timedelta, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_TIMES)
    )
    log_time: float | None = None
    # Logarithm of the time that was known before the first answer, and its weight in answers.
    prior: tuple[float, float] | None = None
    limit: int = 0
    limited_at: timedelta = timedelta(days=-1)
    probe_interval: timedelta = INITIAL_PROBE_INTERVAL
    # Whether the limit was last raised, not lowered.
    is_probing: bool = False

    def requests_before(self, sent_at: timedelta) -> int:
        """Return the requests in flight when one was sent, this one included."""
        ended_later = sum(r.sent_at <= sent_at < r.seen_at for r in self.answered)
        running = sum(r.sent_at <= sent_at for rs in self.running.values() for r in rs)
        return ended_later + running

    def relative_log_time(self, request: TimedRequest) -> float:
        """Return the logarithm of the time in seconds over what queueing explains."""
        seconds = (request.seen_at - request.sent_at).total_seconds()
        waiting = max(0.0, request.in_flight / self.slots - 1.0)
        return log(max(seconds, MIN_ANSWER_TIME_S) / (request.work_ratio + waiting))

    def tells_unloaded_time(self, request: TimedRequest, log_time: float) -> bool:
        """Return whether a time within the limit is one of the unloaded upstream.

        Slow requests beside many others may tell of a lower limit instead.
        """
        is_slow = self.log_time is not None and log_time - self.log_time > log(SLOW_FACTOR)
        return not is_slow or request.in_flight <= max(1, self.slots // 2)


class ConcurrencyEstimator:
    """Estimates for the upstreams of all services, from the requests of all instances.

    Notes
    -----
    For each number of requests (level), evidence is gathered that requests are slow if more were in
    flight, and only then. Slow requests at or below the level speak against it: the upstream is
    slow as a whole, which the unloaded time follows.
    """

    def __init__(self) -> None:
        self._states: dict[str, _UpstreamState] = {}
        self._medians: dict[str, float] = {}
        self._mean_ratios: dict[str, float] = {}

    def add(
        self,
        reporter: str,
        upstream: Upstream,
        answered: Iterable[TimedRequest],
        running: Iterable[TimedRequest] = (),
    ) -> None:
        """Add what an instance reports: answers since its last report, and requests that run."""
        state = self._state_of(upstream)
        for request in answered:
            state.answered.append(request)
            state.pending.append(request)
        state.running[reporter] = tuple(running)

    def end_report(self, reporter: str, names: Collection[str]) -> None:
        """Note that an instance has requests in flight to the named upstreams only."""
        for name, state in self._states.items():
            if name not in names:
                state.running.pop(reporter, None)

    def adopt(self, upstream: Upstream, known: ConcurrencyEstimate, now: timedelta) -> None:
        """Begin with the estimate of another instance if no answer is known."""
        state = self._state_of(upstream)
        if state.log_time is None and known.unloaded_s > 0.0:
            state.log_time = log(known.unloaded_s / self._mean_ratios.get(upstream.service, 1.0))
            state.prior = (state.log_time, ADOPTED_ANSWERS)
            state.limit, state.limited_at = known.limit, now

    def evaluate(
        self, upstreams: Mapping[str, Upstream], now: timedelta
    ) -> dict[str, ConcurrencyEstimate]:
        """Evaluate new requests and return the estimate of each upstream with answers, by name."""
        for name, state in list(self._states.items()):
            if name not in upstreams or upstreams[name].incarnation != state.incarnation:
                del self._states[name]
        known: dict[str, list[float]] = {}
        for name, state in self._states.items():
            service = upstreams[name].service
            self._use_answers(service, state, now)
            if state.log_time is not None:
                self._update_limit(state, now)
                known.setdefault(service, []).append(state.log_time)
        self._medians = {s: sorted(times)[len(times) // 2] for s, times in known.items()}
        return {
            name: ConcurrencyEstimate(
                exp(state.log_time) * self._mean_ratios.get(upstreams[name].service, 1.0),
                state.limit,
            )
            for name, state in self._states.items()
            if state.log_time is not None
        }

    def _state_of(self, upstream: Upstream) -> _UpstreamState:
        state = self._states.get(upstream.name)
        if state is None or state.incarnation != upstream.incarnation:
            state = _UpstreamState(upstream.incarnation, upstream.slots)
            self._states[upstream.name] = state
        state.slots = upstream.slots
        return state

    # Time of an unloaded upstream.

    def _use_answers(self, service: str, state: _UpstreamState, now: timedelta) -> None:
        """Update the unloaded time by the answers that have settled."""
        settled = [r for r in state.pending if now - r.seen_at >= SETTLING_TIME]
        if not settled:
            return
        state.pending = [r for r in state.pending if now - r.seen_at < SETTLING_TIME]
        log_times = []
        for request in settled:
            request.in_flight = state.requests_before(request.sent_at)
            if request.in_flight <= min(state.slots, state.limit or state.slots):
                log_times.append(state.relative_log_time(request))
                if state.tells_unloaded_time(request, log_times[-1]):
                    state.log_times.append((request.seen_at, log_times[-1]))
        if state.log_times and log_times:
            state.log_time = self._typical_log_time(service, state, now)
            ratio = self._mean_ratios.get(service, 1.0)
            for log_time in log_times:
                relative = min(exp(log_time - state.log_time), MAX_RELATIVE_TIME)
                ratio += (relative - ratio) * MEAN_RATIO_WEIGHT
            self._mean_ratios[service] = min(max(ratio, MIN_MEAN_RATIO), MAX_MEAN_RATIO)
        while state.answered and now - state.answered[0].seen_at > HISTORY:
            state.answered.popleft()

    def _typical_log_time(self, service: str, state: _UpstreamState, now: timedelta) -> float:
        recent = list(state.log_times)[-CHANGE_ANSWERS:]
        if len(state.log_times) > CHANGE_ANSWERS and recent[-1][0] - recent[0][0] >= CHANGE_SPAN:
            former = list(state.log_times)[:-CHANGE_ANSWERS]
            change = _usual_mean(recent, now)[0] - _usual_mean(former, now)[0]
            if abs(change) > log(CHANGE_FACTOR):
                state.log_times.clear()
                state.log_times.extend(recent)
                state.prior = None
        found, total = _usual_mean(state.log_times, now)
        prior = state.prior
        if prior is None and service in self._medians:
            prior = (self._medians[service], PRIOR_ANSWERS)
        if prior is None:
            return found
        return (found * total + prior[0] * prior[1]) / (total + prior[1])

    # Concurrency limit.

    def _update_limit(self, state: _UpstreamState, now: timedelta) -> None:
        outcomes = self._outcomes(state, now)
        if state.limit:
            # Those sent before the limit changed have been judged with the former one.
            outcomes = [o for o in outcomes if o[0] >= state.limited_at]
        if any(slowness for _, _, slowness in outcomes):
            is_recent = state.limit > 0 and now - state.limited_at < CONFIRMING_TIME
            needed = CONFIRMING_EVIDENCE if is_recent else LIMIT_EVIDENCE
            level, evidence = _best_level(outcomes, state.slots)
            if evidence >= needed and (not state.limit or level < state.limit):
                if state.is_probing:
                    state.probe_interval = min(state.probe_interval * 2, MAX_PROBE_INTERVAL)
                state.limit, state.limited_at, state.is_probing = level, now, False
                return
        if state.limit and now - state.limited_at >= state.probe_interval:
            at_limit = [s > 0.0 for _, in_flight, s in outcomes if in_flight >= state.limit]
            slow = at_limit.count(True)
            if at_limit.count(False) >= max(MIN_FAST_AT_LIMIT, FAST_FOR_EACH_SLOW * slow):
                self._raise_limit(state, now)

    def _outcomes(
        self, state: _UpstreamState, now: timedelta
    ) -> list[tuple[timedelta, int, float]]:
        """Return recent requests in order: when sent, requests in flight, and how slow it is.

        A running request counts once it has become slow.
        """
        assert state.log_time is not None
        outcomes = []
        for request in state.answered:
            if now - request.sent_at > EVIDENCE_WINDOW:
                continue
            if not request.in_flight:
                request.in_flight = state.requests_before(request.sent_at)
            weight = _slowness(state.relative_log_time(request) - state.log_time)
            outcomes.append((request.sent_at, request.in_flight, weight))
        for requests in state.running.values():
            for request in requests:
                if now - request.sent_at > EVIDENCE_WINDOW:
                    continue
                request.in_flight = state.requests_before(request.sent_at)
                weight = _slowness(state.relative_log_time(request) - state.log_time)
                if weight:
                    outcomes.append((request.sent_at, request.in_flight, weight))
        return sorted(outcomes)

    def _raise_limit(self, state: _UpstreamState, now: timedelta) -> None:
        if state.is_probing:
            # The last raise was right, so the upstream has recovered.
            state.probe_interval = INITIAL_PROBE_INTERVAL / 2
        limit = state.limit + 1
        state.limit = limit if limit <= state.slots * LEVELS_PER_SLOT else 0
        state.limited_at, state.is_probing = now, state.limit > 0


def _slowness(log_ratio: float) -> float:
    """Return the weight of a request as evidence of slowness; 0 if it isn't slow."""
    if log_ratio <= log(SLOW_FACTOR):
        return 0.0
    return 1.0 if log_ratio > log(VERY_SLOW_FACTOR) else SLOW_WEIGHT


def _usual_mean(
    log_times: Collection[tuple[timedelta, float]], now: timedelta
) -> tuple[float, float]:
    """Return the weighted mean of the usual times, and the weight of all."""
    weighted = sorted(
        (log_time, 0.5 ** ((now - at) / TIMES_HALF_LIFE)) for at, log_time in log_times
    )
    total = sum(weight for _, weight in weighted)
    anchor, below = weighted[-1][0], 0.0
    for log_time, weight in weighted:
        below += weight
        if below >= total * QUANTILE:
            anchor = log_time
            break
    usual = [(t, weight) for t, weight in weighted if t <= anchor + log(USUAL_FACTOR)]
    return sum(t * weight for t, weight in usual) / sum(weight for _, weight in usual), total


def _best_level(outcomes: list[tuple[timedelta, int, float]], slots: int) -> tuple[int, float]:
    """Return the level with the strongest evidence for a slow-down beyond it, and the evidence.

    Of levels with equal evidence, the one in the middle is returned, but none below half of the
    slots if that is among them: few upstreams slow down earlier.
    """
    levels = range(1, slots * LEVELS_PER_SLOT + 1)
    by_level = {level: _evidence(outcomes, level) for level in levels}
    strongest = max(by_level.values())
    equal = [level for level, evidence in by_level.items() if evidence == strongest]
    middle, half = equal[(len(equal) - 1) // 2], slots // 2
    return max(middle, half) if half in equal else middle, strongest


def _evidence(outcomes: list[tuple[timedelta, int, float]], level: int) -> float:
    """Return the evidence that requests are slow if more than `level` are in flight."""
    evidence, counted_at = 0.0, timedelta(days=-1)
    for sent_at, in_flight, slowness in outcomes:
        is_beyond = in_flight > level
        if is_beyond and slowness:
            if sent_at - counted_at >= EVIDENCE_INTERVAL:
                evidence, counted_at = evidence + slowness, sent_at
        elif is_beyond or slowness:
            evidence = max(0.0, evidence - 1.0)
    return evidence
