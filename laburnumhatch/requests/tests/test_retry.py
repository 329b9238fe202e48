"""Tests of the retry decision against a naive decision, and of the retry budget."""

from datetime import timedelta
from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st

from ...results import ResultCode, RunStatus
from ..outcomes import (
    Broken,
    Declined,
    DeclineReason,
    NotConnected,
    NotSent,
    TimedOut,
    outcome_name,
    refusal_of,
)
from ..retry import (
    CREDIT_PER_REQUEST,
    CREDIT_PER_SECOND,
    MAX_BALANCE,
    Retry,
    RetryBudget,
    RetryConditions,
    add_request_credit,
    decide_retry,
    refill_budget,
    spend_retry,
)

SECOND = timedelta(seconds=1)
FAILURES = [
    NotConnected("refused"),
    NotSent(ResultCode.LEASE_EXPIRED),
    *(Declined(reason, after) for reason, after in product(DeclineReason, (None, SECOND))),
    *(failure("x", passed) for failure, passed in product((Broken, TimedOut), (False, True))),
]
retry_conditions = st.builds(
    RetryConditions,
    is_repeatable=st.booleans(),
    retry_count=st.integers(0, 3),
    retry_limit=st.integers(0, 3),
    remaining_time=st.timedeltas(timedelta(), 4 * SECOND),
    is_body_replayable=st.booleans(),
    has_other_server=st.booleans(),
    has_budget=st.booleans(),
    jitter=st.floats(0, 1, exclude_max=True),
)


def _may_retry(failure, s):
    """Return a naive decision that checks each reason against a retry separately."""
    name = outcome_name(failure)
    not_run = name in ("not connected", "not sent", "shed", "draining", "fenced")
    against = [
        getattr(failure, "is_partly_relayed", False),
        not s.is_repeatable and not not_run,
        not s.is_body_replayable,
        s.retry_count >= s.retry_limit,
        not s.has_budget,
        not s.has_other_server and name in ("not connected", "draining", "fenced"),
    ]
    return not any(against)


@settings(max_examples=1000)
@given(st.sampled_from(FAILURES), retry_conditions)
def test_decision_agrees_with_naive_decision(failure, conditions):
    decision = decide_retry(failure, conditions)
    if isinstance(decision, Retry):
        assert _may_retry(failure, conditions)
        assert timedelta() < decision.delay <= conditions.remaining_time / 2
        # A request is sent twice only if it did not run or may be repeated.
        assert failure.run is RunStatus.NO or conditions.is_repeatable
    elif _may_retry(failure, conditions):
        wanted = getattr(failure, "retry_after", None) or timedelta()
        longest = timedelta(seconds=0.015 * 2**conditions.retry_count)
        assert conditions.remaining_time < 2 * (wanted + longest)


@given(st.lists(st.sampled_from(["request", "retry", "second"]), max_size=300))
def test_retries_stay_within_their_budget(events):
    budget, now, retries = RetryBudget(1.0, timedelta()), timedelta(), 0
    for event in events:
        if event == "request":
            add_request_credit(budget)
        elif event == "second":
            now += SECOND
        elif refill_budget(budget, now):
            spend_retry(budget)
            retries += 1
        assert 0 <= budget.balance <= MAX_BALANCE
    requests, seconds = events.count("request"), now.total_seconds()
    assert retries <= 1 + CREDIT_PER_REQUEST * requests + CREDIT_PER_SECOND * seconds + 1e-6


def test_refusals_state_run_no_only_if_nothing_ran():
    for failure in FAILURES:
        assert refusal_of(failure, SECOND).run_status is failure.run
