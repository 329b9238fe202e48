"""Tests of back-pressure and truncated bodies while a request is streamed."""

import pytest_twisted

from .conftest import kind, until

VIEW = kind("view", "GET")


class _BulkProducer:
    """Pull producer that counts the bytes written."""

    def __init__(self, transport, size):
        self.transport, self.left, self.written = transport, size, 0
        transport.registerProducer(self, False)

    def resumeProducing(self):
        chunk = min(65_536, self.left)
        if not chunk:
            self.transport.unregisterProducer()
            return
        self.left -= chunk
        self.written += chunk
        self.transport.write(b"x" * chunk)

    def stopProducing(self):
        pass


async def _until_it_stalls(producer):
    seen, turns = -1, 0
    while turns < 200:
        turns = turns + 1 if producer.written == seen else 0
        seen = producer.written
        await until(iter([False, True]).__next__)


BODY_BYTES = 32 * 2**20


@pytest_twisted.ensureDeferred
async def test_slow_caller_pauses_the_upstream(bench):
    server = bench.server("media-1")
    bench.route(VIEW)
    producers = []

    def play(sent):
        sent.answer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
        producers.append(_BulkProducer(sent.connection.transport, BODY_BYTES))

    server.script = [play]
    caller = await bench.caller()
    caller.transport.pauseProducing()
    caller.send()
    await until(lambda: producers)
    await _until_it_stalls(producers[0])
    assert producers[0].written < BODY_BYTES / 2
    caller.transport.resumeProducing()
    assert len((await caller.answer()).body) == BODY_BYTES


@pytest_twisted.ensureDeferred
async def test_slow_upstream_pauses_the_upload(bench):
    server = bench.server("media-1")
    server.paused = True
    bench.route(kind("store", "PUT", body_limit_bytes=BODY_BYTES))
    server.script = [lambda sent: sent.answer()]
    caller = await bench.caller()
    caller.send("PUT", Content_Length=BODY_BYTES)
    producer = _BulkProducer(caller.transport, BODY_BYTES)
    await until(lambda: server.connections)
    await _until_it_stalls(producer)
    assert producer.written < BODY_BYTES / 2
    server.connections[0].transport.resumeProducing()
    assert (await caller.answer()).body == b"ok"
    assert len(server.requests[0].body) == BODY_BYTES


@pytest_twisted.ensureDeferred
async def test_aborted_upload_is_not_complete_at_the_upstream(bench):
    server = bench.server("media-1")
    bench.route(kind("store", "PUT"))
    caller = await bench.caller()
    caller.send("PUT", Transfer_Encoding="chunked")
    caller.transport.write(b"4\r\nhalf\r\n")
    await until(lambda: server.connections and b"half" in server.connections[0].buffer)
    caller.transport.abortConnection()
    await until(lambda: server.connections[0].lost)
    assert not server.connections[0].buffer.endswith(b"0\r\n\r\n")
