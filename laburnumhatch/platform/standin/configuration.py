"""Encoder of configuration documents in the operator's format."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

__all__ = ["StandinRoute", "encode_configuration"]

MAX_CONNECTIONS = 100
MAX_BODY_BYTES = 1_048_576
LIMITS = {
    "max_header_bytes": 16_384,
    "header_timeout": "3s",
    "idle_timeout": "15s",
}


@dataclass(frozen=True, slots=True)
class StandinRoute:
    """Route to one service.

    Attributes
    ----------
    name, host, prefix, service : str
    is_repeatable : bool
    timeout : str
        Duration such as ``900ms``.
    """

    name: str
    host: str
    prefix: str
    service: str
    is_repeatable: bool = True
    timeout: str = "1500ms"


def encode_configuration(
    version: int,
    routes: Iterable[StandinRoute],
    keyed: Iterable[str],
    unkeyed: Iterable[str],
    max_body_bytes: int = MAX_BODY_BYTES,
) -> bytes:
    """Return the configuration document of a version.

    Parameters
    ----------
    version : int
    routes : iterable of StandinRoute
    keyed, unkeyed : iterable of str
        Names of the services.
    max_body_bytes : int, optional
    """
    services = {name: _encode_service(True) for name in keyed}
    services |= {name: _encode_service(False) for name in unkeyed}
    encoded_routes = {
        route.name: {
            "host": route.host,
            "prefix": route.prefix,
            "route_type": "safe" if route.is_repeatable else "unsafe",
            "timeout": route.timeout,
            "latency_goal": "300ms",
            "priority": 1,
            "service": route.service,
            "max_attempts": 2,
        }
        for route in routes
    }
    document = {
        "version": f"r{version}",
        "routes": encoded_routes,
        "services": services,
        "limits": {**LIMITS, "max_body_bytes": max_body_bytes},
    }
    return msgspec.json.encode(document)


def _encode_service(is_keyed: bool) -> dict[str, object]:
    return {"max_conns": MAX_CONNECTIONS, "sharded": is_keyed, "health_path": "/health"}
