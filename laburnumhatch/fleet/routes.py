"""Routes and services of one version of the configuration."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from itertools import chain

__all__ = [
    "CallerLimits",
    "DeliverySemantics",
    "Route",
    "RouteTable",
    "ServiceProperties",
    "WeightedService",
    "find_route",
]


class DeliverySemantics(Enum):
    """How many times a request may run at the upstreams."""

    ANY_NUMBER = "any number"
    AT_MOST_ONCE = "at most once"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Mapping from a host and a path prefix to services.

    Attributes
    ----------
    name, host : str
    prefix : str
        Path prefix, which begins and ends with a slash.
    delivery_semantics : DeliverySemantics
    is_bulky : bool
        Whether answers or request bodies are large.
    timeout : timedelta
        Longest time that a caller waits for an answer.
    latency_objective : timedelta
        Time within which a request should be answered.
    priority : int
        0 is the most urgent.
    max_upstreams : int
        Maximum number of different upstreams to which one request is sent.
    weighted_services : tuple of WeightedService
        Services that share the requests; at least one.
    has_large_bodies : bool
        Whether request bodies are large.
    has_known_type : bool
        Whether the type of the route is known. Otherwise its requests are treated with most care.
    """

    name: str
    host: str
    prefix: str
    delivery_semantics: DeliverySemantics
    is_bulky: bool
    timeout: timedelta
    latency_objective: timedelta
    priority: int
    max_upstreams: int
    weighted_services: tuple[WeightedService, ...]
    has_large_bodies: bool = False
    has_known_type: bool = True

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.delivery_semantics is DeliverySemantics.ANY_NUMBER


@dataclass(frozen=True, slots=True)
class ServiceProperties:
    """Properties of a service.

    Attributes
    ----------
    name : str
    connection_limit : int
        Maximum number of connections that an upstream accepts from all instances together.
    is_keyed : bool
        Whether each key of the service is owned exclusively by one upstream.
    health_check_path : str
        Path of the health check of an upstream.
    warmup : timedelta
        Time for which an upstream warms up after its start.
    warmup_per_s : float or None
        Requests per second that an upstream tolerates while it warms up; None without a bound.
    """

    name: str
    connection_limit: int
    is_keyed: bool
    health_check_path: str = "/"
    warmup: timedelta = timedelta()
    warmup_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time they take to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration.

    Attributes
    ----------
    version : int
    routes_by_host : mapping of str to tuple of Route
        Routes of each host, ordered from the longest prefix to the shortest.
    services : mapping of str to ServiceProperties
    limits : CallerLimits
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceProperties]
    limits: CallerLimits = field(default_factory=CallerLimits)

    @property
    def routes(self) -> Iterator[Route]:
        """All routes."""
        return chain.from_iterable(self.routes_by_host.values())

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: tuple[Route, ...],
        services: Mapping[str, ServiceProperties],
        limits: CallerLimits,
    ) -> "RouteTable":
        """Return a table of the routes, ordered by host and prefix length."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            routes_by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(host_routes, key=lambda r: len(r.prefix), reverse=True))
            for host, host_routes in routes_by_host.items()
        }
        return cls(version, ordered, services, limits)


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix of the path; None if none matches.

    Parameters
    ----------
    table : RouteTable
    host : str
        Host header as sent by the caller; a port is ignored.
    path : str
        Path without the query.
    """
    name = host.rsplit(":", 1)[0] if ":" in host else host
    for route in table.routes_by_host.get(name.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None
