"""Baseline policies that the chooser of targets in `balancing` is compared with."""

import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import xxhash

from ..balancing import OpenTargets
from ..routing import Service, Target

__all__ = [
    "LeastOutstanding",
    "ProbedChoice",
    "RandomChoice",
    "RoundRobin",
    "SubsetChoice",
    "TwoChoices",
]

PROBES_PER_REQUEST = 2
MAX_READINGS = 16
HOT_QUANTILE = 0.75


class RandomChoice:
    """Choose uniformly at random among the targets that take new work."""

    def __init__(self, *, targets: OpenTargets, random_source: random.Random) -> None:
        self._targets = targets
        self._random = random_source
        self._in_flight: Counter[str] = Counter()

    def choose(self, service: Service, excluded: frozenset[str]) -> Target | None:
        """Return a target, or None if no target takes new work."""
        usable = self._usable(service, excluded)
        return self._pick(usable) if usable else None

    def request_started(self, service: str, target: str) -> None:
        """Add one to the requests in flight at the target."""
        self._in_flight[target] += 1

    def request_ended(self, service: str, target: str, latency: timedelta, answered: bool) -> None:
        """Subtract one from the requests in flight at the target."""
        self._in_flight[target] -= 1

    def _usable(self, service: Service, excluded: frozenset[str]) -> list[Target]:
        return [
            target
            for target in service.targets
            if target.name not in excluded
            and self._targets.takes_new_work(service.name, target.name)
        ]

    def _pick(self, usable: list[Target]) -> Target:
        return self._random.choice(usable)


class RoundRobin(RandomChoice):
    """Choose the targets in rotation, starting with a random one."""

    def __init__(self, *, targets: OpenTargets, random_source: random.Random) -> None:
        super().__init__(targets=targets, random_source=random_source)
        self._next = random_source.randrange(1000)

    def _pick(self, usable: list[Target]) -> Target:
        self._next += 1
        return usable[self._next % len(usable)]


class LeastOutstanding(RandomChoice):
    """Choose the target with the fewest requests of this instance in flight.

    Among equals, targets in the instance's own data centre are preferred.
    """

    def __init__(
        self, *, targets: OpenTargets, random_source: random.Random, data_centre: str
    ) -> None:
        super().__init__(targets=targets, random_source=random_source)
        self._data_centre = data_centre

    def _pick(self, usable: list[Target]) -> Target:
        return min(
            usable,
            key=lambda target: (
                self._in_flight[target.name],
                target.data_centre != self._data_centre,
                self._random.random(),
            ),
        )


class TwoChoices(LeastOutstanding):
    """Choose the less loaded of two random targets.

    References
    ----------
    .. [1] M. Mitzenmacher, The power of two choices in randomized load balancing, 2001.
    """

    def _usable(self, service: Service, excluded: frozenset[str]) -> list[Target]:
        usable = super()._usable(service, excluded)
        return self._random.sample(usable, min(2, len(usable)))


class SubsetChoice(LeastOutstanding):
    """Choose the least loaded target of a subset that each instance selects for itself.

    The subset holds the first `size` usable targets in the order of a hash of the names of
    instance and target.

    References
    ----------
    .. [1] B. Beyer et al., Site Reliability Engineering, chapter 20, 2016.
    """

    def __init__(
        self,
        *,
        targets: OpenTargets,
        random_source: random.Random,
        data_centre: str,
        instance: str,
        size: int,
    ) -> None:
        super().__init__(targets=targets, random_source=random_source, data_centre=data_centre)
        self._instance = instance
        self._size = size

    def _usable(self, service: Service, excluded: frozenset[str]) -> list[Target]:
        usable = super()._usable(service, excluded)
        usable.sort(key=lambda t: xxhash.xxh3_64_intdigest(f"{self._instance}/{t.name}".encode()))
        return usable[: self._size]


class ProbedChoice(RandomChoice):
    """Choose by load readings that were requested before the request arrived.

    Notes
    -----
    A target is hot if the requests in flight of its last reading are among the highest quarter.
    The chosen target is the cold one with the lowest latency, or the one with the fewest
    requests in flight if all are hot [1]_.

    References
    ----------
    .. [1] B. Wydrowski et al., Load is not what you should balance: Introducing Prequal,
       NSDI 2024.
    """

    def __init__(
        self,
        *,
        targets: OpenTargets,
        random_source: random.Random,
        probe_load: Callable[[Target], None],
    ) -> None:
        super().__init__(targets=targets, random_source=random_source)
        self._probe_load = probe_load
        self._readings: dict[str, tuple[int, float]] = {}

    def choose(self, service: Service, excluded: frozenset[str]) -> Target | None:
        """Return a target, or None, and request further readings."""
        for target in self._random.sample(service.targets, PROBES_PER_REQUEST):
            self._probe_load(target)
        return super().choose(service, excluded)

    def record_load(self, target: str, in_flight: int, latency: float) -> None:
        """Store a reading: the requests in flight and the recent latency in seconds."""
        self._readings.pop(target, None)
        self._readings[target] = (in_flight, latency)
        if len(self._readings) > MAX_READINGS:
            del self._readings[next(iter(self._readings))]

    def _pick(self, usable: list[Target]) -> Target:
        known = [target for target in usable if target.name in self._readings]
        if not known:
            return self._random.choice(usable)
        busy = sorted(self._readings[target.name][0] for target in known)
        limit = busy[int(HOT_QUANTILE * (len(busy) - 1))]
        cold = [target for target in known if self._readings[target.name][0] <= limit]
        best = min(cold, key=lambda target: self._rank(target, limit))
        in_flight, latency = self._readings[best.name]
        self._readings[best.name] = (in_flight + 1, latency)
        return best

    def _rank(self, target: Target, limit: int) -> tuple[float, float]:
        in_flight, latency = self._readings[target.name]
        return (latency, in_flight) if in_flight < limit else (float("inf"), in_flight)
