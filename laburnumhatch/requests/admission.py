"""Admission control and scheduling of requests that wait for a target."""

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
    """Decision on a new request."""

    START = "start"
    WAIT = "wait"
    QUEUE_FULL = "queue full"
    DEADLINE_UNREACHABLE = "deadline unreachable"


@dataclass(slots=True)
class KindBacklog:
    """Waiting requests of one kind at one target.

    Attributes
    ----------
    weight : float
    waiting_count : int
    virtual_time : float
        Virtual time of the kind, which grows by ``1 / weight`` with each request that starts.
    """

    weight: float
    waiting_count: int = 0
    virtual_time: float = 0.0


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load of one target as seen by one instance.

    Attributes
    ----------
    running_count : int
        Upstream calls of this instance that are in flight.
    max_running : int
        Maximum number of concurrent calls of this instance.
    latency : timedelta
        Smoothed duration of one call; zero before the first call.
    """

    running_count: int
    max_running: int
    latency: timedelta


def concurrency_limit(slots: int, connections: int, instance_count: int) -> int:
    """Return the maximum number of concurrent calls from one instance to a target.

    Parameters
    ----------
    slots : int
        Requests that the target runs concurrently.
    connections : int
        Connections that the target accepts from all instances together.
    instance_count : int
        Number of live entry instances.

    Notes
    -----
    All instances together make about `CALLS_PER_SLOT` concurrent calls for each slot, so that no
    slot is idle during a network round trip, and a single instance can still use all slots. The
    instance's share of the connections takes precedence; with fewer connections than instances,
    each instance still gets one.

    Examples
    --------
    >>> concurrency_limit(slots=6, connections=100, instance_count=8)
    6
    >>> concurrency_limit(slots=6, connections=24, instance_count=8)
    3
    """
    instance_count = max(1, instance_count)
    desired_calls = max(slots, -(-slots * CALLS_PER_SLOT // instance_count))
    return max(1, min(desired_calls, connections // instance_count))


def has_queue_room(own: int, total: int, limit: int) -> bool:
    """Return whether a queue that shares a length limit with other queues may grow.

    Parameters
    ----------
    own : int
        Length of this queue.
    total : int
        Total length of all queues that share the limit.
    limit : int
        Limit on the total length.

    Notes
    -----
    This is the dynamic threshold scheme [1]_: a queue may be as long as the remaining room. One
    long queue takes half of the limit, two long queues take a third each, and a queue that was
    empty still finds room.

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
    """Return the expected wait of a new request of a kind for a target.

    Parameters
    ----------
    kind : str
    backlogs : mapping of str to KindBacklog
    load : TargetLoad

    Notes
    -----
    The target starts ``max_running / latency`` requests per second. While the waiting requests of
    the kind are served, each other kind is served in proportion to its weight for as long as it
    has waiting requests. The cost is linear in the number of kinds.
    """
    own = backlogs[kind]
    others = (b for b in backlogs.values() if b is not own)
    requests_ahead = sum(
        min(b.waiting_count, 1 + own.waiting_count * b.weight / own.weight) for b in others
    )
    return load.latency * ((own.waiting_count + requests_ahead + 1) / load.max_running)


def decide_admission(
    kind: str,
    backlogs: Mapping[str, KindBacklog],
    load: TargetLoad,
    remaining: timedelta,
    has_room: bool,
) -> Admission:
    """Return whether a new request starts, waits or is refused.

    Parameters
    ----------
    kind : str
    backlogs : mapping of str to KindBacklog
        Waiting requests at the target, by kind.
    load : TargetLoad
    remaining : timedelta
        Time left until the request's deadline.
    has_room : bool
        Whether the queue may grow.

    Notes
    -----
    A request that finds the target free starts regardless of the latency estimate. Otherwise one
    slow answer could block all requests for ever, and with them the measurements that correct the
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
    """Return the kind whose oldest request starts next, or None if no request waits.

    Notes
    -----
    This is weighted fair queueing by virtual time: the kind that has been served least in
    proportion to its weight comes first. Ties are broken by name.
    """
    waiting = [(b.virtual_time, name) for name, b in backlogs.items() if b.waiting_count > 0]
    return min(waiting)[1] if waiting else None
