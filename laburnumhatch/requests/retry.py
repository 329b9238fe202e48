"""The decision whether a failed upstream call is made again, and the budget for it."""

from dataclasses import dataclass
from datetime import timedelta

from ..clocks import milliseconds
from ..results import Run
from .outcomes import AttemptFailure, Broken, Declined, DeclineReason, NotConnected, TimedOut

__all__ = [
    "GiveUp",
    "Retry",
    "RetryBudget",
    "RetryConditions",
    "add_request_credit",
    "decide_retry",
    "refill_budget",
    "spend_retry",
]

INITIAL_BACKOFF = milliseconds(10)
BACKOFF_FACTOR = 2
CREDIT_PER_REQUEST = 0.1
CREDIT_PER_SECOND = 1.0
MAX_BALANCE = 20.0


@dataclass(frozen=True, slots=True)
class RetryConditions:
    """What the decision knows besides the failure.

    Attributes
    ----------
    repeatable : bool
        Whether the upstream may run the request more than once.
    retry_count : int
        Further attempts made so far.
    retry_limit : int
    remaining_time : timedelta
        Time left until the request's deadline.
    is_body_replayable : bool
        Whether the request's body can be sent again.
    has_other_server : bool
        Whether another server than those already asked may take the request: another target of
        a service without owners, or a new owner.
    has_budget : bool
        Whether the instance's retry budget has a retry left.
    jitter : float
        Random number in [0, 1).
    """

    repeatable: bool
    retry_count: int
    retry_limit: int
    remaining_time: timedelta
    is_body_replayable: bool
    has_other_server: bool
    has_budget: bool
    jitter: float


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt after `delay`."""

    delay: timedelta


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now."""

    reason: str


def decide_retry(failure: AttemptFailure, conditions: RetryConditions) -> Retry | GiveUp:
    """Return whether, and when, a failed request is sent again.

    Parameters
    ----------
    failure : AttemptFailure
    conditions : RetryConditions

    Returns
    -------
    Retry or GiveUp

    Notes
    -----
    A request that may not be repeated goes out again only when it provably did not run. The same
    server is asked again only where no other may be, and never after it has refused a connection
    or said that it is leaving or fenced. A delay takes at most half of the time that is left: a
    caller whose request can't be met soon gets its refusal at once instead.
    """
    if isinstance(failure, Broken | TimedOut) and failure.is_partly_relayed:
        return GiveUp("part of the answer was passed on")
    if failure.run is not Run.NO and not conditions.repeatable:
        return GiveUp("the request may have run and may not be repeated")
    if not conditions.is_body_replayable:
        return GiveUp("the body can't be sent again")
    if conditions.retry_count >= conditions.retry_limit:
        return GiveUp("the retry limit is reached")
    if not conditions.has_other_server and not _may_retry_same_server(failure):
        return GiveUp("no other server may take the request")
    delay = _compute_delay(failure, conditions)
    if delay * 2 > conditions.remaining_time:
        return GiveUp("the deadline is too near")
    if not conditions.has_budget:
        return GiveUp("the retry budget is exhausted")
    return Retry(delay)


def _may_retry_same_server(failure: AttemptFailure) -> bool:
    match failure:
        case NotConnected():
            return False
        case Declined(reason):
            return reason is DeclineReason.SHED
        case _:
            return True


def _compute_delay(failure: AttemptFailure, conditions: RetryConditions) -> timedelta:
    backoff = INITIAL_BACKOFF * BACKOFF_FACTOR**conditions.retry_count * (0.5 + conditions.jitter)
    if isinstance(failure, Declined) and failure.retry_after and not conditions.has_other_server:
        return failure.retry_after + backoff
    return backoff


@dataclass(slots=True)
class RetryBudget:
    """Retries that an instance may still make.

    Attributes
    ----------
    balance : float
    updated_at : timedelta
        Instant of the last change.

    Notes
    -----
    Each request adds `CREDIT_PER_REQUEST`, and each second `CREDIT_PER_SECOND`, up to
    `MAX_BALANCE`; a retry takes 1. However many requests fail, retries add at most a tenth
    to the load, and an instance with few requests may still retry.
    """

    balance: float
    updated_at: timedelta


def add_request_credit(budget: RetryBudget) -> None:
    """Add a request's share to the budget."""
    budget.balance = min(MAX_BALANCE, budget.balance + CREDIT_PER_REQUEST)


def refill_budget(budget: RetryBudget, now: timedelta) -> bool:
    """Add the share of the time passed; return whether a retry is left."""
    elapsed = max(0.0, (now - budget.updated_at).total_seconds())
    budget.balance = min(MAX_BALANCE, budget.balance + elapsed * CREDIT_PER_SECOND)
    budget.updated_at = now
    return budget.balance >= 1.0


def spend_retry(budget: RetryBudget) -> None:
    """Take one retry from a budget that has one.

    Examples
    --------
    >>> budget = RetryBudget(1.0, timedelta())
    >>> spend_retry(budget)
    >>> refill_budget(budget, timedelta(seconds=0.5))
    False
    """
    budget.balance -= 1.0
