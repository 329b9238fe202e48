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

    async def add_target(self, service, observer, **options):
        number = next(self._numbers)
        name = f"i-{secrets.token_hex(4)}"
        host = f"{self.network}.{40 + number}"
        target = Target(
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


def configuration(version, keyed_service, **changes):
    """Return the operator's configuration with one route to a service that is divided by key."""
    route = {
        "host": HOST,
        "prefix": "/look/",
        "route_type": "safe",
        "timeout": "1000ms",
        "latency_goal": "500ms",
        "priority": 1,
        "service": keyed_service,
        "max_attempts": 2,
    }
    service = {"health_path": "/health", "max_conns": 110, "sharded": True, "warm": "3s"}
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    content = {
        "version": f"r{version}",
        "routes": {"r-look": {**route, **changes}},
        "services": {keyed_service: service},
        "limits": limits,
    }
    return json.dumps(content).encode()
