"""Periodic probes of the targets that are assigned to this instance."""

import random
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from ..clocks import Cancellable, Clock, milliseconds
from ..routing import Target
from .interfaces import Instance, InstanceView
from .probe import Probe, ProbeOutcome
from .rendezvous import probers_of

__all__ = ["TargetKey", "TargetProber"]

ASSIGN_INTERVAL = milliseconds(1000)
# Minimum time, per live instance, between two probes of a watched target that isn't assigned to
# this instance, so that all instances together probe the target at most 50 times a second.
WATCH_INTERVAL_PER_INSTANCE = milliseconds(20)

# Service name and target name.
TargetKey = tuple[str, str]

_log = logbook.Logger("laburnumhatch.membership")


class TargetProber:
    """Prober of the targets that rendezvous hashing assigns to this instance.

    Parameters
    ----------
    clock : Clock
    own_name : str
        Name of this instance.
    instances : InstanceView
    probe : callable
        Probes one target.
    on_outcome : callable
        Called with the target's key and the `ProbeOutcome` of each probe.
    interval_of : callable
        Takes a target's key; returns the maximum time until its next probe.
    jitter : callable
        Returns a random number in [0, 1); it spreads the probes over time.

    Notes
    -----
    Each target has two probers regardless of the number of instances, so the work of an instance
    grows with the number of targets per instance and not with the total number of targets. The
    assignment is recomputed only when the live instances or the targets change. In addition, an
    instance watches every target that it considers out of service, at an interval that grows
    with the number of instances. Otherwise it might never learn of the recovery: the failure may
    have been visible to this instance alone, and then no other instance reports its end.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        own_name: str,
        instances: InstanceView,
        probe: Probe,
        on_outcome: Callable[[TargetKey, ProbeOutcome], None],
        interval_of: Callable[[TargetKey], timedelta],
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._own_name = own_name
        self._instances = instances
        self._probe = probe
        self._on_outcome = on_outcome
        self._interval_of = interval_of
        self._jitter = jitter
        self._targets: Mapping[TargetKey, Target] = {}
        self._assigned: dict[TargetKey, Target] = {}
        self._watched: set[TargetKey] = set()
        self._assignment_instances: tuple[Instance, ...] | None = None
        self._timers: dict[TargetKey, Cancellable] = {}
        self._assign_timer: Cancellable | None = None
        self._is_running = False

    @property
    def assigned(self) -> tuple[TargetKey, ...]:
        """The keys of the targets that are assigned to this instance, sorted."""
        return tuple(sorted(self._assigned))

    def set_targets(self, targets: Mapping[TargetKey, Target]) -> None:
        """Replace the targets to choose from."""
        self._targets = targets
        self._watched &= targets.keys()
        self._assignment_instances = None
        if self._is_running:
            self._assign()

    def watch(self, key: TargetKey) -> None:
        """Probe a target even if it is not assigned to this instance."""
        self._watched.add(key)
        if self._is_running and key not in self._timers:
            self._schedule(key, self._interval(key))

    def unwatch(self, key: TargetKey) -> None:
        """Probe a target only if it is assigned to this instance."""
        self._watched.discard(key)

    def start(self) -> None:
        """Start probing."""
        self._is_running = True
        self._tick()

    def stop(self) -> None:
        """Stop probing."""
        self._is_running = False
        if self._assign_timer is not None and self._assign_timer.active():
            self._assign_timer.cancel()
        for key in list(self._timers):
            self._cancel(key)
        self._assigned.clear()
        self._assignment_instances = None

    def _tick(self) -> None:
        self._assign()
        self._assign_timer = self._clock.call_later(ASSIGN_INTERVAL, self._tick)

    def _assign(self) -> None:
        live = self._instances.live()
        if live == self._assignment_instances:
            return
        self._assignment_instances = live
        self._assigned = {
            key: target
            for key, target in self._targets.items()
            if self._is_assigned(live, key, target)
        }
        probed = self._assigned.keys() | self._watched
        for key in set(self._timers) - probed:
            self._cancel(key)
        for key in probed - set(self._timers):
            self._schedule(key, self._interval(key) * self._jitter())

    def _is_assigned(self, live: tuple[Instance, ...], key: TargetKey, target: Target) -> bool:
        probers = probers_of(live, *key, target.data_centre)
        return any(prober.name == self._own_name for prober in probers)

    def _schedule(self, key: TargetKey, delay: timedelta) -> None:
        self._cancel(key)
        self._timers[key] = self._clock.call_later(delay, self._start_probe, key)

    def _cancel(self, key: TargetKey) -> None:
        timer = self._timers.pop(key, None)
        if timer is not None and timer.active():
            timer.cancel()

    def _interval(self, key: TargetKey) -> timedelta:
        if key in self._assigned:
            return self._interval_of(key)
        return max(
            self._interval_of(key), WATCH_INTERVAL_PER_INSTANCE * len(self._instances.live())
        )

    def _start_probe(self, key: TargetKey) -> None:
        probe = Deferred.fromCoroutine(self._run_probe(key, self._targets[key]))
        probe.addErrback(lambda f: _log.error("failed to probe a target: {}", f.getTraceback()))
        probe.addBoth(lambda _: self._on_probed(key))

    async def _run_probe(self, key: TargetKey, target: Target) -> None:
        outcome = await self._probe(target)
        # A new configuration may have changed the address of the target during the probe.
        if self._is_running and self._targets.get(key) == target:
            self._on_outcome(key, outcome)

    def _on_probed(self, key: TargetKey) -> Any:
        if not self._is_running or (key not in self._assigned and key not in self._watched):
            self._timers.pop(key, None)
        elif key in self._timers:
            self._schedule(key, self._interval(key) * (0.9 + 0.1 * self._jitter()))
