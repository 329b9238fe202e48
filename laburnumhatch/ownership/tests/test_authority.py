"""Tests of lease arithmetic with clocks of different rates."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from ...clocks import milliseconds
from ..authority import (
    authority_end,
    extension_end,
    inherited_leases_end,
    lease_end,
    lease_validity,
    server_validity,
    takeover_wait_to_write,
)
from ..row import GroupRow
from ..rules import Rules
from ..timing import LeaseTiming

TIMING = LeaseTiming()
MICROSECOND = timedelta(microseconds=1)
ZERO_DURATION = timedelta()

rates = st.floats(1.0, 1.0 + TIMING.max_clock_drift)
delays = st.integers(0, 3000).map(milliseconds)


class SkewedClock:
    """Clock that runs at `rate` relative to true time."""

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
    """The read and the takeover take effect in this order, with arbitrary delays."""
    sent = ZERO_DURATION
    takeover_reply = sent + read + taken + reply
    end = authority_end(holder.at(sent), timedelta(days=-1), TIMING)
    wait_end = waiter.at(takeover_reply) + TIMING.wait_duration(TIMING.authority_duration)
    assert holder.true(end) <= waiter.true(wait_end) + MICROSECOND


@given(clocks, clocks, delays, delays)
def test_extension_ends_before_the_promise(holder, standby, request, renewed_before):
    asked = timedelta(hours=1)
    end = extension_end(holder.at(asked), holder.at(asked - renewed_before), TIMING)
    promised_until = standby.at(asked + request) + TIMING.wait_duration(TIMING.promise_duration)
    assert holder.true(end) <= standby.true(promised_until) + MICROSECOND


@given(clocks, clocks, delays, delays, delays)
def test_lease_ends_before_its_grantor_stops_waiting(entry, grantor, request, work, authority):
    received = request + work
    now = grantor.at(received)
    valid = lease_validity(now, now + authority, TIMING)
    end = lease_end(entry.at(ZERO_DURATION), valid, TIMING)
    assert valid <= min(TIMING.max_lease_duration, authority)
    assert entry.true(end) <= grantor.true(now + valid) + MICROSECOND


@given(clocks, clocks, st.integers(0, 300).map(milliseconds), delays)
def test_server_grant_ends_before_the_authority(server, grantor, delivery, authority):
    """The server counts from the receipt, at most ``server_call_timeout`` after the sending."""
    now = grantor.at(ZERO_DURATION)
    valid = max(ZERO_DURATION, server_validity(now, now + authority, TIMING))
    end = server.true(server.at(delivery) + valid)
    limit = ZERO_DURATION + TIMING.server_call_timeout + TIMING.wait_duration(valid)
    assert end <= limit + MICROSECOND
    if valid:
        assert end <= grantor.true(now + authority) * (1.0 + TIMING.max_clock_drift) + MICROSECOND


@st.composite
def obligations(draw):
    """Ends of a member's promise and grants, the predecessor's takeover wait, and its standbys."""
    promised_until, granted, takeover_wait = (
        draw(st.integers(-2000, 9000).map(milliseconds)) for _ in range(3)
    )
    standbys = draw(st.sampled_from([(), ("me",), ("other",), ("other", "me")]))
    return promised_until, granted, max(ZERO_DURATION, takeover_wait), standbys


@given(obligations(), delays)
def test_takeover_wait_covers_all_earlier_leases(obligation, reply):
    """Both functions agree with a direct list of the instants that must have passed."""
    promised_until, granted, takeover_wait, standbys = obligation
    previous = GroupRow(4, "former", standbys, 0, (), (), (), takeover_wait=takeover_wait)
    is_non_standby = bool(standbys) and "me" not in standbys
    expected = [promised_until, granted, reply + TIMING.wait_duration(takeover_wait), reply]
    if is_non_standby:
        expected.append(reply + TIMING.wait_duration(TIMING.max_hold_duration))
    wait_end = inherited_leases_end(reply, previous, "me", promised_until, granted, TIMING, Rules())
    assert wait_end == max(expected)
    written = takeover_wait_to_write(
        ZERO_DURATION, takeover_wait, (promised_until, granted), is_non_standby, TIMING, Rules()
    )
    longest = max(
        promised_until,
        granted,
        takeover_wait,
        TIMING.max_hold_duration if is_non_standby else ZERO_DURATION,
    )
    assert longest <= written <= max(longest + milliseconds(1), ZERO_DURATION)
