"""Stand-in of the platform's store: rows, conditional writes and the era, kept in memory."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from wire import Server, response

# Time of an answer, and further time of a write.
ANSWER_S, WRITE_S = 0.004, 0.008
READ_ONLY = ("op", "servers")


class Store:
    """Rows by table and key. Each machine has an address of its own, which leads to the same rows.

    `on_write` is called with the machine, the rows that a transaction has put and its connection,
    after the answer has been sent.
    """

    def __init__(self, era=1):
        self.rows = {}
        self.version = 0
        self.era = era
        self.is_away = False
        self.on_write = lambda machine, put, connection: None
        self.on_read = lambda machine, table, connection: None
        self.servers = {}

    async def listen(self, machine, host, port):
        async def handle(request, connection):
            return await self._handle(machine, request, connection)

        server = self.servers[machine] = Server(host, port, handle)
        await server.start()

    def put(self, table, key, value):
        """Write a row as the operator and the servers do."""
        self.version += 1
        self.rows[table, key] = (self.version, value)

    def remove(self, table, key):
        self.version += 1
        self.rows.pop((table, key), None)

    def copy(self):
        return dict(self.rows), self.version

    async def come_back_from(self, copied, away_s):
        """Be away, and come back from a copy; the operator and the servers write theirs again."""
        self.is_away = True
        await asyncio.sleep(away_s)
        current = self.rows
        self.rows, self.version = dict(copied[0]), copied[1]
        self.era += 1
        for name in [n for n in self.rows if n[0] in READ_ONLY]:
            del self.rows[name]
        for name, (_, value) in current.items():
            if name[0] in READ_ONLY:
                self.put(*name, value)
        self.is_away = False

    def get(self, table, key):
        row = self.rows.get((table, key))
        return row and row[1]

    def _encode(self, table, key):
        version, value = self.rows[table, key]
        text = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": text, "ver": version}

    def _answer(self, status, content):
        now = f"{int(time.monotonic() * 1000)}ms"
        body = json.dumps({**content, "ver": content.get("ver", self.version), "now": now})
        fields = [("Content-Type", "application/json"), ("Store-Era", self.era)]
        return response(status, fields, body.encode())

    async def _handle(self, machine, request, connection):
        await asyncio.sleep(ANSWER_S)
        if self.is_away:
            return self._answer(503, {})
        if request.method == "GET" and request.path == "/rows-get":
            query = {k: v[0] for k, v in parse_qs(request.target.partition("?")[2]).items()}
            self.on_read(machine, query["table"], connection)
            if connection.is_silent:
                return None
            start, end = query.get("from", ""), query.get("target")
            names = sorted(
                (t, k)
                for t, k in self.rows
                if t == query["table"] and start <= k and (end is None or k < end)
            )
            limit = min(int(query.get("limit", "500")), 500)
            rows = [self._encode(*name) for name in names[:limit]]
            return self._answer(200, {"rows": rows, "truncated": len(names) > limit})
        if request.method == "POST" and request.path == "/rows-tx":
            await asyncio.sleep(WRITE_S)
            return self._write(machine, json.loads(request.body), connection)
        return self._answer(404, {})

    def _write(self, machine, transaction, connection):
        expected = transaction.get("expected", [])
        put, remove = transaction.get("put", []), transaction.get("remove", [])
        if any(row["table"] in READ_ONLY for row in (*put, *remove)):
            return self._answer(403, {})
        names = [(row["table"], row["key"]) for row in expected]
        if any(self.rows.get(n, (0,))[0] != row["ver"] for n, row in zip(names, expected)):
            found = [self._encode(*name) for name in names if name in self.rows]
            return self._answer(412, {"rows": found})
        self.version += 1
        for row in put:
            self.rows[row["table"], row["key"]] = (self.version, base64.b64decode(row["value"]))
        for row in remove:
            self.rows.pop((row["table"], row["key"]), None)
        connection.send(self._answer(200, {}))
        self.on_write(machine, [(row["table"], row["key"]) for row in put], connection)
        return None
