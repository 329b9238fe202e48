"""Log lines about requests give the data behind a decision, and their rate is limited."""

import logbook
import pytest

from ...clocks import milliseconds
from ..request_log import ANSWERED_AT_ONCE, LINES_AT_ONCE


@pytest.fixture
def records():
    """Return the log records of the test."""
    handler = logbook.TestHandler()
    handler.push_application()
    yield handler.records
    handler.pop_application()


def test_a_refusal_says_why_and_by_what_knowledge(world, records, clock):
    world.ask(path=b"/keyed/x")
    clock.advance(milliseconds(700))
    (record,) = (r for r in records if "refused" in r.message)
    assert record.extra["request"] == "a1"
    assert record.extra["key"] == "7"
    assert record.extra["code"] == 301 and record.extra["run"] == "no"
    assert record.extra["configuration"] == 1 and record.extra["leader"] == "a/1"
    assert record.extra["registry_age_s"] == 0.1
    assert record.extra["after_ms"] > 0


def test_a_repeat_names_the_upstream_that_failed(world, records):
    world.ask()
    first = world.pool.last.address[1]
    world.pool.last.lose()
    (record,) = (r for r in records if "retrying" in r.message)
    assert record.extra["upstream"] == f"u{first - 8000}"


def test_a_flood_of_refusals_is_cut_and_counted(world, records, clock):
    for _ in range(1000):
        world.ask(path=b"/none/x")
    assert len(records) == LINES_AT_ONCE
    clock.advance(milliseconds(1000))
    world.ask(path=b"/none/x")
    assert records[-1].extra["lines_left_out"] == 1000 - LINES_AT_ONCE


def test_an_answer_says_where_it_came_from(world, records):
    world.ask()
    world.pool.last.succeed()
    (record,) = (r for r in records if r.message == "answered")
    assert record.extra["request"] == "a1" and record.extra["sends"] == 1
    assert record.extra["upstream"].startswith("u")


def test_lines_of_answers_displace_no_lines_of_failures(world, records):
    for _ in range(100):
        world.ask()
        world.pool.last.succeed()
    assert len(records) == ANSWERED_AT_ONCE
    assert world.gateway.log.answered_left_out == 100 - ANSWERED_AT_ONCE
    for _ in range(100):
        world.ask(path=b"/none/x")
    assert len(records) == ANSWERED_AT_ONCE + LINES_AT_ONCE


def test_waits_for_owners_are_measured(world, clock):
    world.ask(path=b"/keyed/x")
    clock.advance(milliseconds(600))
    waits = world.gateway.metrics.owner_waits["keyed"]
    assert sum(waits.counts) == 1 and waits.total_s == pytest.approx(0.6)
