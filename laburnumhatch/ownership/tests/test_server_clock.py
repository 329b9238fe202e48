"""Tests of the expiry of grants by the server's clock."""

from datetime import timedelta

import pytest_twisted
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import reactor
from twisted.web.server import Site

from ...routing import Target
from ...standins import (
    UpstreamOptions,
    UpstreamStandin,
    build_upstream_app,
    key_from_second_segment,
)
from ..grants import GrantAnswer, GrantSender, GrantSet, SlotRange
from ..server_clock import ServerClock, grant_end

SECOND = timedelta(seconds=1)
DELAY = st.integers(0, 10_000)
GRANT = GrantSet(granted=(SlotRange(0, 3, 1),), validity=2 * SECOND)


@given(st.integers(-(10**6), 10**6), DELAY, DELAY, DELAY, st.integers(0, 5_000))
def test_grant_ends_in_time_however_late_it_arrives(offset, taken, reply, wait, valid):
    # Times are true time in milliseconds; the server's clock is `offset` ahead of it.
    received = taken + reply
    sent = received + wait
    clock = ServerClock("c", taken + offset, timedelta(milliseconds=received))
    end = grant_end(clock, timedelta(milliseconds=sent), timedelta(milliseconds=valid))
    assert end - offset <= sent + valid


def _standin(clock):
    options = UpstreamOptions(
        service="lofts",
        name="a",
        slots=1,
        checks_fencing=True,
        connections=10,
        queue_limit=1,
        cold_start=timedelta(),
        work=timedelta(),
        honours_expiry=True,
    )
    return UpstreamStandin(options, clock, key_from_second_segment)


def _listen(standin, port=0):
    site = Site(build_upstream_app(standin).resource())
    return reactor.listenTCP(port, site, interface="127.0.0.1")


@pytest_twisted.ensureDeferred
async def test_grant_ends_by_the_clock_of_the_process_that_accepted_it(clock):
    first, second = _standin(clock), _standin(clock)
    sender = GrantSender(reactor, clock)
    port = _listen(first)
    target = Target("a", "127.0.0.1", port.getHost().port, "lade")
    try:
        assert await sender.send("lofts", target, GRANT) is GrantAnswer.ACCEPTED
        held = first.grants._held[0].expires
        assert held <= clock.now() + GRANT.validity
        # Another process, with its own clock, now serves the same address.
        first.clock_name = second.clock_name
        assert await sender.send("lofts", target, GRANT) is GrantAnswer.ACCEPTED
        assert sender._clocks[target].name == second.clock_name
    finally:
        await sender._client.close()
        await port.stopListening()
