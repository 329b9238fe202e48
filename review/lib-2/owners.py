"""Keyed servers that are released one by one, requests to them, and the checks of rule OWNER."""

import asyncio
import random
import secrets
import time

from target import LAST_KEY
from wire import call
from world import FRONT, HOST

SERVICE = "yardbook"
# Pause between two servers of a release, and the time for which a leaving one serves on.
RELEASE_GAP_S = 0.5
DRAIN_S = 2.5
# Time for which two servers may hold a key without requests, and how it is watched.
MAX_SHARED_HOLD_S = 0.5
WATCH_S = 0.05
WATCHED_KEYS = range(0, LAST_KEY + 1, 128)


class OwnerChecks:
    """OWNER: fences rise from server to server, and one server at a time holds a key."""

    def __init__(self, record, servers):
        self._record, self._servers = record, servers
        self._highest = [(0, None)] * (LAST_KEY + 1)
        # Pairs of servers of which the first began a request while the second held its key.
        self._began = set()
        # Since when two servers hold a watched key.
        self._shared_since = {}
        self.broken = self.grants = self.runs = 0

    def _break(self, text):
        self.broken += 1
        self._record(f"OWNER: {text}")

    def on_grant(self, server, first, last, fence, is_new):
        self.grants += 1
        if not is_new:
            return
        taken = [k for k in range(first, last + 1) if self._highest[k][0] >= fence]
        other = [k for k in taken if self._highest[k][1] is not server]
        if other:
            had, holder = self._highest[other[0]]
            self._break(
                f"{server.name} takes {first}-{last} with fence {fence}, but {holder.name} had "
                f"{had} for {len(other)} of these keys"
            )
        for key in range(first, last + 1):
            if fence > self._highest[key][0]:
                self._highest[key] = (fence, server)

    def on_run(self, server, request, key):
        self.runs += 1
        now = time.monotonic()
        for other in self._servers:
            if other is server or not other.holds(key, now):
                continue
            self._record(f"{server.name} begins a request on {key}, which {other.name} holds too")
            self._began.add((server, other))
            if (other, server) in self._began:
                self._break(f"{server.name} and {other.name} hold {key} and both begin requests")

    async def watch(self):
        """Find keys that two servers hold for too long."""
        while True:
            now = time.monotonic()
            up = [server for server in self._servers if server.is_up]
            for key in WATCHED_KEYS:
                holders = [server.name for server in up if server.holds(key, now)]
                if len(holders) < 2:
                    self._shared_since.pop(key, None)
                    continue
                since = self._shared_since.setdefault(key, now)
                if since is not None and now - since > MAX_SHARED_HOLD_S:
                    self._shared_since[key] = None
                    names = " and ".join(holders)
                    self._break(f"{names} have both held {key} for {now - since:.2f} s")
            await asyncio.sleep(WATCH_S)


async def send_requests(world, stopped):
    async def send():
        name = random.choice(list(world.instances))
        attempt = secrets.token_hex(8)
        fields = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", "2000"),
            ("X-Shard-Key", str(random.randint(0, LAST_KEY))),
        ]
        answer = await call(world.instances[name], FRONT, "GET", "/look/1", fields)
        counts[answer and answer[0]] = counts.get(answer and answer[0], 0) + 1

    counts = {}
    while not stopped.is_set():
        asyncio.ensure_future(send())
        await asyncio.sleep(0.02)
    return counts


async def release_servers(world, checks, stopped):
    """Replace the servers one after the other, without an end."""

    async def leave(server):
        server.drain()
        await asyncio.sleep(DRAIN_S)
        server.end()

    while not stopped.is_set():
        await world.add_target(SERVICE, checks)
        await asyncio.sleep(RELEASE_GAP_S)
        oldest = next(t for t in world.targets if t.is_up and not t.is_draining)
        asyncio.ensure_future(leave(oldest))
        await asyncio.sleep(RELEASE_GAP_S)


