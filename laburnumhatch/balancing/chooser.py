"""Choice of targets by their requests in flight."""

import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from ..membership import TargetView
from ..routing import Service, Target

__all__ = ["TwoChoices"]


class TwoChoices:
    """The less busy of two random targets.

    Parameters
    ----------
    targets : TargetView
    data_centre : str
        Data centre of this instance.
    live_instances : callable
        Returns the number of live entry instances, this one included.
    random_source : random.Random
    """

    def __init__(
        self,
        *,
        targets: TargetView,
        data_centre: str,
        live_instances: Callable[[], int],
        random_source: random.Random,
    ) -> None:
        self._targets = targets
        self._data_centre = data_centre
        self._live_instances = live_instances
        self._random = random_source
        self._in_flight: Counter[tuple[str, str]] = Counter()

    def choose(self, service: Service, excluded: frozenset[str]) -> Target | None:
        """Return a target with room that isn't excluded, or None."""
        room = service.target_connections // max(1, self._live_instances()) or 1
        usable = [
            target
            for target in service.targets
            if target.name not in excluded
            and self._in_flight[service.name, target.name] < room
            and self._targets.takes_new_work(service.name, target.name)
        ]
        if not usable:
            return None
        drawn = self._random.sample(usable, min(2, len(usable)))
        return min(drawn, key=lambda target: self._rank(service.name, target))

    def request_started(self, service: str, target: str) -> None:
        """Note that a request to a target is in flight."""
        self._in_flight[service, target] += 1

    def request_ended(self, service: str, target: str, latency: timedelta, answered: bool) -> None:
        """Note that a request to a target is over."""
        self._in_flight[service, target] -= 1

    def _rank(self, service: str, target: Target) -> tuple[int, bool]:
        return self._in_flight[service, target.name], target.data_centre != self._data_centre
