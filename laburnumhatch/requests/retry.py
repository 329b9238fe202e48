"""Retry decision and retry budget for failed upstream calls."""

from dataclasses import dataclass
from datetime import timedelta

from ..clocks import milliseconds
from ..results import RunStatus
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
    """Inputs of the retry decision besides the failure.

    Attributes
    ----------
    is_repeatable : bool
        Whether the upstream may run the request more than once.
    retry_count : int
        Number of retries made so far.
    retry_limit : int
    remaining_time : timedelta
        Time left until the request's deadline.
    is_body_replayable : bool
        Whether the request's body can be sent again.
    has_other_server : bool
        Whether a server that has not been tried yet may take the request: another target of a
        service without owners, or a new owner.
    has_budget : bool
        Whether the instance's retry budget has a retry left.
    jitter : float
        Random number in [0, 1).
    """

    is_repeatable: bool
    retry_count: int
    retry_limit: int
    remaining_time: timedelta
    is_body_replayable: bool
    has_other_server: bool
    has_budget: bool
    jitter: float


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision to make another attempt after `delay`."""

    delay: timedelta


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Decision to answer the caller now."""

    reason: str


def decide_retry(failure: AttemptFailure, conditions: RetryConditions) -> Retry | GiveUp:
    """Return whether a failed request is retried, and after which delay.

    Parameters
    ----------
    failure : AttemptFailure
    conditions : RetryConditions

    Returns
    -------
    Retry or GiveUp

    Notes
    -----
    A request that may not be repeated is retried only if it provably did not run. The same server
    is tried again only if no other server may take the request, and never after a failed
    connection attempt or an answer that the server is draining or has fenced the request. A delay
    takes at most half of the remaining time; otherwise the caller is refused at once.
    """
    if isinstance(failure, Broken | TimedOut) and failure.is_partly_relayed:
        return GiveUp("part of the answer was passed on")
    if failure.run is not RunStatus.NO and not conditions.is_repeatable:
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
    """Token bucket of the retries that an instance may still make.

    Attributes
    ----------
    balance : float
        Number of retries left.
    updated_at : timedelta
        Time of the last refill.

    Notes
    -----
    Each request adds `CREDIT_PER_REQUEST` and each second adds `CREDIT_PER_SECOND`, up to
    `MAX_BALANCE`; a retry costs 1. Whatever share of the requests fails, retries add at most a
    tenth to the load besides the credit per second, which lets an instance with few requests retry.
    """

    balance: float
    updated_at: timedelta


def add_request_credit(budget: RetryBudget) -> None:
    """Add the credit of one request to the budget."""
    budget.balance = min(MAX_BALANCE, budget.balance + CREDIT_PER_REQUEST)


def refill_budget(budget: RetryBudget, now: timedelta) -> bool:
    """Add the credit of the elapsed time; return whether a retry is left."""
    elapsed = max(0.0, (now - budget.updated_at).total_seconds())
    budget.balance = min(MAX_BALANCE, budget.balance + elapsed * CREDIT_PER_SECOND)
    budget.updated_at = now
    return budget.balance >= 1.0


def spend_retry(budget: RetryBudget) -> None:
    """Take one retry from a budget that has at least one left.

    Examples
    --------
    >>> budget = RetryBudget(1.0, timedelta())
    >>> spend_retry(budget)
    >>> refill_budget(budget, timedelta(seconds=0.5))
    False
    """
    budget.balance -= 1.0
