"""Choice of targets by requests in flight, latency and data centre."""

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

LATENCY_MEMORY = timedelta(seconds=5)
SHORTEST_STEP = timedelta(milliseconds=10)
# Answers over which the usual latency of a service is smoothed.
USUAL_ANSWERS = 64
# Time without an answer after which a slow target is tried again.
RETEST_AFTER = timedelta(seconds=10)
# Targets that one choice compares.
COMPARED = 16
# Draws after which a choice scans the whole subset.
DRAWS_LIMIT = 4 * COMPARED


@dataclass(slots=True)
class _Latency:
    """Smoothed latency in seconds; 0 before the first answer."""

    value: float = 0.0
    updated: float = 0.0

    def note(self, seconds: float, now: float) -> None:
        if not self.value:
            self.value = seconds
        else:
            step = max(now - self.updated, SHORTEST_STEP.total_seconds())
            weight = 1.0 - math.exp(-step / LATENCY_MEMORY.total_seconds())
            self.value += weight * (seconds - self.value)
        self.updated = now


@dataclass(slots=True)
class _Record:
    """What this instance saw of one target."""

    in_flight: int = 0
    latency: _Latency = field(default_factory=_Latency)
    # Power of two by which the target is slower than the service's usual one.
    slowness: float = 1.0

    def busy(self, now: float) -> float:
        """Return the number that targets are compared by."""
        retest = not self.in_flight and now > self.latency.updated + RETEST_AFTER.total_seconds()
        return 1.0 if retest else (self.in_flight + 1) * self.slowness


@dataclass(slots=True)
class _ServiceState:
    """Targets of one service, and what this instance saw of them."""

    service: Service
    size: int
    subset: tuple[Target, ...]
    records: dict[str, _Record]
    # Smoothed over the answers of all targets, seconds; 0 before the first.
    usual_latency: float = 0.0
    answers: int = 0


class LatencyClassChooser:
    """The least busy of the targets that are about equally fast; near ones first.

    Parameters
    ----------
    clock : Clock
    targets : OpenTargets
    instance, data_centre : str
        Name and data centre of this entry instance.
    live_instances : callable
        Returns the number of live entry instances, this one included.
    random_source : random.Random

    Notes
    -----
    Targets are compared by requests in flight plus one, times a power of two by which their
    smoothed latency exceeds the usual one of the service; ties go to the own data centre, then
    to a random target. Equally fast targets fall into one class, so that noise in the latency
    doesn't send requests far away, and a slow one gets its share less. Latency seen from here
    holds what the other instances send there, so no reading of the target's load is needed.
    A target gets no more requests than this instance's share of its connections. A choice
    compares `COMPARED` targets at most, whatever the size of the service.

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
        """Return a target with room that isn't excluded, or None."""
        instances = max(1, self._live_instances())
        state = self._follow(service, instances)
        room = max(1, service.target_connections // instances)
        now = self._clock.now().total_seconds()
        best = None
        best_rank = (0.0, False, 0.0)
        for target in self._candidates(state, excluded, room):
            record = state.records.get(target.name)
            busy = 1.0 if record is None else record.busy(now)
            rank = (busy, target.data_centre != self._data_centre, self._random.random())
            if best is None or rank < best_rank:
                best, best_rank = target, rank
        return best

    def request_started(self, service: str, target: str) -> None:
        """Note that a request to a target is in flight."""
        record = self._record(service, target)
        if record is not None:
            record.in_flight += 1

    def request_ended(self, service: str, target: str, latency: timedelta, answered: bool) -> None:
        """Note that a request to a target is over.

        Notes
        -----
        A request without an answer counts with its latency only where that is above the
        target's usual one: a quick refusal doesn't make a target look fast.
        """
        record = self._record(service, target)
        if record is None:
            return
        record.in_flight = max(0, record.in_flight - 1)
        seconds = latency.total_seconds()
        if not answered and seconds <= record.latency.value:
            return
        record.latency.note(seconds, self._clock.now().total_seconds())
        state = self._states[service]
        state.answers = min(state.answers + 1, USUAL_ANSWERS)
        state.usual_latency += (seconds - state.usual_latency) / state.answers
        record.slowness = _power_of_two(record.latency.value, state.usual_latency)

    def _record(self, service: str, target: str) -> _Record | None:
        state = self._states.get(service)
        return None if state is None else state.records.setdefault(target, _Record())

    def _follow(self, service: Service, instances: int) -> _ServiceState:
        state = self._states.get(service.name)
        size = subset_size(len(service.targets), instances)
        if state is not None and state.service is service and size <= state.size <= 2 * size:
            return state
        subset = choose_subset(service, self._instance, self._data_centre, size)
        names = {target.name for target in service.targets}
        kept = {} if state is None else state.records
        records = {name: record for name, record in kept.items() if name in names}
        followed = _ServiceState(service, size, subset, records)
        if state is not None:
            followed.usual_latency, followed.answers = state.usual_latency, state.answers
        self._states[service.name] = followed
        return followed

    def _candidates(
        self, state: _ServiceState, excluded: frozenset[str], room: int
    ) -> list[Target]:
        subset = state.subset
        if len(subset) > COMPARED:
            found = self._draw(state, excluded, room)
            if found:
                return found
        found = [target for target in subset if self._has_room(state, target, excluded, room)]
        if found or len(subset) == len(state.service.targets):
            return found
        return [
            target
            for target in state.service.targets
            if self._has_room(state, target, excluded, room)
        ]

    def _draw(self, state: _ServiceState, excluded: frozenset[str], room: int) -> list[Target]:
        """Return some random targets of the subset; half of the draws fall on its near part."""
        near = [t for t in state.subset[:COMPARED] if t.data_centre == self._data_centre]
        found: dict[str, Target] = {}
        for i in range(DRAWS_LIMIT):
            part = near if i % 2 and near else state.subset
            target = part[int(self._random.random() * len(part))]
            if target.name not in found and self._has_room(state, target, excluded, room):
                found[target.name] = target
                if len(found) == COMPARED:
                    break
        return list(found.values())

    def _has_room(
        self, state: _ServiceState, target: Target, excluded: frozenset[str], room: int
    ) -> bool:
        if target.name in excluded:
            return False
        record = state.records.get(target.name)
        if record is not None and record.in_flight >= room:
            return False
        return self._targets.takes_new_work(state.service.name, target.name)


def _power_of_two(latency: float, usual: float) -> float:
    """Return the largest power of two by which a latency exceeds the usual one; 1 at least."""
    if latency <= usual or usual <= 0.0:
        return 1.0
    return 2.0 ** math.floor(math.log2(latency / usual))
