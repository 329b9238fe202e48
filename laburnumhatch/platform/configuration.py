"""Decoder of the operator's configuration document."""

import re
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Annotated, Any, NamedTuple

import logbook
import msgspec

from ..clocks.duration_text import parse_duration
from ..documents import decode_document
from ..fleet import (
    CallerLimits,
    DeliverySemantics,
    Route,
    RouteTable,
    ServiceProperties,
    WeightedService,
)

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "DocumentInvalid",
    "configuration_decoder",
    "decode_configuration",
]

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"


class _RouteType(NamedTuple):
    """How often a request may run, and whether answers and request bodies are large."""

    delivery_semantics: DeliverySemantics
    is_bulky: bool = False
    has_large_bodies: bool = False


ROUTE_TYPES = {
    "safe": _RouteType(DeliverySemantics.ANY_NUMBER),
    "unsafe": _RouteType(DeliverySemantics.AT_MOST_ONCE),
    "download": _RouteType(DeliverySemantics.ANY_NUMBER, is_bulky=True),
    "upload": _RouteType(DeliverySemantics.AT_MOST_ONCE, is_bulky=True, has_large_bodies=True),
}
# Of a type that is not known, the assumption that does least harm.
UNKNOWN_ROUTE_TYPE = ROUTE_TYPES["upload"]


class DocumentInvalid(ValueError):
    """Raised for an invalid configuration document; the message names the invalid field."""


# Largest values that are taken for what they say.
MAX_NUMBER = 1_000_000
MAX_SIZE_BYTES = 2**40
MAX_LOGGED_LENGTH = 50
MAX_WARMUP = timedelta(days=1)
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Size = Annotated[int, msgspec.Meta(ge=0, le=MAX_SIZE_BYTES)]


class _Split(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NUMBER)]


class _Route(msgspec.Struct):
    host: str
    prefix: str
    route_type: str
    timeout: str
    # Latency up to which an answer has its full value.
    latency_goal: str
    priority: _Number = 0
    # Maximum number of upstreams that a request is sent to. It doesn't limit the sends: a request
    # may be sent to the same upstream twice.
    max_attempts: _Number = 1
    service: str | None = None
    traffic_split: list[_Split] | None = None


class _Service(msgspec.Struct):
    # Connections that each upstream accepts from all instances together.
    max_conns: _Number
    # Whether the service is partitioned by key, with one owner for each key.
    sharded: bool = False
    health_path: str = "/"
    # Time for which an upstream warms up after its start, and the requests a second that it takes
    # meanwhile. Of any type, since an odd value must not reject the document.
    warmup: Any = None
    warmup_per_s: Any = None


class _Limits(msgspec.Struct):
    max_header_bytes: _Size
    max_body_bytes: _Size
    header_timeout: str
    idle_timeout: str


class _Document(msgspec.Struct):
    version: str
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits


# Largest version that streams between instances carry.
MAX_VERSION = 2**53
_VERSION = re.compile(r"r[0-9]{1,16}")

_decoder = msgspec.json.Decoder(_Document)

_log = logbook.Logger("laburnumhatch.platform")


def decode_configuration(content: bytes) -> RouteTable:
    """Return the route table that a document describes.

    A route of an unknown type is treated as one whose requests run at most once and are large.

    Raises
    ------
    DocumentInvalid
        If any part of the document is invalid; a document is never applied in part.
    """
    return configuration_decoder()(content)


