"""Retries stay within the budget, and a request that may have run is retried only if repeatable."""

from dataclasses import replace
from datetime import timedelta

import pytest

from ..retries import RetryBudget, RetryCase, may_retry

CASE = RetryCase(
    is_repeatable=False,
    has_not_run=True,
    upstreams_asked=1,
    most_upstreams=2,
    sends=1,
    left_s=1.0,
    service_s=0.1,
)
SECOND = timedelta(seconds=1)


def test_what_has_not_run_may_be_sent_again():
    assert may_retry(CASE, another_upstream=True)


def test_what_may_have_run_is_sent_again_only_if_repeatable():
    unknown = replace(CASE, has_not_run=False)
    assert not may_retry(unknown, another_upstream=True)
    assert may_retry(replace(unknown, is_repeatable=True), another_upstream=True)


@pytest.mark.parametrize(
    "changes", [{"upstreams_asked": 2}, {"sends": 4}, {"left_s": 0.05}], ids=str
)
def test_a_bound_that_is_reached_ends_the_repeats(changes):
    assert not may_retry(replace(CASE, **changes), another_upstream=True)


def test_any_window_of_the_budget_holds_the_bound():
    budget = RetryBudget(10 * SECOND, 0.2, 56)
    requests, repeats = [], []
    for step in range(600):
        now = SECOND * step / 10
        for _ in range(3):
            budget.note_request(now)
            requests.append(now)
        while budget.take(now, 1):
            repeats.append(now)
    for start in range(0, 50):
        begin, end = SECOND * start, SECOND * (start + 10)
        of_window = sum(begin <= t < end for t in requests)
        assert sum(begin <= t < end for t in repeats) <= 0.2 * of_window + 56


def test_the_slack_is_shared_by_the_instances():
    alone, one_of_eight = (RetryBudget(10 * SECOND, 0.2, 56) for _ in range(2))
    assert alone.left(SECOND, 1) == pytest.approx(56 * 0.8)
    assert one_of_eight.left(SECOND, 8) == pytest.approx(7 * 0.8)


def test_old_repeats_are_forgotten():
    budget = RetryBudget(10 * SECOND, 0.2, 10)
    while budget.take(SECOND, 1):
        pass
    assert not budget.take(5 * SECOND, 1)
    assert budget.take(12 * SECOND, 1)
