"""Services, their targets and the kinds of request they take."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

__all__ = [
    "KeyPlace",
    "KeySource",
    "Objective",
    "Ownership",
    "RequestKind",
    "Service",
    "Snapshot",
    "Target",
]


class KeyPlace(StrEnum):
    """Part of a request that holds its key."""

    PATH = "path"
    HEADER = "header"
    QUERY = "query"


class Objective(StrEnum):
    """What the planner weighs most."""

    UNAVAILABLE_TIME = "unavailable-time"
    IMBALANCE = "imbalance"


@dataclass(frozen=True, slots=True)
class KeySource:
    """How the key of a request is found."""

    place: KeyPlace
    name: str


@dataclass(frozen=True, slots=True)
class Ownership:
    """Exclusive ownership of a service's keys.

    Attributes
    ----------
    slot_count : int
        Number of hash ranges, a power of two.
    group_count : int
        Number of table rows that the slots are spread over; divides `slot_count`.
    checks_fencing : bool
        Whether the servers refuse requests and grants of an older epoch.
    objective : Objective
    """

    slot_count: int
    group_count: int
    checks_fencing: bool
    objective: Objective


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request of a service.

    Attributes
    ----------
    name : str
    method : str
        HTTP method in capitals.
    path : str
        Path template; a segment in braces matches any one segment.
    repeatable : bool
        Whether the upstream may run the request more than once.
    deadline : timedelta
        Longest time a caller waits; a caller's own deadline may shorten it.
    weight : float
        Worth of one answer, relative to the service's other kinds.
    retry_limit : int
        Most further attempts of one request.
    queue_limit : int
        Most requests of the kind that wait in one instance.
    body_limit : int
        Largest request body, bytes.
    """

    name: str
    method: str
    path: str
    repeatable: bool
    deadline: timedelta
    weight: float
    retry_limit: int
    queue_limit: int
    body_limit: int


@dataclass(frozen=True, slots=True)
class Target:
    """An upstream server of a service."""

    name: str
    host: str
    port: int
    data_centre: str


@dataclass(frozen=True, slots=True)
class Service:
    """A service as its routing file describes it.

    Attributes
    ----------
    name : str
    kinds : tuple of RequestKind
    targets : tuple of Target
    target_slots : int
        Requests that one target runs at a time.
    target_connections : int
        Connections that one target accepts, over all instances.
    key : KeySource or None
    ownership : Ownership or None
        None where the service's keys have no exclusive owner.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    targets: tuple[Target, ...]
    target_slots: int
    target_connections: int
    key: KeySource | None
    ownership: Ownership | None

    def target(self, name: str) -> Target | None:
        """Return the target called `name`, or None."""
        return next((t for t in self.targets if t.name == name), None)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All services of one configuration version.

    Attributes
    ----------
    version : int
        Increases with every publication; 0 only before the first.
    digest : str
        Hexadecimal digest of the snapshot's bytes in the object store.
    services : tuple of Service
    """

    version: int
    digest: str
    services: tuple[Service, ...]

    def service(self, name: str) -> Service | None:
        """Return the service called `name`, or None."""
        return next((s for s in self.services if s.name == name), None)
