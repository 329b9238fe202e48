"""Tests of connection reuse."""

from datetime import timedelta

import pytest
import pytest_twisted
from twisted.internet import reactor

from ..connections import TargetConnectionPool
from .conftest import until


def _close(transport):
    transport.getHandle().shutdown(1)


def _send_stray_bytes(transport):
    transport.getHandle().send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")


@pytest.mark.parametrize(("disturb", "unmatched"), [(None, 0), (_close, 0), (_send_stray_bytes, 1)])
@pytest_twisted.ensureDeferred
async def test_disturbed_connection_is_not_reused(bench, clock, disturb, unmatched):
    server = bench.server("loft-1")
    pool = TargetConnectionPool(reactor, clock, "127.0.0.1", server.target.port)
    counted = []
    pool.count_unmatched = lambda: counted.append(1)
    connection = await pool.connect()
    await until(lambda: server.connections)
    pool.release(connection)
    if disturb is not None:
        # The kernel has received this event, but the reactor has not processed it yet.
        disturb(server.connections[0].transport)
    found = pool.take_idle(is_repeatable=True)
    assert (found is connection) == (disturb is None)
    assert len(counted) == unmatched
    connection.abort_connection()
    await until(lambda: server.connections[0].lost)


@pytest_twisted.ensureDeferred
async def test_long_idle_connection_is_not_reused_for_unrepeatable_requests(bench, clock):
    server = bench.server("loft-1")
    pool = TargetConnectionPool(reactor, clock, "127.0.0.1", server.target.port)
    pool.release(await pool.connect())
    clock.advance(timedelta(seconds=2))
    assert pool.take_idle(is_repeatable=False) is None
    connection = pool.take_idle(is_repeatable=True)
    pool.release(connection)
    clock.advance(timedelta(seconds=4))
    clock.advance(timedelta(seconds=4))
    await until(lambda: server.connections[0].lost)
    assert pool.idle_count == 0
