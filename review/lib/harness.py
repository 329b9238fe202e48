"""Stand-ins of the platform, the targets and the consumers for the scripts of the review.

Everything uses the standard library only and loopback addresses. A script runs the gateway with the
command of the deploy file as a separate process; store, targets and consumers run in the script.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 0.87
STARTED_AT = time.monotonic()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - STARTED_AT:8.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


async def read_head(reader):
    """Return the first line and the fields (lower-case names) of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readline()


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(first_line, fields, body=b"", framed=True):
    lines = [first_line, *(f"{n}: {v}" for n, v in fields)]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store of rows."""

    def __init__(self, host):
        self.host, self.port = host, 0
        self.rows, self.ver, self.era = {}, 0, 1
        self.mode = "up"  # up, busy (503), silent

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0, limit=4 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        self.ver += 1
        self.rows[table, "", key] = (value, self.ver)

    def drop(self, table, key):
        self.ver += 1
        self.rows.pop((table, "", key), None)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await asyncio.sleep(0.004)
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                status, answer = self._call(head[0], body) if self.mode == "up" else (503, {})
                answer |= {"ver": self.ver, "now": f"{int((time.monotonic() - STARTED_AT) * 1000) + 50000}ms"}
                fields = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                writer.write(message(f"HTTP/1.1 {status} X", fields, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _row(self, name):
        value, ver = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": base64.b64encode(value).decode(), "ver": ver}

    def _call(self, line, body):
        from urllib.parse import parse_qs

        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        q = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        if (method, path) == ("GET", "/rows-get"):
            start, end, limit = q.get("from", ""), q.get("target"), int(q.get("limit", 500))
            names = sorted(
                n for n in self.rows
                if n[0] == q["table"] and n[1] == q.get("part", "") and n[2] >= start and (end is None or n[2] < end)
            )
            return 200, {"rows": [self._row(n) for n in names[:limit]], "truncated": len(names) > limit}
        if (method, path) == ("POST", "/rows-tx"):
            tx = json.loads(body)
            name = lambda r: (r["table"], r.get("part", ""), r["key"])  # noqa: E731
            if any(r["table"] in ("op", "servers") for r in tx.get("put", []) + tx.get("remove", [])):
                return 403, {}
            expected = tx.get("expected", [])
            if any(self.rows.get(name(r), (b"", 0))[1] != r["ver"] for r in expected):
                return 412, {"rows": [self._row(name(r)) for r in expected if name(r) in self.rows]}
            self.ver += 1
            for r in tx.get("put", []):
                self.rows[name(r)] = (base64.b64decode(r["value"]), self.ver)
            for r in tx.get("remove", []):
                self.rows.pop(name(r), None)
            return 200, {}
        return 404, {}


class Target:
    """A target of one service, which runs `slots` requests at a time and queues some more.

    `handle`, if given, is a coroutine function `(target, reader, writer, line, fields, body)` that
    takes the place of the sound answer; it returns whether the connection goes on.
    """

    def __init__(self, store, record, service, host, zone="lade", slots=2, work_s=0.02, keyed=False, handle=None):
        self.store, self.record, self.service, self.host, self.zone = store, record, service, host, zone
        self.slots, self.work_s, self.keyed, self.handle = slots, work_s, keyed, handle
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.state, self.sequence, self.port = "ready", 0, 0
        self.arrived, self.ran = [], []
        self.held = []  # (first, last, fence, ends_at)
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._beating = None
        self.connections = set()

    async def start(self, port=0, register=True):
        self._server = await asyncio.start_server(self._serve, self.host, port, limit=4 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        if register:
            self._beating = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "warmup_left": "0ms", "sequence": self.sequence, "born": self.born,
        }
        self.store.put("servers", self.id, json.dumps(entry).encode())

    def stop_beating(self):
        if self._beating is not None:
            self._beating.cancel()

    def crash(self):
        """End at once: reset all connections and listen no more."""
        self.stop_beating()
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                if fields.get("x-expect-instance", self.id) != self.id:
                    await read_body(reader, fields)
                    writer.write(message("HTTP/1.1 421 Misdirected Request", [("X-Not-Executed", "1"), ("X-Attempt-Id", fields.get("x-attempt-id", ""))]))
                    continue
                path = line.split(" ")[1]
                if path in ("/grant", "/release"):
                    body = await read_body(reader, fields)
                    writer.write(self._order(path, json.loads(body)))
                    continue
                if path == "/health":
                    status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                    writer.write(message(f"HTTP/1.1 {status}", [("X-Instance-Id", self.id)]))
                    continue
                if self.handle is not None:
                    if not await self.handle(self, reader, writer, line, fields):
                        return
                    continue
                await self.answer(reader, writer, line, fields)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def _order(self, path, call):
        now = time.monotonic()
        first, last, fence = call["from"], call["target"], call["fence"]
        overlapping = [h for h in self.held if h[0] <= last and first <= h[1]]
        if path == "/grant":
            if any(h[2] > fence for h in overlapping):
                return message("HTTP/1.1 409 Conflict", [])
            hold = call["hold_time"]
            seconds = float(hold[:-2]) / 1000 if hold.endswith("ms") else float(hold[:-1])
            ends_at = now + seconds
        else:
            ends_at = 0.0
        kept = []
        for h in self.held:
            if h in overlapping:
                if h[0] < first:
                    kept.append((h[0], first - 1, h[2], h[3]))
                if h[1] > last:
                    kept.append((last + 1, h[1], h[2], h[3]))
            else:
                kept.append(h)
        self.held = [*kept, (first, last, max([fence, *(h[2] for h in overlapping)]), ends_at)]
        fields = [("X-Handover", f"{random.getrandbits(64):016x}")] if path == "/release" else []
        return message("HTTP/1.1 200 OK", fields)

    def holds(self, key):
        now = time.monotonic()
        return any(h[0] <= key <= h[1] and h[3] > now for h in self.held)

    async def answer(self, reader, writer, line, fields):
        """Answer a request as a sound target does."""
        body = await read_body(reader, fields)
        attempt = fields.get("x-attempt-id", "")
        echo = ("X-Attempt-Id", attempt)
        self.arrived.append(attempt)
        if self.keyed and not self.holds(int(fields.get("x-shard-key", "-1"))):
            writer.write(message("HTTP/1.1 421 Misdirected Request", [echo, ("X-Not-Executed", "1")]))
            return
        if self._slots.locked() and self._waiting >= 4 * self.slots:
            writer.write(message("HTTP/1.1 503 Service Unavailable", [echo, ("X-Not-Executed", "1")]))
            return
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self.ran.append(attempt)
            self.record(f"target {self.id} of {self.service} runs {attempt} ({line}, body of {len(body)} bytes)")
            await asyncio.sleep(self.work_s)
        writer.write(message("HTTP/1.1 200 OK", [echo, ("X-Response-Seal", seal(self.id, attempt))], answer_body(self.id, attempt)))
        await writer.drain()


def seal(target_id, attempt):
    return f"{target_id}.{attempt}"


def answer_body(target_id, attempt):
    return f"answer of {target_id} to {attempt}\n".encode() * 4


def config(version, routes, services, limits=None):
    """Return a config; `routes` maps names to fields, `services` names to whether they are keyed."""
    full = {}
    for name, fields in routes.items():
        full[name] = {
            "host": "shop.example", "prefix": f"/{name}/", "route_type": "safe", "timeout": "2000ms",
            "latency_goal": "500ms", "priority": 1, "max_attempts": 2,
        } | fields
    return json.dumps({
        "version": f"r{version}", "routes": full,
        "services": {
            name: {"health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False} | ({"sharded": True, "warm": "3s"} if keyed else {})
            for name, keyed in services.items()
        },
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"} | (limits or {}),
    }).encode()


class Gateway:
    """One gateway process, run with the command of the deploy file."""

    def __init__(self, name, host, store, record, folder, zone="lade", first=True):
        self.name, self.host, self.store, self.record, self.folder, self.zone = name, host, store, record, Path(folder), zone
        self.first_start = first
        self.process = None
        self.ports = {k: free_port(host) for k in ("front", "ready", "stream", "relay", "metrics")}

    async def start(self):
        settings = {
            "name": self.name, "data_centre": self.zone, "host": self.host,
            "callers": f"{self.host}:{self.ports['front']}", "readiness": f"{self.host}:{self.ports['ready']}",
            "stream_port": self.ports["stream"], "relay_port": self.ports["relay"], "metrics_port": self.ports["metrics"],
            "core_speed": 1.0, "core_share": 0.86, "store": f"{self.store.host}:{self.store.port}",
            "longest_hold": "10000ms", "retry_window": "10s", "retry_ratio": 0.2, "retry_slack": 56,
            "stop_within": "6s", "first_start": self.first_start,
        }
        self.first_start = False
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {"LABURNUMHATCH_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-P", "-m", "laburnumhatch.gateway", str(path), cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )
        self.record(f"gateway {self.name} starts")

    async def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await request(self.host, self.ports["ready"], "GET", "/ready", [], timeout=1.0)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        self.record(f"{signal.Signals(number).name} to gateway {self.name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Return the memory that the process holds now, in MB."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class Answer:
    def __init__(self, status=0, fields=None, body=b"", error=""):
        self.status, self.fields, self.body, self.error = status, fields or {}, body, error

    def __repr__(self):
        return f"{self.status} {self.error}".strip()


async def read_answer(reader, timeout):
    async def read():
        head = await read_head(reader)
        if head is None:
            return Answer(error="closed without an answer")
        status = int(head[0].split(" ")[1])
        try:
            body = await read_body(reader, head[1])
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return Answer(status, head[1], error="incomplete")
        return Answer(status, head[1], body)

    try:
        return await asyncio.wait_for(read(), timeout)
    except asyncio.TimeoutError:
        return Answer(error="no final answer")
    except ConnectionError as e:
        return Answer(error=f"{type(e).__name__}")


async def request(host, port, method, path, fields, body=b"", timeout=5.0):
    """Send one request on a new connection and return its answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port, limit=64 << 20), 1.0)
    except (OSError, asyncio.TimeoutError) as e:
        return Answer(error=f"not connected: {type(e).__name__}")
    try:
        fields = [("Host", "shop.example"), *fields]
        writer.write(message(f"{method} {path} HTTP/1.1", fields, body, framed=bool(body) or method != "GET"))
        await writer.drain()
        return await read_answer(reader, timeout)
    except ConnectionError as e:
        return Answer(error=type(e).__name__)
    finally:
        writer.close()


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def run(case, folder):
    """Run a case, a coroutine function `(record, folder)` that returns whether the rule held."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    gateways = []

    async def main():
        try:
            return await asyncio.wait_for(case(record, temporary, gateways), 110)
        finally:
            for gateway in gateways:
                if gateway.is_running:
                    try:
                        gateway.process.kill()
                    except ProcessLookupError:
                        pass
                    await gateway.process.wait()

    try:
        held = asyncio.run(main())
        code = 0 if held else 1
    except Exception as e:  # noqa: BLE001
        record(f"the case could not run: {type(e).__name__}: {e}")
        code = 2
    record({0: "the rule held", 1: "the rule was broken", 2: "no result"}[code])
    if os.environ.get("KEEP"):
        record(f"logs in {temporary}")
        print(temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    record.close()
    sys.exit(code)
