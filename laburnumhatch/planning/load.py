"""Measured load of slots and of the hottest keys."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import numpy as np

from ..clocks import Clock

__all__ = ["LoadMeter", "LoadReport", "merge_load_reports"]

DECAY_TIME = timedelta(seconds=5)
MAX_HOT_KEYS = 128
MIN_KEY_BUFFER_SIZE = 1024
NEGLIGIBLE_WORK_SECONDS = 1e-9


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load measured by one or more entry instances.

    Attributes
    ----------
    slots : dict of int to float
        Load of each slot with traffic, in seconds of server work a second, including the load of
        all its keys.
    keys : dict of int to float
        Load of the hottest keys by hash; it never exceeds the measured load of the key.
    """

    slots: dict[int, float]
    keys: dict[int, float]


class LoadMeter:
    """Meter of one service's load at one entry instance.

    Parameters
    ----------
    clock : Clock
    slot_count : int
    decay_time : timedelta, optional
        Time constant of the exponential decay of older requests.
    max_hot_keys : int, optional
        Number of hot keys that are kept from one report to the next.

    Notes
    -----
    The load of slots is exact. The load of keys is estimated by the batched form of the
    Misra-Gries summary [1]_: when the summary holds too many keys, the largest count among those
    to be dropped is subtracted from all counts. The count of a key is too low by at most the
    total work divided by the number of keys kept, and the summaries of many instances can be
    merged. `record` takes O(1) amortized time.

    References
    ----------
    .. [1] P. Agarwal et al., Mergeable summaries, PODS 2012.

    Examples
    --------
    >>> from twisted.internet import task
    >>> from laburnumhatch.clocks import ReactorClock
    >>> reactor = task.Clock()
    >>> meter = LoadMeter(clock=ReactorClock(reactor), slot_count=4)
    >>> meter.record(slot=2, key_hash=99, work=0.5)
    >>> reactor.advance(1.0)
    >>> report = meter.report()
    >>> round(report.slots[2], 1), round(report.keys[99], 1)
    (0.5, 0.5)
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slot_count: int,
        decay_time: timedelta = DECAY_TIME,
        max_hot_keys: int = MAX_HOT_KEYS,
    ) -> None:
        self._clock = clock
        self._decay_seconds = decay_time.total_seconds()
        self._max_hot_keys = max_hot_keys
        self._key_buffer_size = max(MIN_KEY_BUFFER_SIZE, 2 * max_hot_keys)
        self._slot_work = np.zeros(slot_count)
        self._recent: dict[int, float] = {}
        self._recent_keys: dict[int, float] = {}
        self._key_work: dict[int, float] = {}
        self._window_seconds = 0.0
        self._decayed_at = clock.now()

    def record(self, *, slot: int, key_hash: int, work: float) -> None:
        """Add the work of a request.

        Parameters
        ----------
        slot : int
        key_hash : int
        work : float
            Seconds of server work that the request took.
        """
        recent = self._recent
        recent[slot] = recent.get(slot, 0.0) + work
        keys = self._recent_keys
        keys[key_hash] = keys.get(key_hash, 0.0) + work
        if len(keys) > self._key_buffer_size:
            self._recent_keys = _keep_largest_counts(keys, self._max_hot_keys)

    def report(self) -> LoadReport:
        """Return the current load; it is meant to be called about once a second."""
        self._decay()
        rate = 1.0 / self._window_seconds if self._window_seconds > 0.0 else 0.0
        loaded_slots = np.flatnonzero(self._slot_work)
        loads = self._slot_work[loaded_slots] * rate
        slots = dict(zip(loaded_slots.tolist(), loads.tolist(), strict=True))
        keys = {key_hash: work * rate for key_hash, work in self._key_work.items()}
        return LoadReport(slots, keys)

    def _decay(self) -> None:
        now = self._clock.now()
        elapsed = (now - self._decayed_at).total_seconds()
        self._decayed_at = now
        factor = math.exp(-elapsed / self._decay_seconds)
        self._slot_work *= factor
        for slot, work in self._recent.items():
            self._slot_work[slot] += work
        self._recent.clear()
        self._slot_work[self._slot_work < NEGLIGIBLE_WORK_SECONDS] = 0.0
        # The window is the time in which work at a constant rate adds up to the decayed sum.
        self._window_seconds = self._window_seconds * factor + elapsed
        keys = {key_hash: work * factor for key_hash, work in self._key_work.items()}
        _add(keys, self._recent_keys)
        self._recent_keys = {}
        self._key_work = _keep_largest_counts(keys, self._max_hot_keys)


def merge_load_reports(
    reports: Iterable[LoadReport], max_hot_keys: int = MAX_HOT_KEYS
) -> LoadReport:
    """Return the total load measured by several entry instances.

    Examples
    --------
    >>> merge_load_reports([LoadReport({1: 0.5}, {7: 0.5}), LoadReport({1: 0.25}, {})])
    LoadReport(slots={1: 0.75}, keys={7: 0.5})
    """
    slots: dict[int, float] = {}
    keys: dict[int, float] = {}
    for report in reports:
        _add(slots, report.slots)
        _add(keys, report.keys)
    return LoadReport(slots, _keep_largest_counts(keys, max_hot_keys))


def _add(total: dict[int, float], part: dict[int, float]) -> None:
    for key, load in part.items():
        total[key] = total.get(key, 0.0) + load


def _keep_largest_counts(counts: dict[int, float], max_kept: int) -> dict[int, float]:
    if len(counts) <= max_kept:
        return counts
    ranked = sorted(counts.items(), key=lambda item: -item[1])
    dropped = ranked[max_kept][1]
    return {key: count - dropped for key, count in ranked[:max_kept] if count > dropped}
