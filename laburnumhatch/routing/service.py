"""Services, their targets and their kinds of request."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

__all__ = [
    "KeyLocation",
    "KeySource",
    "Objective",
    "Ownership",
    "RequestKind",
    "Service",
    "Snapshot",
    "Target",
]


class KeyLocation(StrEnum):
    """Part of a request that holds its key."""

    PATH = "path"
    HEADER = "header"
    QUERY = "query"


class Objective(StrEnum):
    """Quantity to which the planner gives the most weight."""

    UNAVAILABLE_TIME = "unavailable-time"
    IMBALANCE = "imbalance"


@dataclass(frozen=True, slots=True)
class KeySource:
    """Part of a request and the name under which it holds the key."""

    location: KeyLocation
    name: str


@dataclass(frozen=True, slots=True)
class Ownership:
    """Exclusive ownership of a service's keys.

    Attributes
    ----------
    slot_count : int
        Number of hash ranges; a power of two.
    group_count : int
        Number of table rows that the slots are distributed over; a divisor of `slot_count`.
    checks_fencing : bool
        Whether the servers reject requests and grants of an older epoch.
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
        HTTP method in upper case.
    path : str
        Path template. A segment in braces matches any single non-empty segment.
    is_repeatable : bool
        Whether the upstream may execute the request more than once.
    deadline : timedelta
        Maximum time until the answer. A caller can ask for a shorter deadline.
    weight : float
        Value of one answer relative to the service's other kinds.
    retry_limit : int
        Maximum retries of one request after the first attempt.
    queue_limit : int
        Maximum requests of this kind that wait in one instance.
    body_limit_bytes : int
        Maximum size of the request body in bytes.
    """

    name: str
    method: str
    path: str
    is_repeatable: bool
    deadline: timedelta
    weight: float
    retry_limit: int
    queue_limit: int
    body_limit_bytes: int


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
    max_requests_per_target : int
        Maximum concurrent requests of one target.
    max_connections_per_target : int
        Maximum connections to one target, over all instances.
    key : KeySource or None
    ownership : Ownership or None
        None if the service's keys have no exclusive owners.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    targets: tuple[Target, ...]
    max_requests_per_target: int
    max_connections_per_target: int
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
        Increases with every publication; 0 before the first one.
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
