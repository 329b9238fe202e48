"""Choice of a target by requests in flight, latency and data centre."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..clocks import Clock
from ..routing import Service, Target
from .interfaces import OpenTargets
from .subset import choose_subset, subset_size

__all__ = ["LatencyClassChooser"]

# Time constant of the moving average of a target's latency.
LATENCY_DECAY_TIME = timedelta(seconds=5)
# Minimum time step of that average, so that simultaneous samples count as well.
MIN_LATENCY_STEP = timedelta(milliseconds=10)
# Window of the moving average of a service's latency, in answers.
MAX_AVERAGED_ANSWERS = 64
# Time without an answer after which a slow target is tried again.
RETRY_INTERVAL = timedelta(seconds=10)
# Maximum number of randomly drawn targets that one choice compares.
MAX_DRAWN_TARGETS = 16
# Number of random draws after which a choice stops drawing, and scans the whole subset if no
# target was found.
MAX_DRAWS = 4 * MAX_DRAWN_TARGETS


@dataclass(slots=True)
class _Latency:
    """Exponential moving average of a latency.

    Attributes
    ----------
    average_seconds : float
        Average in seconds; 0 before the first sample.
    updated_at : float
        Time of the last sample in seconds.
    """

    average_seconds: float = 0.0
    updated_at: float = 0.0

    def add_sample(self, seconds: float, now: float) -> None:
        if not self.average_seconds:
            self.average_seconds = seconds
        else:
            step = max(now - self.updated_at, MIN_LATENCY_STEP.total_seconds())
            weight = 1.0 - math.exp(-step / LATENCY_DECAY_TIME.total_seconds())
            self.average_seconds += weight * (seconds - self.average_seconds)
        self.updated_at = now


@dataclass(slots=True)
class _TargetRecord:
    """Requests of this instance to one target.

    Attributes
    ----------
    in_flight : int
    latency : _Latency
    slowdown : float
        Power of two by which the target is slower than the service on average; at least 1.
    """

    in_flight: int = 0
    latency: _Latency = field(default_factory=_Latency)
    slowdown: float = 1.0

    def estimated_load(self, now: float) -> float:
        """Return the estimated load by which targets are compared."""
        is_retry = (
            not self.in_flight and now > self.latency.updated_at + RETRY_INTERVAL.total_seconds()
        )
        return 1.0 if is_retry else (self.in_flight + 1) * self.slowdown


@dataclass(slots=True)
class _ServiceState:
    """Targets of one service and their records.

    Attributes
    ----------
    service : Service
    size : int
        Size of the subset, as computed when it was chosen.
    subset : tuple of Target
        Targets that this instance uses.
    records : dict of str to _TargetRecord
        Records by target name.
    mean_latency_seconds : float
        Moving average of the latency over all targets, in seconds; 0 before the first answer.
    answer_count : int
        Number of answers so far, at most `MAX_AVERAGED_ANSWERS`.
    """

    service: Service
    size: int
    subset: tuple[Target, ...]
    records: dict[str, _TargetRecord]
    mean_latency_seconds: float = 0.0
    answer_count: int = 0


class LatencyClassChooser:
    """Chooser of the least loaded target, weighted by classes of latency.

    Parameters
    ----------
    clock : Clock
    targets : OpenTargets
    instance, data_centre : str
        Name and data centre of this entry instance.
    live_instances : callable
        Returns the number of live entry instances, including this one.
    random_source : random.Random

    Notes
    -----
    The estimated load of a target is the number of its requests in flight plus one, times the
    largest power of two by which its average latency exceeds that of the service. Ties are
    resolved in favour of the own data centre, then at random. Targets of similar latency fall
    into one class, so that noise in the latency does not send requests to other data centres,
    and a slow target gets a correspondingly smaller share. The measured latency includes the
    effect of the requests of other instances, so the load of the target need not be read. A
    target gets at most this instance's share of its connections. In a larger subset, at most
    `MAX_DRAWN_TARGETS` random targets are compared, a generalisation of the power of two choices
    [1]_. The whole subset is scanned only if no drawn target may take the request, and all other
    targets only if no target of the subset may.

    References
    ----------
    .. [1] M. Mitzenmacher, The power of two choices in randomized load balancing, 2001.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        targets: OpenTargets,
        instance: str,
        data_centre: str,
        live_instances: Callable[[], int],
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._targets = targets
        self._instance = instance
        self._data_centre = data_centre
        self._live_instances = live_instances
        self._random = random_source
        self._states: dict[str, _ServiceState] = {}

    def choose(self, service: Service, excluded: frozenset[str]) -> Target | None:
        """Return a target that may take another request and isn't excluded, or None."""
        instances = max(1, self._live_instances())
        state = self._current_state(service, instances)
        max_in_flight = max(1, service.max_connections_per_target // instances)
        now = self._clock.now().total_seconds()
        best = None
        best_rank = (0.0, False, 0.0)
        for target in self._candidates(state, excluded, max_in_flight):
            record = state.records.get(target.name)
            load = 1.0 if record is None else record.estimated_load(now)
            rank = (load, target.data_centre != self._data_centre, self._random.random())
            if best is None or rank < best_rank:
                best, best_rank = target, rank
        return best

    def request_started(self, service: str, target: str) -> None:
        """Record that a request to a target was started."""
        record = self._record(service, target)
        if record is not None:
            record.in_flight += 1

    def request_ended(self, service: str, target: str, latency: timedelta, answered: bool) -> None:
        """Record that a request to a target ended.

        Notes
        -----
        The latency of a request without an answer counts only if it exceeds the target's average:
        a quick refusal must not make a target look fast.
        """
        record = self._record(service, target)
        if record is None:
            return
        record.in_flight = max(0, record.in_flight - 1)
        seconds = latency.total_seconds()
        if not answered and seconds <= record.latency.average_seconds:
            return
        record.latency.add_sample(seconds, self._clock.now().total_seconds())
        state = self._states[service]
        state.answer_count = min(state.answer_count + 1, MAX_AVERAGED_ANSWERS)
        state.mean_latency_seconds += (seconds - state.mean_latency_seconds) / state.answer_count
        record.slowdown = _latency_class(record.latency.average_seconds, state.mean_latency_seconds)

    def _record(self, service: str, target: str) -> _TargetRecord | None:
        state = self._states.get(service)
        return None if state is None else state.records.setdefault(target, _TargetRecord())

    def _current_state(self, service: Service, instances: int) -> _ServiceState:
        state = self._states.get(service.name)
        size = subset_size(len(service.targets), instances)
        if state is not None and state.service is service and size <= state.size <= 2 * size:
            return state
        subset = choose_subset(service, self._instance, self._data_centre, size)
        names = {target.name for target in service.targets}
        previous_records = {} if state is None else state.records
        records = {name: record for name, record in previous_records.items() if name in names}
        new_state = _ServiceState(service, size, subset, records)
        if state is not None:
            new_state.mean_latency_seconds, new_state.answer_count = (
                state.mean_latency_seconds,
                state.answer_count,
            )
        self._states[service.name] = new_state
        return new_state

    def _candidates(
        self, state: _ServiceState, excluded: frozenset[str], max_in_flight: int
    ) -> list[Target]:
        subset = state.subset
        if len(subset) > MAX_DRAWN_TARGETS:
            found = self._draw_targets(state, excluded, max_in_flight)
            if found:
                return found
        found = [
            target for target in subset if self._may_receive(state, target, excluded, max_in_flight)
        ]
        if found or len(subset) == len(state.service.targets):
            return found
        return [
            target
            for target in state.service.targets
            if self._may_receive(state, target, excluded, max_in_flight)
        ]

    def _draw_targets(
        self, state: _ServiceState, excluded: frozenset[str], max_in_flight: int
    ) -> list[Target]:
        """Return random targets of the subset that may take another request.

        Every second draw is from the targets of the own data centre at the head of the subset, if
        there are any.
        """
        local_targets = [
            t for t in state.subset[:MAX_DRAWN_TARGETS] if t.data_centre == self._data_centre
        ]
        found: dict[str, Target] = {}
        for i in range(MAX_DRAWS):
            source = local_targets if i % 2 and local_targets else state.subset
            target = source[int(self._random.random() * len(source))]
            if target.name not in found and self._may_receive(
                state, target, excluded, max_in_flight
            ):
                found[target.name] = target
                if len(found) == MAX_DRAWN_TARGETS:
                    break
        return list(found.values())

    def _may_receive(
        self, state: _ServiceState, target: Target, excluded: frozenset[str], max_in_flight: int
    ) -> bool:
        if target.name in excluded:
            return False
        record = state.records.get(target.name)
        if record is not None and record.in_flight >= max_in_flight:
            return False
        return self._targets.takes_new_work(state.service.name, target.name)


def _latency_class(latency: float, mean: float) -> float:
    """Return the largest power of two by which a latency exceeds the mean, at least 1."""
    if latency <= mean or mean <= 0.0:
        return 1.0
    return 2.0 ** math.floor(math.log2(latency / mean))
