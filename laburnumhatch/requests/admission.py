"""Decisions about requests that wait for a target."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

__all__ = [
    "Admission",
    "KindBacklog",
    "TargetLoad",
    "concurrency_limit",
    "decide_admission",
    "expected_wait",
    "has_queue_room",
    "next_kind",
]

CALLS_PER_SLOT = 4


class Admission(StrEnum):
    """What becomes of a new request."""

    START = "start"
    WAIT = "wait"
    QUEUE_FULL = "queue full"
    DEADLINE_UNREACHABLE = "deadline unreachable"


@dataclass(slots=True)
class KindBacklog:
    """Requests of one kind that wait for one target.

    Attributes
    ----------
    weight : float
    waiting_count : int
    virtual_time : float
        Virtual time of the kind: grows by ``1 / weight`` with each request that starts.
    """

    weight: float
    waiting_count: int = 0
    virtual_time: float = 0.0


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """One target as seen by one instance.

    Attributes
    ----------
    running_count : int
        Upstream calls of this instance in flight.
    max_running : int
        Most calls of this instance at a time.
    latency : timedelta
        Smoothed time of one call; zero before the first.
    """

    running_count: int
    max_running: int
    latency: timedelta


def concurrency_limit(slots: int, connections: int, instance_count: int) -> int:
    """Return how many calls one instance makes to a target at a time.

    Parameters
    ----------
    slots : int
        Requests that the target runs at a time.
    connections : int
        Connections that the target accepts from all instances.
    instance_count : int
        Live entry instances.

    Notes
    -----
    All instances together keep about `CALLS_PER_SLOT` calls for each slot, so that a slot never
    idles for a network round trip, and one instance alone may still fill the target. The share
    of the connections comes first; with fewer connections than instances each still gets one.

    Examples
    --------
    >>> concurrency_limit(slots=6, connections=100, instance_count=8)
    6
    >>> concurrency_limit(slots=6, connections=24, instance_count=8)
    3
    """
    instance_count = max(1, instance_count)
    wanted = max(slots, -(-slots * CALLS_PER_SLOT // instance_count))
    return max(1, min(wanted, connections // instance_count))


def has_queue_room(own: int, total: int, limit: int) -> bool:
    """Return whether a queue that shares a bound with others may grow.

    Parameters
    ----------
    own : int
        Length of this queue.
    total : int
        Length of all queues that share the bound.
    limit : int
        The bound.

    Notes
    -----
    Dynamic thresholds [1]_: a queue may be as long as the room that is left. One long queue
    takes half of the bound, two take a third each, and a queue that was empty finds room.

    References
    ----------
    .. [1] A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for shared-memory
       packet switches", IEEE/ACM Transactions on Networking 6(2), 1998.

    Examples
    --------
    >>> has_queue_room(own=31, total=31, limit=64), has_queue_room(own=32, total=32, limit=64)
    (True, False)
    """
    return own < limit - total


def expected_wait(kind: str, backlogs: Mapping[str, KindBacklog], load: TargetLoad) -> timedelta:
    """Return how long a further request of a kind would wait for a target.

    Parameters
    ----------
    kind : str
    backlogs : mapping of str to KindBacklog
    load : TargetLoad

    Notes
    -----
    The target starts ``max_running / latency`` requests a second. While the kind's own requests are
    served, each other kind is served in proportion to its weight, as long as it has any that
    wait. Cost: linear in the number of kinds.
    """
    own = backlogs[kind]
    others = (b for b in backlogs.values() if b is not own)
    before = sum(
        min(b.waiting_count, 1 + own.waiting_count * b.weight / own.weight) for b in others
    )
    return load.latency * ((own.waiting_count + before + 1) / load.max_running)


def decide_admission(
    kind: str,
    backlogs: Mapping[str, KindBacklog],
    load: TargetLoad,
    remaining: timedelta,
    has_room: bool,
) -> Admission:
    """Return what becomes of a new request.

    Parameters
    ----------
    kind : str
    backlogs : mapping of str to KindBacklog
        Requests that wait for the target.
    load : TargetLoad
    remaining : timedelta
        Time left until the request's deadline.
    has_room : bool
        Whether the queue may grow.

    Notes
    -----
    A request that finds the target free starts whatever the estimate says: otherwise one slow
    answer could keep requests out for ever, and with them the measurements that correct the
    estimate.
    """
    if load.running_count < load.max_running and not any(
        b.waiting_count for b in backlogs.values()
    ):
        return Admission.START
    if not has_room:
        return Admission.QUEUE_FULL
    if expected_wait(kind, backlogs, load) + load.latency > remaining:
        return Admission.DEADLINE_UNREACHABLE
    return Admission.WAIT


def next_kind(backlogs: Mapping[str, KindBacklog]) -> str | None:
    """Return the kind whose oldest request starts next; None where none waits.

    Notes
    -----
    Weighted fair queueing by virtual time: the waiting kind that was served least for its
    weight. Ties go by name.
    """
    waiting = [(b.virtual_time, name) for name, b in backlogs.items() if b.waiting_count > 0]
    return min(waiting)[1] if waiting else None
