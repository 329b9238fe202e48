"""Entry instances and requests of a measured service without exclusive owners."""

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
    "ChooserParts",
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
class ChooserParts:
    """What a chooser may be made of.

    Attributes
    ----------
    targets : OpenTargets
    clock : Clock
    random_source : random.Random
    data_centre, instance : str
    live_instances : callable
    read_load : callable
        Asks a target for its load; the answer goes to the chooser's ``note_load``.
    """

    targets: OpenTargets
    clock: Clock
    random_source: random.Random
    data_centre: str
    instance: str
    live_instances: Callable[[], int]
    read_load: Callable[[Target], None]


ChooserFactory = Callable[[ChooserParts], TargetChooser]


@dataclass
class Entry:
    """An entry instance: its chooser, its queues and its idle connections."""

    index: int
    data_centre: str
    chooser: TargetChooser
    queues: dict[str, TargetQueue]
    idle: Counter[str] = field(default_factory=Counter)


@dataclass(eq=False)
class Call:
    """One request, and its attempt of the moment."""

    entry: Entry
    arrived: float
    work: float
    asked: frozenset[str] = frozenset()
    full: frozenset[str] = frozenset()
    target: str = ""
    attempt: int = 0
    retries: int = 0
    sent_at: float = 0.0
    sent: bool = False


def make_service(deployment: Deployment, servers: Iterable[TargetServer]) -> Service:
    """Return the service whose targets a run measures."""
    return Service(
        name=SERVICE,
        kinds=(KIND,),
        targets=tuple(
            Target(server.name, "127.0.0.1", 1, server.data_centre) for server in servers
        ),
        max_requests_per_target=deployment.slots,
        max_connections_per_target=deployment.connections,
        key=None,
        ownership=None,
    )
