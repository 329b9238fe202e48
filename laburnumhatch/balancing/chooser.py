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
LATENCY_MEMORY = timedelta(seconds=5)
# Minimum time step of that average, so that simultaneous samples count as well.
SHORTEST_STEP = timedelta(milliseconds=10)
# Window of the moving average of a service's latency, in answers.
USUAL_ANSWERS = 64
# Time without an answer after which a slow target is tried again.
RETEST_AFTER = timedelta(seconds=10)
# Maximum number of randomly drawn targets that one choice compares.
COMPARED = 16
# Number of random draws after which a choice stops drawing, and scans the whole subset if no
# target was found.
DRAWS_LIMIT = 4 * COMPARED


@dataclass(slots=True)
class _Latency:
    """Exponential moving average of a latency.

    Attributes
    ----------
    value : float
        Average in seconds; 0 before the first sample.
    updated : float
        Time of the last sample in seconds.
    """

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
    """Requests of this instance to one target.

    Attributes
    ----------
    in_flight : int
    latency : _Latency
    slowness : float
        Power of two by which the target is slower than the service on average; at least 1.
    """

    in_flight: int = 0
    latency: _Latency = field(default_factory=_Latency)
    slowness: float = 1.0

    def busy(self, now: float) -> float:
        """Return the estimated load by which targets are compared."""
        retest = not self.in_flight and now > self.latency.updated + RETEST_AFTER.total_seconds()
        return 1.0 if retest else (self.in_flight + 1) * self.slowness


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
    records : dict of str to _Record
        Records by target name.
    usual_latency : float
        Moving average of the latency over all targets, in seconds; 0 before the first answer.
    answers : int
        Number of answers so far, at most `USUAL_ANSWERS`.
    """

    service: Service
    size: int
    subset: tuple[Target, ...]
    records: dict[str, _Record]
    usual_latency: float = 0.0
    answers: int = 0


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
    target gets at most this instance's share of its connections. To choose among many targets,
    at most `COMPARED` random ones are compared, as a generalisation of the power of two choices
    [1]_; only if none of the draws is free is the whole subset, and then the service, scanned.

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
        """Return random targets of the subset that may take another request.

        Every second draw is from the targets of the own data centre at the head of the subset, if
        there are any.
        """
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
    """Return the largest power of two by which a latency exceeds the usual one, at least 1."""
    if latency <= usual or usual <= 0.0:
        return 1.0
    return 2.0 ** math.floor(math.log2(latency / usual))
