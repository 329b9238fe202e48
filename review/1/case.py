"""Answers without a length are reset on the way; some reach the consumer as complete."""

import struct
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import *  # noqa: E402, F403

# answer_lost, how reset: the share of the targets, of their answers, and the length and the pause of
# each impairment, in seconds.
SHARE, LOST, FOR_S, GAP_S = 0.6, 0.4, 4.0, 1.0
SECONDS = 60.0
GATEWAYS, TARGETS, CONSUMERS = 2, 5, 8
BODY_BYTES = 600
WORK_S = 0.005


class Unframed(Target):
    """Target whose answers have no length and end with their connection."""

    is_impaired = False

    async def answer(self, reader, writer, line, fields):
        await read_body(reader, fields)
        attempt = fields.get("x-attempt-id", "")
        self.ran.append(attempt)
        await asyncio.sleep(WORK_S)
        head = [("X-Attempt-Id", attempt), ("X-Response-Seal", seal(self.id, attempt)), ("Connection", "close")]
        whole = message("HTTP/1.1 200 OK", head, body_of(attempt), framed=False)
        if self.is_impaired and random.random() < LOST:
            # The answer is reset on the way, after a part of it.
            self.record(f"target {self.id} ran {attempt}; its answer is reset after {BODY_BYTES // 2} bytes")
            resets[0] += 1
            writer.write(whole[: -BODY_BYTES // 2])
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.write(whole)
        raise ConnectionError("the connection ends with the answer")


resets = [0]


def body_of(attempt):
    return (attempt.encode() * BODY_BYTES)[:BODY_BYTES]


async def case(record, temporary, gateways):
    store = Store("127.33.0.1")
    await store.start()
    routes = {"orders": {"service": "ordertill", "route_type": "unsafe", "timeout": "2500ms", "latency_goal": "600ms"}}
    store.put("op", "config", config(7, routes, {"ordertill": False}))
    targets = [Unframed(store, record, "ordertill", f"127.33.1.{n}", slots=50) for n in range(1, TARGETS + 1)]
    for target in targets:
        await target.start()
    for number in range(GATEWAYS):
        gateway = Gateway(f"edge-{number + 1}", f"127.33.0.{number + 2}", store, record, temporary)
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            raise RuntimeError("a gateway did not become ready")
    await asyncio.sleep(3.0)

    counts, wrong = {}, []
    end = time.monotonic() + SECONDS

    async def consumer(gateway, number):
        while time.monotonic() < end:
            attempt = new_attempt()
            fields = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "2500")]
            answer = await request(gateway.host, gateway.ports["front"], "POST", f"/orders/{number}", fields, b"{}", 3.0)
            key = answer.status if not answer.error else answer.error
            counts[key] = counts.get(key, 0) + 1
            if answer.status == 200 and not answer.error and answer.body != body_of(attempt):
                wrong.append(attempt)
                record(
                    f"consumer {number} gets 200 for {attempt}, sealed {answer.fields.get('x-response-seal')}, "
                    f"with a whole body of {len(answer.body)} bytes; the target's has {BODY_BYTES}"
                )

    async def impair():
        while TROUBLE and time.monotonic() < end:
            impaired = random.sample(targets, int(SHARE * TARGETS))
            for target in impaired:
                target.is_impaired = True
            record(f"answers of {len(impaired)} of {TARGETS} targets are lost for {FOR_S} s")
            await asyncio.sleep(FOR_S)
            for target in impaired:
                target.is_impaired = False
            await asyncio.sleep(GAP_S)

    impairing = asyncio.create_task(impair())
    await asyncio.gather(*(consumer(g, 10 * i + n) for i, g in enumerate(gateways) for n in range(CONSUMERS)))
    impairing.cancel()
    for target in targets:
        target.stop_beating()
    if counts.get(200, 0) < 1000:
        raise RuntimeError(f"too few requests were served: {counts}")
    record(
        f"answers by status: {counts} (only those that were reset are listed); {resets[0]} answers reset on the way, "
        f"of which {len(wrong)} reached their consumers as complete (bound 0)"
    )
    return not wrong


run(case, FOLDER)
