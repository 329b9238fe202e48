"""A new leader's open connections to the store go silent before it has read the owners of keys."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from owners import SERVICE, OwnerChecks, release_servers, send_requests  # noqa: E402
from world import Record, World, configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 6
RUN_S = 70.0


async def run(world, record):
    checks = OwnerChecks(record, world.targets)
    watching = asyncio.ensure_future(checks.watch())
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
    watching.cancel()
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
