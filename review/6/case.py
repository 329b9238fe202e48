"""A new leader's open connections to the store go silent before it has read the owners of keys."""

import asyncio
import os
import random
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from target import LAST_KEY  # noqa: E402
from wire import call  # noqa: E402
from world import FRONT, HOST, Record, World, configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "loftbook"
SERVERS = 6
# Pause between two servers of a release, and the time for which a leaving one serves on.
RELEASE_GAP_S = 0.5
DRAIN_S = 2.5
RUN_S = 70.0


class Checks:
    """OWNER: fences must rise from server to server, and one server at a time holds a key."""

    def __init__(self, record):
        self._record = record
        self._highest = [(0, None)] * (LAST_KEY + 1)
        self.broken = 0
        self.grants = 0
        self.runs = 0
        self._held_twice = {}

    def on_grant(self, server, first, last, fence, is_new):
        self.grants += 1
        if not is_new:
            return
        taken = [k for k in range(first, last + 1) if self._highest[k][0] >= fence]
        other = [k for k in taken if self._highest[k][1] is not server]
        if other:
            had, holder = self._highest[other[0]]
            self.broken += 1
            self._record(
                f"OWNER: {server.name} takes {first}-{last} with fence {fence}, but "
                f"{holder.name} had {had} for {len(other)} of these keys"
            )
        for key in range(first, last + 1):
            if fence > self._highest[key][0]:
                self._highest[key] = (fence, server)

    def on_run(self, server, request, key):
        self.runs += 1
        now = time.monotonic()
        for other in self.servers:
            if other is not server and other.holds(key, now):
                self.broken += 1
                self._record(f"OWNER: {server.name} and {other.name} hold {key}; both run requests")


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


async def run(world, record):
    checks = Checks(record)
    checks.servers = world.targets
    await world.start_store()
    world.store.put("op", "config", configuration(1, SERVICE))
    for _ in range(SERVERS):
        await world.add_target(SERVICE, checks)
    for name in world.instances:
        world.launch(name)
    for name in world.instances:
        if not await world.until_ready(name):
            return 2
    await asyncio.sleep(4.0)
    if not checks.grants:
        return 2
    last_leader = world.leading_process()
    owners_size = len(world.store.get("keys", SERVICE) or b"")

    def on_write(machine, put, connection):
        nonlocal last_leader, owners_size
        if ("keys", SERVICE) in put:
            size = len(world.store.get("keys", SERVICE))
            if size < owners_size / 4:
                record(f"{machine} writes the row of owners, now {size} bytes, was {owners_size}")
            owners_size = size
        if ("leader", "leader") not in put or world.leading_process() == last_leader:
            return
        last_leader = world.leading_process()
        record(f"{last_leader} leads")
        if TROUBLE:
            connections = world.store.servers[machine].connections
            record(f"{len(connections)} open connections of {machine} to the store go silent")
            for open_connection in list(connections):
                open_connection.is_silent = True

    world.store.on_write = on_write
    stopped = asyncio.Event()
    traffic = asyncio.ensure_future(send_requests(world, stopped))
    releasing = asyncio.ensure_future(release_servers(world, checks, stopped))
    end = time.monotonic() + RUN_S
    while time.monotonic() < end and not checks.broken:
        leader = world.leader()
        record(f"SIGTERM to {leader}, which leads")
        await world.stop_gracefully(leader)
        world.launch(leader)
        if not await world.until_ready(leader):
            record(f"{leader} is not ready in time")
        await asyncio.sleep(3.0)
    stopped.set()
    await releasing
    record(f"answers by status: {await traffic}; {checks.grants} grants, {checks.runs} runs")
    record(f"{checks.broken} breaks of OWNER" if checks.broken else "OWNER held")
    return 1 if checks.broken else 0


def main():
    record = Record(HERE)
    world = World(record)
    try:
        return asyncio.run(run(world, record))
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(main())
