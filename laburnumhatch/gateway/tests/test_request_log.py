"""Log lines about requests give the data behind a decision, and their rate is limited."""

import pytest

from ...clocks import milliseconds
from ..fingerprint import fingerprint_of
from ..relay import MAX_BUFFERED_BYTES
from ..request_log import ANSWERED_LINES_BURST, LINES_BURST


def test_refusal_is_logged_with_its_reason_and_context(harness, records, clock):
    harness.send_request(path=b"/keyed/x")
    clock.advance(milliseconds(700))
    (record,) = (r for r in records if "refused" in r.message)
    assert record.extra["request"] == "a1"
    assert record.extra["key"] == "7"
    assert record.extra["code"] == 301 and record.extra["run"] == "no"
    assert record.extra["configuration"] == 1 and record.extra["leader"] == "a/1"
    assert record.extra["registry_age_s"] == 0.1
    assert record.extra["after_ms"] > 0


def test_retry_is_logged_with_the_failed_upstream(harness, records):
    harness.send_request()
    first = harness.pool.last.address[1]
    harness.pool.last.lose_connection()
    (record,) = (r for r in records if "retrying" in r.message)
    assert record.extra["upstream"] == f"u{first - 8000}"


@pytest.mark.parametrize("end", ["refused", "failed", "broken off"])
def test_lines_of_one_request_bear_one_fingerprint(harness, records, end):
    request = harness.new_request(b"/unsafe/x", body=b"order")
    fingerprint = fingerprint_of(request).hex()
    harness.gateway.handle(request)
    receiver = harness.pool.last.receiver
    if end == "broken off":
        receiver.on_header(200, harness.pool.last.sealed_fields(), None)
        receiver.on_body(b"x" * (MAX_BUFFERED_BYTES + 1))
    if end == "failed":
        harness.pool.last.answer(500)
    else:
        harness.pool.last.lose_connection()
    assert records and {record.extra["fingerprint"] for record in records} == {fingerprint}


def test_lines_beyond_the_burst_are_dropped_and_counted(harness, records, clock):
    for _ in range(1000):
        harness.send_request(path=b"/none/x")
    assert len(records) == LINES_BURST
    clock.advance(milliseconds(1000))
    harness.send_request(path=b"/none/x")
    assert records[-1].extra["lines_left_out"] == 1000 - LINES_BURST


def test_answer_is_logged_with_its_upstream(harness, records):
    harness.send_request()
    harness.pool.last.succeed()
    (record,) = (r for r in records if r.message == "answered")
    assert record.extra["request"] == "a1" and record.extra["sends"] == 1
    assert record.extra["upstream"].startswith("u")


def test_lines_about_answers_displace_no_lines_about_failures(harness, records):
    for _ in range(100):
        harness.send_request()
        harness.pool.last.succeed()
    assert len(records) == ANSWERED_LINES_BURST
    assert harness.gateway.request_log.dropped_answered_count == 100 - ANSWERED_LINES_BURST
    for _ in range(100):
        harness.send_request(path=b"/none/x")
    assert len(records) == ANSWERED_LINES_BURST + LINES_BURST


def test_owner_wait_is_recorded_in_the_histogram(harness, clock):
    harness.send_request(path=b"/keyed/x")
    clock.advance(milliseconds(600))
    waits = harness.gateway.metrics.owner_waits["keyed"]
    assert sum(waits.counts) == 1 and waits.total_s == pytest.approx(0.6)


def test_caller_that_leaves_is_logged_with_what_its_request_waited_for(harness, records):
    request = harness.send_request(path=b"/keyed/x")
    request.on_disconnect()
    (record,) = (r for r in records if r.message == "the caller left")
    assert record.extra["state"] == "waiting for an owner"
    assert record.extra["was_sent"] is False


def test_retry_is_logged_with_the_budget_that_is_left(harness, records):
    harness.send_request()
    harness.pool.last.lose_connection()
    (record,) = (r for r in records if "retrying" in r.message)
    assert 40 < record.extra["budget_left"] < 45