def configuration_decoder() -> Callable[[bytes], RouteTable]:
    """Return a function like `decode_configuration` for the versions of one document.

    Routes that haven't changed since the last valid version aren't decoded again.
    """
    known: dict[str, tuple[_Route, Route]] = {}

    def decode_routes(routes: dict[str, _Route]) -> dict[str, tuple[_Route, Route]]:
        decoded = {}
        for name, route in routes.items():
            entry = known.get(name)
            if entry is None or entry[0] != route:
                entry = route, _decode_route(name, route)
            decoded[name] = entry
        return decoded

    def decode(content: bytes) -> RouteTable:
        nonlocal known
        try:
            document = decode_document(_decoder.decode, content)
            version = _parse_version(document.version)
            decoded = decode_routes(document.routes)
            routes = tuple(route for _, route in decoded.values())
            _check_services(routes, document.services)
            services = _decode_services(document.services)
            limits = _decode_limits(document.limits)
        except ValueError as e:
            raise DocumentInvalid(str(e)) from e
        known = decoded
        return RouteTable.from_routes(version, routes, services, limits)

    return decode


def _parse_version(text: str) -> int:
    if not _VERSION.fullmatch(text) or int(text[1:]) > MAX_VERSION:
        raise ValueError(f"version: {text[:50]!r} is not the letter r followed by a number")
    return int(text[1:])


def _check_services(routes: Iterable[Route], services: dict[str, _Service]) -> None:
    for route in routes:
        for weighted_service in route.weighted_services:
            if weighted_service.service not in services:
                raise ValueError(
                    f"routes.{route.name}: service {weighted_service.service!r} is not defined"
                )


def _decode_services(services: dict[str, _Service]) -> dict[str, ServiceProperties]:
    return {
        name: ServiceProperties(
            name,
            service.max_conns,
            service.sharded,
            service.health_path,
            _decode_warmup(name, service.warmup),
            _decode_warmup_rate(name, service.warmup_per_s),
        )
        for name, service in services.items()
    }


def _decode_route(name: str, route: _Route) -> Route:
    route_type = ROUTE_TYPES.get(route.route_type)
    if route_type is None:
        _log.warning(
            "routes.{}.route_type: {!r} is unknown; requests run at most once",
            name,
            route.route_type[:MAX_LOGGED_LENGTH],
        )
    if route.service is not None:
        weighted_services: tuple[WeightedService, ...] = (WeightedService(route.service, 1.0),)
    else:
        weighted_services = tuple(
            WeightedService(s.service, s.weight) for s in route.traffic_split or ()
        )
    if not route.host:
        raise ValueError(f"routes.{name}.host is empty")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise ValueError(f"routes.{name}.prefix: {route.prefix!r} doesn't begin and end with /")
    if not weighted_services:
        raise ValueError(f"routes.{name}: neither service nor traffic_split names a service")
    known_type = route_type or UNKNOWN_ROUTE_TYPE
    return Route(
        name=name,
        host=route.host.lower(),
        prefix=route.prefix,
        delivery_semantics=known_type.delivery_semantics,
        is_bulky=known_type.is_bulky,
        timeout=parse_duration(route.timeout),
        latency_objective=parse_duration(route.latency_goal),
        priority=route.priority,
        max_upstreams=max(1, route.max_attempts),
        weighted_services=weighted_services,
        has_large_bodies=known_type.has_large_bodies,
        has_known_type=route_type is not None,
    )


def _decode_warmup(service: str, value: Any) -> timedelta:
    """Return the duration of a service's warm-up; zero if there is none or an odd one."""
    if value is None:
        return timedelta()
    try:
        warmup = parse_duration(value)
    except ValueError:
        warmup = None
    if warmup is None or warmup > MAX_WARMUP:
        _warn_left_out(f"services.{service}.warmup", value)
        return timedelta()
    return warmup


def _decode_warmup_rate(service: str, value: Any) -> float | None:
    """Return the requests a second during a warm-up; None if there is no bound or an odd one."""
    if value is None:
        return None
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value <= MAX_NUMBER:
        _warn_left_out(f"services.{service}.warmup_per_s", value)
        return None
    return float(value)


def _warn_left_out(field: str, value: Any) -> None:
    _log.warning("{}: {} is left out", field, repr(value)[:MAX_LOGGED_LENGTH])


def _decode_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        parse_duration(limits.header_timeout),
        parse_duration(limits.idle_timeout),
    )
