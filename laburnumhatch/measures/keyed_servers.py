"""Stand-ins for the servers of a service that is divided by key."""

import heapq
from dataclasses import dataclass, field

import numpy as np

__all__ = ["KeyedServer", "serve_second"]

WORK_SECONDS = 0.02
DEADLINE_SECONDS = 0.5
COLD_SECONDS = 5.0
COLD_FACTOR = 3.0
SLOW_FACTOR = 3.0
# Requests are refused when less than this is left at their start, so that few run in vain.
LEAST_TIME_LEFT = 3 * WORK_SECONDS


@dataclass
class KeyedServer:
    """A server.

    Attributes
    ----------
    slots : int
    up : bool
        Whether the process runs, and isn't frozen.
    leaving : bool
    down_since : float
    cold_until : float
    slow : bool
    free_at : list of float
        Heap of the instants at which the slots become free.
    """

    slots: int
    up: bool = True
    leaving: bool = False
    down_since: float = 0.0
    cold_until: float = 0.0
    slow: bool = False
    free_at: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.free_at = [0.0] * self.slots

    def factor(self, now: float) -> float:
        """Return how much longer than usual the work takes."""
        cold = COLD_FACTOR if now < self.cold_until else 1.0
        return cold * (SLOW_FACTOR if self.slow else 1.0)

    def restart(self, now: float) -> None:
        """Start again, cold."""
        self.up = True
        self.leaving = False
        self.cold_until = now + COLD_SECONDS
        self.free_at = [now] * self.slots


def serve_second(
    servers: list[KeyedServer],
    owners: np.ndarray,
    arrivals: np.ndarray,
    ready: np.ndarray,
    work: np.ndarray,
) -> list[float]:
    """Serve the requests of one second, first come first served.

    Parameters
    ----------
    servers : list of KeyedServer
    owners : numpy.ndarray of int
        Server of each request.
    arrivals : numpy.ndarray of float
        Instant of each request, seconds.
    ready : numpy.ndarray of float
        Instant at which its key is available.
    work : numpy.ndarray of float
        Seconds of work, on a warm server.

    Returns
    -------
    list of float
        Latency of each answer within the deadline, seconds. A request that can't start in
        time, or whose server is down, is refused and takes no slot.
    """
    latencies = []
    order = np.argsort(ready, kind="stable")
    columns = (owners[order], arrivals[order], ready[order], work[order])
    for owner, arrival, at, seconds in zip(*(column.tolist() for column in columns), strict=True):
        server = servers[owner]
        if not server.up:
            continue
        start = max(at, server.free_at[0])
        if start - arrival > DEADLINE_SECONDS - LEAST_TIME_LEFT:
            continue
        end = start + seconds * server.factor(start)
        heapq.heapreplace(server.free_at, end)
        if end - arrival <= DEADLINE_SECONDS:
            latencies.append(end - arrival)
    return latencies
