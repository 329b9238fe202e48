"""Stand-in of a server of a service that is divided by key."""

import asyncio
import json
import secrets
import time

from wire import Server, response, seconds

HEARTBEAT_S = 0.87
LAST_KEY = 65_535


class Target:
    """One life of a server.

    The observer's `on_grant` is called with the server, the first and last key, the fence and
    whether it is new on any of the keys; `on_run` with the server, the request and its key.
    """

    def __init__(self, store, name, service, zone, host, port, observer, work_s=0.02, slots=6):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.host, self.port, self.observer = host, port, observer
        self.work_s, self.slots = work_s, slots
        self.is_up = self.is_draining = False
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._queue = asyncio.Semaphore(slots)
        self._waiting = 0
        # By key: the highest fence, and the end of the hold.
        self.fences = [0] * (LAST_KEY + 1)
        self.ends = [0.0] * (LAST_KEY + 1)
        self._running_keys = {}
        self._server = Server(host, port, self._handle)
        self._task = None

    async def start(self):
        self.is_up = True
        await self._server.start()
        self._task = asyncio.ensure_future(self._beat())

    async def _beat(self):
        while self.is_up:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "warmup_left": "0ms",
            "sequence": self._sequence,
            "born": self.born,
        }
        self.store.put("servers", self.name, json.dumps(entry).encode())

    def drain(self):
        self.is_draining = True
        self.register()

    def crash(self):
        """End at once; the entry stays until it lapses."""
        self.is_up = False
        self._task.cancel()
        self._server.stop()

    def end(self):
        """End, and remove the entry."""
        self.crash()
        self.store.remove("servers", self.name)

    def holds(self, key, now):
        return self.is_up and self.ends[key] > now

    def _own_fields(self):
        return [("Server-Leaving", "1")] if self.is_draining else []

    async def _handle(self, request, connection):
        fields = [("X-Attempt-Id", request.fields.get("x-attempt-id", "")), *self._own_fields()]
        expected = request.fields.get("x-expect-instance")
        if expected is not None and expected != self.name:
            return response(421, [*fields, ("X-Not-Executed", "1")])
        if request.path == "/health":
            status = 503 if self.is_draining else 200
            return response(status, [*fields, ("X-Instance-Id", self.name)])
        if request.path == "/grant":
            return response(self._grant(json.loads(request.body)), fields)
        if request.path == "/release":
            return await self._release(json.loads(request.body), fields)
        return await self._run(request, fields, connection)

    def _grant(self, order):
        first, last, fence = order["from"], order["target"], order["fence"]
        now = time.monotonic()
        if any(self.fences[key] > fence for key in range(first, last + 1)):
            return 409
        is_new = any(self.fences[key] != fence for key in range(first, last + 1))
        end = now + seconds(order["hold_time"])
        for key in range(first, last + 1):
            self.fences[key] = fence
            self.ends[key] = end
        self.observer.on_grant(self, first, last, fence, is_new)
        return 200

    async def _release(self, order, fields):
        first, last = order["from"], order["target"]
        for key in range(first, last + 1):
            self.ends[key] = 0.0
        while any(first <= key <= last and n for key, n in self._running_keys.items()):
            await asyncio.sleep(0.002)
        return response(200, [*fields, ("X-Handover", secrets.token_hex(8))])

    async def _run(self, request, fields, connection):
        key = int(request.fields.get("x-shard-key", "-1"))
        not_run = [*fields, ("X-Not-Executed", "1")]
        if self._waiting >= self.slots * 4:
            return response(503, not_run)
        self._waiting += 1
        try:
            async with self._queue:
                if not 0 <= key <= LAST_KEY or not self.holds(key, time.monotonic()):
                    return response(421, not_run)
                self._running_keys[key] = self._running_keys.get(key, 0) + 1
                try:
                    self.observer.on_run(self, request, key)
                    await asyncio.sleep(self.work_s)
                finally:
                    self._running_keys[key] -= 1
                    if not self._running_keys[key]:
                        del self._running_keys[key]
        finally:
            self._waiting -= 1
        seal = ("X-Response-Seal", f"{self.name}.{request.fields.get('x-attempt-id', '')}")
        return response(200, [*fields, seal], request.target.encode())
