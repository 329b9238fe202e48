"""The store comes back from a copy a second time, as a new leader reads the owners of keys."""

import asyncio
import os
import sys
from collections import deque
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from owners import SERVICE, OwnerChecks, release_servers, send_requests  # noqa: E402
from world import Record, World, configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 6
STOPS = 2
# Age of the copy, time between two copies, and for how long the store is away.
COPY_AGE_S, COPY_S = 3.0, 0.25
AWAY_S, SHORT_AWAY_S = 2.0, 0.3
# Time after a drill until all keys are served again.
SETTLE_S = 18.0


async def keep_copies(store, copies, stopped):
    while not stopped.is_set():
        copies.append(store.copy())
        await asyncio.sleep(COPY_S)


async def run(world, record):
    checks = OwnerChecks(record, world.targets)
    watching = asyncio.ensure_future(checks.watch())
    store = world.store
    await world.start_store()
    store.put("op", "config", configuration(1, SERVICE))
    for _ in range(SERVERS):
        await world.add_target(SERVICE, checks)
    for name in world.instances:
        world.launch(name)
    for name in world.instances:
        if not await world.until_ready(name):
            return 2
    copies = deque(maxlen=round(COPY_AGE_S / COPY_S))
    stopped = asyncio.Event()
    copying = asyncio.ensure_future(keep_copies(store, copies, stopped))
    traffic = asyncio.ensure_future(send_requests(world, stopped))
    await asyncio.sleep(4.0)
    if not checks.grants:
        return 2
    if TROUBLE:
        leader = world.leader()
        record(f"first drill: the store is away; {leader}, which leads, is killed and starts again")
        world.processes[leader].kill()
        world.processes[leader].wait()
        await store.come_back_from(copies[0], AWAY_S)
        world.launch(leader)
        await asyncio.sleep(SETTLE_S)
        record(f"{checks.broken} breaks after the first drill")
    releasing = asyncio.ensure_future(release_servers(world, checks, stopped))
    last_leader = world.leading_process()
    drills = []

    def on_write(machine, put, connection):
        nonlocal last_leader
        if ("leader", "leader") not in put or world.leading_process() == last_leader:
            return
        last_leader = world.leading_process()
        record(f"{last_leader} leads")
        if TROUBLE and not drills:
            record("second drill: the store is away")
            drills.append(asyncio.ensure_future(store.come_back_from(copies[0], SHORT_AWAY_S)))

    store.on_write = on_write
    await asyncio.sleep(4.0)
    for _ in range(STOPS):
        leader = world.leader()
        drills.clear()
        record(f"SIGTERM to {leader}, which leads")
        await world.stop_gracefully(leader)
        world.launch(leader)
        await world.until_ready(leader)
        await asyncio.sleep(5.0)
        if checks.broken:
            break
        await asyncio.sleep(SETTLE_S if TROUBLE else 0)
    stopped.set()
    await asyncio.gather(releasing, copying)
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
