"""Instances of the gateway as separate processes, with the stand-ins around them."""

import asyncio
import itertools
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from store import Store
from target import Target
from wire import call

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, STREAM, RELAY, METRICS, STORE, TARGET = 8641, 8640, 7620, 7635, 9464, 8642, 8000
ZONES = ("a", "b")
HOST = "hulo84.example"


def free_network():
    """Return the first three octets of loopback addresses on which the ports are free."""
    while True:
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for last in (1, 11, 12, 13, 14, 41):
                for port in (FRONT, READY, STREAM, RELAY, METRICS, STORE, TARGET):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{last}", port))
            return network
        except OSError:
            continue


class Record:
    """Lines of `record.txt`, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began_at = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._began_at:9.3f} {text}\n")
        self._file.flush()


class World:
    def __init__(self, record, instance_count=3, era=1):
        self.record = record
        self.network = free_network()
        self.store = Store(era)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.instances = {f"edge-{n}": f"{self.network}.{11 + n}" for n in range(instance_count)}
        self.processes = {}
        self.targets = []
        self._numbers = itertools.count(1)
        self._is_first = set(self.instances)

    # Instances.

    async def start_store(self):
        for name, host in self.instances.items():
            await self.store.listen(name, host, STORE)

    def launch(self, name):
        """Start the program of an instance with the command of the deploy file."""
        host = self.instances[name]
        number = list(self.instances).index(name)
        settings = {
            "name": name,
            "data_centre": ZONES[number % len(ZONES)],
            "host": host,
            "callers": f"{host}:{FRONT}",
            "readiness": f"{host}:{READY}",
            "stream_port": STREAM,
            "relay_port": RELAY,
            "core_speed": 1,
            "core_share": 0.86,
            "metrics_port": METRICS,
            "store": f"{host}:{STORE}",
            "longest_hold": "10000ms",
            "retry_window": "10s",
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "memory_mb": 300,
            "link_mbps": 1000.0,
            "waiting_room": "off",
            "adaptive_concurrency": "off",
            "stop_within": "6s",
            "first_start": name in self._is_first,
        }
        self._is_first.discard(name)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        with open(ROOT / "deploy" / "system.toml", "rb") as deploy:
            command = tomllib.load(deploy)["roles"]["entry"]["run"].split()
        command = [str(path) if w == "/etc/laburnumhatch/local.yaml" else w for w in command]
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LABURNUMHATCH_CONFIG"] = str(path)
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.processes[name] = process
        return process

    def leading_process(self):
        """Return the process that the store's row names as the leader, as ``NAME/BOOT``."""
        row = self.store.get("leader", "leader")
        return json.loads(row)["member"] if row else ""

    def leader(self):
        """Return the instance that the store's row names as the leader."""
        return self.leading_process().partition("/")[0] or None

    async def until_ready(self, name, timeout=20.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            answer = await call(self.instances[name], READY, "GET", "/ready", [("Host", "r")])
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop_gracefully(self, name, grace=6.0):
        """Send SIGTERM, and SIGKILL after the grace."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + grace
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
        process.wait()

    # Servers.

    async def add_target(self, service, observer, kind=Target, **options):
        number = next(self._numbers)
        name = f"i-{secrets.token_hex(4)}"
        host = f"{self.network}.{40 + number}"
        target = kind(
            self.store, name, service, ZONES[number % 2], host, TARGET, observer, **options
        )
        self.targets.append(target)
        await target.start()
        self.record(f"server {name} starts at {host}")
        return target

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


def _document(version, routes, properties):
    """Return the operator's configuration; `routes` has the fields of each route by service."""
    common = {"host": HOST, "priority": 1, "max_attempts": 2}
    content = {
        "version": f"r{version}",
        "routes": {f"r-{s}": {**common, "service": s, **fields} for s, fields in routes.items()},
        "services": {service: properties for service in routes},
        "limits": LIMITS,
    }
    return json.dumps(content).encode()


def configuration(version, service):
    """Return a configuration with a route to a service that is divided by key."""
    route = {"prefix": "/look/", "route_type": "safe", "timeout": "1000ms", "latency_goal": "500ms"}
    properties = {"health_path": "/health", "max_conns": 110, "sharded": True, "warm": "3s"}
    return _document(version, {service: route}, properties)


def plain_configuration(version, types):
    """Return a configuration with a route to each of some services without keys.

    `types` has the type of the route by service; the service's name is the route's prefix.
    """
    times = {"timeout": "5000ms", "latency_goal": "1000ms"}
    routes = {s: {"prefix": f"/{s}/", "route_type": t, **times} for s, t in types.items()}
    return _document(version, routes, {"health_path": "/health", "max_conns": 110})
