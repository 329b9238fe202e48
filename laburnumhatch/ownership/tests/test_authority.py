"""Lease arithmetic against clocks of different rates, and a naive account of what is owed."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from ...clocks import milliseconds
from ..authority import (
    authority_end,
    debt_to_write,
    extension_end,
    lease_end,
    lease_validity,
    owed_end,
    server_validity,
)
from ..row import GroupRow
from ..rules import Rules
from ..timing import LeaseTiming

TIMING = LeaseTiming()
MICROSECOND = timedelta(microseconds=1)
NOTHING = timedelta()

rates = st.floats(1.0, 1.0 + TIMING.drift)
delays = st.integers(0, 3000).map(milliseconds)


class SkewedClock:
    """Clock that runs at `rate`; the naive version counts in true time."""

    def __init__(self, rate, origin=timedelta(days=3)):
        self._rate = rate
        self._origin = origin

    def at(self, true_time):
        return self._origin + true_time * self._rate

    def true(self, instant):
        return (instant - self._origin) / self._rate


clocks = st.builds(SkewedClock, rates)


@given(clocks, clocks, delays, delays, delays)
def test_authority_ends_before_the_successor_stops_waiting(holder, waiter, read, taken, reply):
    """However the read and the takeover are delayed, as long as they take effect in order."""
    sent = NOTHING
    takeover_reply = sent + read + taken + reply
    end = authority_end(holder.at(sent), timedelta(days=-1), TIMING)
    wait_end = waiter.at(takeover_reply) + TIMING.awaited(TIMING.authority)
    assert holder.true(end) <= waiter.true(wait_end) + MICROSECOND


@given(clocks, clocks, delays, delays)
def test_extension_ends_before_the_promise(holder, standby, request, renewed_before):
    asked = timedelta(hours=1)
    end = extension_end(holder.at(asked), holder.at(asked - renewed_before), TIMING)
    promised = standby.at(asked + request) + TIMING.awaited(TIMING.promise)
    assert holder.true(end) <= standby.true(promised) + MICROSECOND


@given(clocks, clocks, delays, delays, delays)
def test_lease_ends_before_its_grantor_stops_waiting(entry, grantor, request, work, authority):
    received = request + work
    now = grantor.at(received)
    valid = lease_validity(now, now + authority, TIMING)
    end = lease_end(entry.at(NOTHING), valid, TIMING)
    assert valid <= min(TIMING.lease, authority)
    assert entry.true(end) <= grantor.true(now + valid) + MICROSECOND


@given(clocks, clocks, st.integers(0, 300).map(milliseconds), delays)
def test_server_grant_ends_before_the_authority(server, grantor, delivery, authority):
    """A server counts from the receipt, at most ``server_call`` after the sending."""
    now = grantor.at(NOTHING)
    valid = max(NOTHING, server_validity(now, now + authority, TIMING))
    end = server.true(server.at(delivery) + valid)
    limit = NOTHING + TIMING.server_call + TIMING.awaited(valid)
    assert end <= limit + MICROSECOND
    if valid:
        assert end <= grantor.true(now + authority) * (1.0 + TIMING.drift) + MICROSECOND


@st.composite
def obligations(draw):
    """Ends of what a member promised and granted, its predecessor's debt, and its standing."""
    promised, granted, debt = (draw(st.integers(-2000, 9000).map(milliseconds)) for _ in range(3))
    standbys = draw(st.sampled_from([(), ("me",), ("other",), ("other", "me")]))
    return promised, granted, max(NOTHING, debt), standbys


@given(obligations(), delays)
def test_wait_and_debt_cover_all_that_is_owed(owed, reply):
    """Both agree with a plain list of the instants that must have passed."""
    promised, granted, debt, standbys = owed
    previous = GroupRow(4, "former", standbys, 0, (), (), (), debt=debt)
    stranger = bool(standbys) and "me" not in standbys
    naive = [promised, granted, reply + TIMING.awaited(debt), reply]
    if stranger:
        naive.append(reply + TIMING.awaited(TIMING.hold_cap))
    wait_end = owed_end(reply, previous, "me", promised, granted, TIMING, Rules())
    assert wait_end == max(naive)
    written = debt_to_write(NOTHING, debt, (promised, granted), stranger, TIMING, Rules())
    longest = max(promised, granted, debt, TIMING.hold_cap if stranger else NOTHING)
    assert longest <= written <= max(longest + milliseconds(1), NOTHING)
