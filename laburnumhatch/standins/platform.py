"""Simulated table, object store and instance list of the platform."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from klein import Klein
from pydantic import TypeAdapter, ValidationError
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from ..clocks import Clock, milliseconds
from ..storage import ListedInstance, Row
from .http import InvalidBody, abort_connection, answer_json, get_header, read_model, sleep
from .platform_faults import PlatformFaults, StoreFaults

__all__ = ["PlatformStandin", "build_platform_app"]

MAX_ROWS = 10_000
MAX_OBJECTS = 10_000
MAX_VALUE_BYTES = 8 * 2**20
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
PRECONDITION_FAILED = 412
TOO_LARGE = 413
UNAVAILABLE = 503
INSUFFICIENT_STORAGE = 507

_INSTANCE_LIST = TypeAdapter(tuple[ListedInstance, ...])


@dataclass
class PlatformStandin:
    """State of the platform stand-in.

    Attributes
    ----------
    rows : dict of str to Row
    objects : dict of str to bytes
    instances : tuple of ListedInstance
    faults : PlatformFaults
    counters : Counter
        Calls under ``table_reads``, ``table_writes``, ``object_reads``, ``object_writes`` and
        ``list_reads``, and writes with an unmet condition under ``table_conflicts``.
    """

    clock: Clock
    rows: dict[str, Row] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    instances: tuple[ListedInstance, ...] = ()
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    counters: Counter[str] = field(default_factory=Counter)

    def consume_fault(self, service: str, name: str) -> bool:
        """Return whether a counted fault applies, and decrement its count if so."""
        faults: StoreFaults = getattr(self.faults, service)
        remaining: int = getattr(faults, name)
        if remaining == 0:
            return False
        changed = faults.model_copy(update={name: remaining - 1})
        self.faults = self.faults.model_copy(update={service: changed})
        return True


def build_platform_app(platform: PlatformStandin) -> Klein:
    """Return the app that serves `platform`.

    Notes
    -----
    A single thread holds all state and applies each call atomically, so the table is
    linearizable.
    """
    app: Any = Klein()
    _add_table_routes(app, platform)
    _add_object_routes(app, platform)
    _add_instance_routes(app, platform)
    _add_control_routes(app, platform)
    return app


def _add_table_routes(app: Any, platform: PlatformStandin) -> None:
    @app.route("/table/<path:key>", methods=["GET"])
    async def read_row(request: Request, key: str) -> bytes:
        platform.counters["table_reads"] += 1
        if await _delay_and_check_down(request, platform, "table"):
            return b"the table is down\n"
        row = platform.rows.get(key)
        if row is None:
            request.setResponseCode(NOT_FOUND)
            return b""
        return _row_answer(request, OK, row)

    @app.route("/table/<path:key>", methods=["PUT"])
    async def write_row(request: Request, key: str) -> Any:
        platform.counters["table_writes"] += 1
        value = _read_body(request)
        expected = _expected_version(request)
        writer = get_header(request, "writer")

        def apply() -> bytes:
            return _write_row(request, platform, key, value, expected, writer)

        return await _write_with_faults(request, platform, "table", apply)


def _write_row(
    request: Request,
    platform: PlatformStandin,
    key: str,
    value: bytes,
    expected: int | None,
    writer: str,
) -> bytes:
    if expected is None or not writer:
        request.setResponseCode(BAD_REQUEST)
        return b"expected the header Writer, and If-Match with a version or If-None-Match: *\n"
    current = platform.rows.get(key)
    found_version = current.version if current is not None else 0
    if found_version != expected:
        platform.counters["table_conflicts"] += 1
        if current is None:
            request.setResponseCode(PRECONDITION_FAILED)
            return b""
        return _row_answer(request, PRECONDITION_FAILED, current)
    if current is None and len(platform.rows) >= MAX_ROWS:
        request.setResponseCode(INSUFFICIENT_STORAGE)
        return b"the table is full\n"
    platform.rows[key] = Row(key, found_version + 1, writer, value)
    request.setHeader("etag", f'"{found_version + 1}"')
    return b""


def _add_object_routes(app: Any, platform: PlatformStandin) -> None:
    @app.route("/objects/<path:name>", methods=["GET"])
    async def read_object(request: Request, name: str) -> bytes:
        platform.counters["object_reads"] += 1
        if await _delay_and_check_down(request, platform, "objects"):
            return b"the object store is down\n"
        content = platform.objects.get(name)
        if content is None:
            request.setResponseCode(NOT_FOUND)
            return b""
        request.setHeader("content-type", "application/octet-stream")
        return content

    @app.route("/objects/<path:name>", methods=["PUT"])
    async def write_object(request: Request, name: str) -> Any:
        platform.counters["object_writes"] += 1
        content = _read_body(request)

        def apply() -> bytes:
            if name not in platform.objects and len(platform.objects) >= MAX_OBJECTS:
                request.setResponseCode(INSUFFICIENT_STORAGE)
                return b"the object store is full\n"
            platform.objects[name] = content
            return b""

        return await _write_with_faults(request, platform, "objects", apply)


def _add_instance_routes(app: Any, platform: PlatformStandin) -> None:
    @app.route("/instances", methods=["GET"])
    async def read_list(request: Request) -> bytes:
        platform.counters["list_reads"] += 1
        if await _delay_and_check_down(request, platform, "instances"):
            return b"the instance list is down\n"
        request.setHeader("content-type", "application/json")
        return _INSTANCE_LIST.dump_json(platform.instances)

    @app.route("/instances", methods=["PUT"])
    def replace_list(request: Request) -> bytes:
        try:
            instances = _INSTANCE_LIST.validate_json(_read_body(request))
        except ValidationError as e:
            request.setResponseCode(BAD_REQUEST)
            return f"not a list of instances: {e}\n".encode()
        lag = milliseconds(platform.faults.instances.lag_ms)
        if lag:
            platform.clock.call_later(lag, setattr, platform, "instances", instances)
        else:
            platform.instances = instances
        return b""


def _add_control_routes(app: Any, platform: PlatformStandin) -> None:
    @app.route("/faults", methods=["GET"])
    def read_faults(request: Request) -> bytes:
        return answer_json(request, OK, platform.faults.model_dump())

    @app.route("/faults", methods=["PUT"])
    def replace_faults(request: Request) -> bytes:
        try:
            platform.faults = read_model(request, PlatformFaults)
        except InvalidBody as e:
            return answer_json(request, BAD_REQUEST, {"error": str(e)})
        return answer_json(request, OK, platform.faults.model_dump())

    @app.route("/counters", methods=["GET"])
    def read_counters(request: Request) -> bytes:
        return answer_json(request, OK, dict(platform.counters))


async def _delay_and_check_down(request: Request, platform: PlatformStandin, service: str) -> bool:
    faults = getattr(platform.faults, service)
    if faults.slow_ms:
        await sleep(platform.clock, faults.slow_ms)
    if getattr(platform.faults, service).down:
        request.setResponseCode(UNAVAILABLE)
        return True
    return False


def _write_with_faults(
    request: Request, platform: PlatformStandin, service: str, apply: Callable[[], bytes]
) -> Deferred[Any]:
    """Apply a write, perhaps after a delay, and return a deferred with the body of its response.

    A write takes effect even if its caller disconnects before that.
    """
    answered: Deferred[Any] = Deferred(lambda _: None)

    def run() -> None:
        answer = _apply_write(request, platform, service, apply)
        if not answered.called:
            answered.callback(answer)

    slow_ms = getattr(platform.faults, service).slow_ms
    if slow_ms:
        platform.clock.call_later(milliseconds(slow_ms), run)
    else:
        run()
    return answered


def _apply_write(
    request: Request, platform: PlatformStandin, service: str, apply: Callable[[], bytes]
) -> bytes:
    if getattr(platform.faults, service).down:
        request.setResponseCode(UNAVAILABLE)
        return f"the {service} service is down\n".encode()
    if platform.consume_fault(service, "lost_writes"):
        abort_connection(request)
        return b""
    if int(get_header(request, "content-length") or 0) > MAX_VALUE_BYTES:
        request.setResponseCode(TOO_LARGE)
        return b"the value is too large\n"
    answer = apply()
    if platform.consume_fault(service, "lost_replies"):
        abort_connection(request)
    return answer


def _read_body(request: Request) -> bytes:
    assert request.content is not None
    return request.content.read(MAX_VALUE_BYTES)


def _expected_version(request: Request) -> int | None:
    if get_header(request, "if-none-match") == "*":
        return 0
    version = get_header(request, "if-match").strip('"')
    return int(version) if version.isdigit() else None


def _row_answer(request: Request, status: int, row: Row) -> bytes:
    request.setResponseCode(status)
    request.setHeader("etag", f'"{row.version}"')
    request.setHeader("writer", row.writer)
    request.setHeader("content-type", "application/octet-stream")
    return row.value
