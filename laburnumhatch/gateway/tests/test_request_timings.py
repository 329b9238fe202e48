"""Each request that was sent is timed, and none is counted as running after its end."""

import pytest

from ...clocks import milliseconds
from ...placement.concurrency import ConcurrencyEstimate
from ..pages import metrics_page


@pytest.fixture
def timed(harness):
    """Return a gateway that times its requests."""
    harness.gateway.load_tracker.timings.is_enabled = True
    return harness


def collect(harness):
    """Return the durations in ms of the answered requests and the number of running ones."""
    timings = harness.gateway.load_tracker.timings.collect(harness.clock.now())
    answered = [
        round((request.seen_at - request.sent_at) / milliseconds(1))
        for times in timings
        for request in times.answered
    ]
    return answered, sum(len(times.running) for times in timings)


def test_running_and_answered_requests_are_collected(timed):
    timed.send_request()
    timed.clock.advance(milliseconds(80))
    assert collect(timed) == ([], 1)
    timed.clock.advance(milliseconds(40))
    timed.pool.last.succeed()
    assert collect(timed) == ([120], 0)
    assert collect(timed) == ([], 0)


@pytest.mark.parametrize("end", ["decline", "lose_connection", "refuse_connection"])
def test_failed_attempt_is_not_counted_as_running(timed, end):
    # Fails if each failed attempt makes its upstream look busier for good.
    timed.send_request()
    getattr(timed.pool.last, end)()
    timed.pool.last.succeed()
    answered, running = collect(timed)
    assert len(answered) == 1 and running == 0


def test_abandoned_request_is_not_counted_as_running(timed):
    request = timed.send_request()
    request.on_disconnect()
    assert collect(timed) == ([], 0)


def test_nothing_is_collected_while_it_is_off(harness):
    harness.send_request()
    harness.pool.last.succeed()
    assert collect(harness) == ([], 0)


def test_metrics_show_the_estimates(harness):
    harness.gateway.load_tracker.set_estimate("u1", ConcurrencyEstimate(0.25, 2))
    harness.gateway.load_tracker.set_estimate("u2", ConcurrencyEstimate(0.1, 0))
    request = harness.new_request()
    metrics_page(harness.gateway, {})(request)
    lines = request.content.decode().splitlines()
    assert 'laburnumhatch_upstream_unloaded_seconds{upstream="u1"} 0.2500' in lines
    assert 'laburnumhatch_upstream_concurrency_limit{upstream="u1"} 2' in lines
    assert not any("concurrency_limit" in line and "u2" in line for line in lines)
