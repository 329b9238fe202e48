"""A target in trouble sends a body without end; its callers get no final answer."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import *  # noqa: E402, F403

# Timeout of the route, the consumers' deadline, and the time after the timeout that the rule allows.
TIMEOUT_S, DEADLINE_S, ALLOWED_S = 1.0, 4.0, 0.5
# The rule is broken by so many requests without a final answer, and over this share of those that
# last longer than the timeout.
LEAST, SHARE = 8, 0.25
CONSUMERS = 12
PIECE = b"4000\r\n" + b"#" * 0x4000 + b"\r\n"


async def endless(target, reader, writer, line, fields):
    """Begin an answer and send bytes until the caller closes."""
    await read_body(reader, fields)
    attempt = fields.get("x-attempt-id", "")
    target.arrived.append(attempt)
    target.record(f"target {target.id} in trouble begins an answer without end to {attempt}")
    head = [("X-Attempt-Id", attempt), ("X-Response-Seal", seal(target.id, attempt)), ("Transfer-Encoding", "chunked")]
    writer.write(message("HTTP/1.1 200 OK", head, framed=False))
    while True:
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(0.01)


async def case(record, temporary, gateways):
    store = Store("127.32.0.1")
    await store.start()
    routes = {"drawings": {"service": "plansafe", "route_type": "download", "timeout": f"{TIMEOUT_S * 1000:.0f}ms", "latency_goal": "400ms"}}
    store.put("op", "config", config(7, routes, {"plansafe": False}))
    targets = [Target(store, record, "plansafe", f"127.32.1.{n}", slots=6, work_s=0.13) for n in range(1, 7)]
    if TROUBLE:
        targets[0].handle = endless
    for target in targets:
        await target.start()
    gateway = Gateway("edge-1", "127.32.0.2", store, record, temporary)
    gateways.append(gateway)
    await gateway.start()
    if not await gateway.wait_ready():
        raise RuntimeError("the gateway did not become ready")
    await asyncio.sleep(4.0)

    # Seconds from sending to the final answer of each request.
    times = []
    stopping = asyncio.Event()

    async def consumer(number):
        while not stopping.is_set():
            attempt = new_attempt()
            fields = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", f"{DEADLINE_S * 1000:.0f}")]
            sent_at = time.monotonic()
            record(f"consumer {number} sends {attempt}")
            answer = await request(gateway.host, gateway.ports["front"], "GET", f"/drawings/{number}", fields, timeout=DEADLINE_S)
            took = time.monotonic() - sent_at
            record(f"consumer {number} has {answer!r} for {attempt} after {took:.3f} s")
            times.append((took, answer))
            await asyncio.sleep(random.uniform(0.05, 0.2))

    consumers = [asyncio.create_task(consumer(n)) for n in range(CONSUMERS)]
    await asyncio.sleep(30.0)
    stopping.set()
    await asyncio.gather(*consumers)
    for target in targets:
        target.stop_beating()
    served = sum(answer.status == 200 and not answer.error for _, answer in times)
    if served < 100:
        raise RuntimeError(f"only {served} requests were served")
    long = [took for took, _ in times if took > TIMEOUT_S]
    late = [took for took in long if took > TIMEOUT_S + ALLOWED_S]
    record(
        f"{len(times)} requests, {served} served; {len(long)} last longer than their route's timeout of {TIMEOUT_S} s, "
        f"of which {len(late)} have no final answer {ALLOWED_S} s after it (bounds: {LEAST}, and a share of {SHARE})"
    )
    return not (len(late) >= LEAST and len(late) > SHARE * len(long))


run(case, FOLDER)
