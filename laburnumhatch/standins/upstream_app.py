"""HTTP application of an upstream stand-in."""

from collections.abc import Callable
from dataclasses import asdict
from datetime import timedelta
from typing import Any, TypeVar

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from ..clocks import milliseconds
from .grants import GrantMessage
from .http import InvalidBody, answer_json, read_model
from .upstream import UpstreamStandin
from .upstream_faults import UpstreamFaults

__all__ = ["build_upstream_app"]

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409

T = TypeVar("T")


def build_upstream_app(upstream: UpstreamStandin) -> Klein:
    """Return an app with the control endpoints of `upstream`; it serves all other requests too."""
    app: Any = Klein()
    _add_grant_routes(app, upstream)
    _add_probe_routes(app, upstream)
    _add_control_routes(app, upstream)

    @app.route("/requests/<path:request_id>", methods=["DELETE"])
    async def cancel(request: Request, request_id: str) -> bytes:
        await upstream.wait_while_frozen()
        found = upstream.cancel(request_id)
        return answer_json(request, OK if found else NOT_FOUND, {"cancelled": found})

    @app.route("/", branch=True)
    def serve(request: Request) -> Deferred[bytes]:
        return upstream.serve(request)

    return app


def _add_grant_routes(app: Any, upstream: UpstreamStandin) -> None:
    @app.route("/grants", methods=["POST"])
    async def grant(request: Request) -> bytes:
        await upstream.wait_while_frozen()
        try:
            message = read_model(request, GrantMessage)
        except InvalidBody as e:
            return answer_json(request, BAD_REQUEST, {"error": str(e)})
        clock = upstream.clock_reading()
        if message.clock is not None and message.clock != upstream.clock_name:
            document = {"accepted": False, "clock_differs": True, **clock}
            return answer_json(request, CONFLICT, document)
        newer = upstream.grants.apply(message) if upstream.options.checks_fencing else None
        if newer is not None:
            return answer_json(request, CONFLICT, {"accepted": False, "epoch": newer, **clock})
        return answer_json(request, OK, {"accepted": True, **clock})


def _add_probe_routes(app: Any, upstream: UpstreamStandin) -> None:
    health = _cached_until_older(upstream, lambda: upstream.state)
    load = _cached_until_older(
        upstream, lambda: (upstream.queue.running_count, upstream.queue.queued_count)
    )

    @app.route("/health", methods=["GET"])
    async def read_health(request: Request) -> bytes:
        await upstream.wait_while_frozen()
        state = health(upstream.faults.health_lag_ms)
        return answer_json(request, OK, {"state": upstream.faults.health or state})

    @app.route("/load", methods=["GET"])
    async def read_load(request: Request) -> bytes:
        await upstream.wait_while_frozen()
        running, queued = load(upstream.faults.load_lag_ms)
        faults = upstream.faults
        document = {
            "running": running if faults.running is None else faults.running,
            "queued": queued if faults.queued is None else faults.queued,
            "slots": upstream.options.slots,
        }
        return answer_json(request, OK, document)


def _add_control_routes(app: Any, upstream: UpstreamStandin) -> None:
    @app.route("/faults", methods=["GET"])
    def read_faults(request: Request) -> bytes:
        return answer_json(request, OK, upstream.faults.model_dump())

    @app.route("/faults", methods=["PUT"])
    def replace_faults(request: Request) -> bytes:
        try:
            faults = read_model(request, UpstreamFaults)
        except InvalidBody as e:
            return answer_json(request, BAD_REQUEST, {"error": str(e)})
        upstream.replace_faults(faults)
        return answer_json(request, OK, upstream.faults.model_dump())

    @app.route("/counters", methods=["GET"])
    def read_counters(request: Request) -> bytes:
        return answer_json(request, OK, {"connections": asdict(upstream.connections)})

    @app.route("/runs", methods=["GET"])
    def read_runs(request: Request) -> bytes:
        return answer_json(request, OK, upstream.run_log.as_documents())


def _cached_until_older(upstream: UpstreamStandin, read: Callable[[], T]) -> Callable[[int], T]:
    """Return a function that caches a reading until it is at least as old as a given lag."""
    reading, read_at = read(), timedelta(0)

    def read_cached(lag_ms: int) -> T:
        nonlocal reading, read_at
        now = upstream.clock.now()
        if now - read_at >= milliseconds(lag_ms):
            reading, read_at = read(), now
        return reading

    return read_cached
