"""Simulated entry instances and requests of a service without exclusive owners."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from ..balancing import OpenTargets, TargetChooser
from ..clocks import Clock
from ..requests.target_queue import TargetQueue
from ..routing import RequestKind, Service, Target
from .deployments import Deployment
from .target_servers import TargetServer

__all__ = [
    "DEADLINE_SECONDS",
    "KIND",
    "RETRY_LIMIT",
    "SERVICE",
    "Call",
    "ChooserFactory",
    "ChooserContext",
    "Entry",
    "make_service",
]

DEADLINE_SECONDS = 1.0
RETRY_LIMIT = 1
SERVICE = "archive"

KIND = RequestKind(
    name="fetch",
    method="GET",
    path="/",
    is_repeatable=True,
    deadline=timedelta(seconds=DEADLINE_SECONDS),
    weight=1.0,
    retry_limit=RETRY_LIMIT,
    queue_limit=64,
    body_limit_bytes=0,
)


@dataclass(frozen=True, slots=True)
class ChooserContext:
    """Arguments that a factory may pass on to its chooser.

    Attributes
    ----------
    targets : OpenTargets
    clock : Clock
    random_source : random.Random
    data_centre, instance : str
    live_instances : callable
    probe_load : callable
        Requests the load of a target; the reading is passed to the chooser's ``record_load``.
    """

    targets: OpenTargets
    clock: Clock
    random_source: random.Random
    data_centre: str
    instance: str
    live_instances: Callable[[], int]
    probe_load: Callable[[Target], None]


ChooserFactory = Callable[[ChooserContext], TargetChooser]


@dataclass
class Entry:
    """An entry instance with its chooser, its queues and the count of its idle connections."""

    index: int
    data_centre: str
    chooser: TargetChooser
    queues: dict[str, TargetQueue]
    idle_connections: Counter[str] = field(default_factory=Counter)


@dataclass(eq=False)
class Call:
    """A request and the state of its current attempt.

    Attributes
    ----------
    entry : Entry
    arrived_at : float
        Time of arrival, in seconds.
    work : float
        Duration on a warm target, in seconds.
    tried_targets : frozenset of str
        Targets of the failed attempts.
    full_targets : frozenset of str
        Targets whose queue in the entry instance did not admit the request.
    target : str
        Target of the current attempt.
    attempt, retries : int
        Number of the current attempt, from 1, and number of retries so far.
    sent_at : float
        Time at which the current attempt was sent, in seconds.
    is_sent : bool
        Whether the current attempt is in flight.
    """

    entry: Entry
    arrived_at: float
    work: float
    tried_targets: frozenset[str] = frozenset()
    full_targets: frozenset[str] = frozenset()
    target: str = ""
    attempt: int = 0
    retries: int = 0
    sent_at: float = 0.0
    is_sent: bool = False


def make_service(deployment: Deployment, servers: Iterable[TargetServer]) -> Service:
    """Return the routing service whose targets are the given servers."""
    return Service(
        name=SERVICE,
        kinds=(KIND,),
        targets=tuple(
            Target(server.name, "127.0.0.1", 1, server.data_centre) for server in servers
        ),
        max_requests_per_target=deployment.slots_per_server,
        max_connections_per_target=deployment.connections_per_server,
        key=None,
        ownership=None,
    )
