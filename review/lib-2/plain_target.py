"""Stand-in of a server of a service without keys."""

import asyncio

from target import Target
from wire import response


class PlainTarget(Target):
    """One life of a server that runs each request.

    The observer is called with the server, the id of the attempt and the path when a request begins
    to run, and returns the body of its answer. Of each `break_every` answers, the last one breaks
    off with a reset after `break_bytes` of its body.
    """

    break_every, break_bytes = 0, 0
    _answer_count = 0

    async def _run(self, request, fields, connection):
        attempt = request.fields.get("x-attempt-id", "")
        if self._waiting >= self.slots * 4:
            return response(503, [*fields, ("X-Not-Executed", "1")])
        self._waiting += 1
        try:
            async with self._queue:
                body = self.observer(self, attempt, request.path)
                await asyncio.sleep(self.work_s)
        finally:
            self._waiting -= 1
        answer = response(200, [*fields, ("X-Response-Seal", f"{self.name}.{attempt}")], body)
        self._answer_count += 1
        if not self.break_every or self._answer_count % self.break_every:
            return answer
        connection.send(answer[: len(answer) - len(body) + self.break_bytes])
        await asyncio.sleep(0.05)
        connection.reset()
        return None
