"""Simulated servers of a service that is divided by key."""

import heapq
from dataclasses import dataclass, field

import numpy as np

__all__ = ["KeyedServer", "serve_second"]

WORK_SECONDS = 0.02
DEADLINE_SECONDS = 0.5
COLD_SECONDS = 5.0
COLD_FACTOR = 3.0
SLOW_FACTOR = 3.0
# A request that would start with less time than this before its deadline is refused, so that few
# requests run and then miss the deadline.
MIN_REMAINING_SECONDS = 3 * WORK_SECONDS


@dataclass
class KeyedServer:
    """A simulated server.

    Attributes
    ----------
    slots : int
    is_up : bool
        Whether the process runs and is not frozen.
    is_leaving : bool
        Whether the server is shutting down and takes no more keys.
    down_since, cold_until : float
        Times in seconds.
    is_slow : bool
    slots_free_at : list of float
        Heap of the times at which the slots become free, in seconds.
    """

    slots: int
    is_up: bool = True
    is_leaving: bool = False
    down_since: float = 0.0
    cold_until: float = 0.0
    is_slow: bool = False
    slots_free_at: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.slots_free_at = [0.0] * self.slots

    def work_factor(self, now: float) -> float:
        """Return the factor by which work takes longer than on a warm server at normal speed."""
        cold = COLD_FACTOR if now < self.cold_until else 1.0
        return cold * (SLOW_FACTOR if self.is_slow else 1.0)

    def restart(self, now: float) -> None:
        """Restart the server with cold caches."""
        self.is_up = True
        self.is_leaving = False
        self.cold_until = now + COLD_SECONDS
        self.slots_free_at = [now] * self.slots


def serve_second(
    servers: list[KeyedServer],
    owners: np.ndarray,
    arrivals: np.ndarray,
    available_at: np.ndarray,
    work: np.ndarray,
) -> list[float]:
    """Serve the requests of one second in the order in which their keys become available.

    Parameters
    ----------
    servers : list of KeyedServer
    owners : numpy.ndarray of int
        Index of the server of each request.
    arrivals : numpy.ndarray of float
        Time of arrival of each request, in seconds.
    available_at : numpy.ndarray of float
        Time at which the request has arrived and its key is available, in seconds.
    work : numpy.ndarray of float
        Duration of each request on a warm server, in seconds.

    Returns
    -------
    list of float
        Latency of each answer within the deadline, in seconds. A request that cannot start in
        time, or whose server is down, is refused and occupies no slot.
    """
    latencies = []
    order = np.argsort(available_at, kind="stable")
    columns = (owners[order], arrivals[order], available_at[order], work[order])
    for owner, arrival, available, seconds in zip(
        *(column.tolist() for column in columns), strict=True
    ):
        server = servers[owner]
        if not server.is_up:
            continue
        start = max(available, server.slots_free_at[0])
        if start - arrival > DEADLINE_SECONDS - MIN_REMAINING_SECONDS:
            continue
        end = start + seconds * server.work_factor(start)
        heapq.heapreplace(server.slots_free_at, end)
        if end - arrival <= DEADLINE_SECONDS:
            latencies.append(end - arrival)
    return latencies
