"""HTTP pages of the admin port: health, readiness, metrics, status and explanation of a key."""

import json
from collections.abc import Callable
from typing import Any

from aioprometheus import REGISTRY, Registry, render
from klein import Klein
from twisted.web.server import Request, Site

__all__ = ["AdminPages", "build_admin_site"]

OK = 200
BAD_REQUEST = 400
UNAVAILABLE = 503


class AdminPages:
    """Pages of the admin port.

    Parameters
    ----------
    unready_reasons : callable
        Returns the reasons for which the instance isn't ready; empty if it is ready.
    status : callable
        Returns the JSON object of ``/status``.
    explain : callable
        Takes a service and a key; returns the JSON object of ``/explain``, or None for an
        unknown service.
    registry : aioprometheus.Registry, optional
        Registry of the metrics; the library's default registry by default.
    """

    app = Klein()

    def __init__(
        self,
        *,
        unready_reasons: Callable[[], list[str]],
        status: Callable[[], dict[str, Any]],
        explain: Callable[[str, str], dict[str, Any] | None],
        registry: Registry = REGISTRY,
    ) -> None:
        self._unready_reasons = unready_reasons
        self._status = status
        self._explain = explain
        self._registry = registry

    @app.route("/healthz", methods=["GET"])
    def healthz(self, request: Request) -> bytes:
        """Respond that the instance is healthy; the response shows that the event loop runs."""
        return _json_response(request, OK, {"healthy": True})

    @app.route("/readyz", methods=["GET"])
    def readyz(self, request: Request) -> bytes:
        """Respond whether the instance is ready for callers, with the reasons if it is not."""
        reasons = self._unready_reasons()
        return _json_response(
            request, UNAVAILABLE if reasons else OK, {"ready": not reasons, "reasons": reasons}
        )

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request: Request) -> bytes:
        """Respond with the metrics in the text format of Prometheus."""
        content, headers = render(self._registry, ["text/plain"])
        for name, value in headers.items():
            request.setHeader(name, value)
        return bytes(content)

    @app.route("/status", methods=["GET"])
    def status(self, request: Request) -> bytes:
        """Respond with the state of the instance."""
        return _json_response(request, OK, self._status())

    @app.route("/explain", methods=["GET"])
    def explain(self, request: Request) -> bytes:
        """Respond with what the instance knows about the owner of a key."""
        service = _query_argument(request, b"service")
        key = _query_argument(request, b"key")
        if service is None or key is None:
            return _json_response(
                request, BAD_REQUEST, {"error": "expected the arguments service and key"}
            )
        explanation = self._explain(service, key)
        if explanation is None:
            return _json_response(
                request, BAD_REQUEST, {"error": f"no service is called {service!r}"}
            )
        return _json_response(request, OK, explanation)


def build_admin_site(pages: AdminPages) -> Site:
    """Return the site of the admin port."""
    return Site(pages.app.resource())


def _query_argument(request: Request, name: bytes) -> str | None:
    values = request.args.get(name) if request.args else None
    return values[0].decode("utf-8", "replace") if values else None


def _json_response(request: Request, status: int, value: dict[str, Any]) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(value, default=str).encode()
