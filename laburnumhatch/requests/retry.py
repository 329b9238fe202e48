"""The decision whether a failed upstream call is made again, and the budget for it."""

from dataclasses import dataclass
from datetime import timedelta

from ..clocks import milliseconds
from ..results import Run
from .outcomes import AttemptFailure, Broken, Declined, DeclineReason, NotConnected, TimedOut

__all__ = [
    "GiveUp",
    "RetryAfter",
    "RetryBudget",
    "RetrySituation",
    "credit_request",
    "decide_retry",
    "refill_budget",
    "take_retry",
]

FIRST_BACKOFF = milliseconds(10)
BACKOFF_GROWTH = 2
CREDIT_PER_REQUEST = 0.1
FLOOR_PER_SECOND = 1.0
HIGHEST_BALANCE = 20.0


@dataclass(frozen=True, slots=True)
class RetrySituation:
    """What the decision knows besides the failure.

    Attributes
    ----------
    repeatable : bool
        Whether the upstream may run the request more than once.
    retries : int
        Further attempts made so far.
    retry_limit : int
    remaining : timedelta
        Time left until the request's deadline.
    body_kept : bool
        Whether the request's body can be sent again.
    other_server : bool
        Whether another server than those already asked may take the request: another target of
        a service without owners, or a new owner.
    budget : bool
        Whether the instance's retry budget has a retry left.
    jitter : float
        Random number in [0, 1).
    """

    repeatable: bool
    retries: int
    retry_limit: int
    remaining: timedelta
    body_kept: bool
    other_server: bool
    budget: bool
    jitter: float


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Make another attempt after `delay`."""

    delay: timedelta


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now."""

    reason: str


def decide_retry(failure: AttemptFailure, situation: RetrySituation) -> RetryAfter | GiveUp:
    """Return whether, and when, a failed request is sent again.

    Parameters
    ----------
    failure : AttemptFailure
    situation : RetrySituation

    Returns
    -------
    RetryAfter or GiveUp

    Notes
    -----
    A request that may not be repeated goes out again only when it provably did not run. The same
    server is asked again only where no other may be, and never after it has refused a connection
    or said that it is leaving or fenced. A delay takes at most half of the time that is left: a
    caller whose request can't be met soon gets its refusal at once instead.
    """
    if isinstance(failure, Broken | TimedOut) and failure.passed_on:
        return GiveUp("part of the answer was passed on")
    if failure.run is not Run.NO and not situation.repeatable:
        return GiveUp("the request may have run and may not be repeated")
    if not situation.body_kept:
        return GiveUp("the body can't be sent again")
    if situation.retries >= situation.retry_limit:
        return GiveUp("the retry limit is reached")
    if not situation.other_server and not _same_server_may_help(failure):
        return GiveUp("no other server may take the request")
    delay = _delay(failure, situation)
    if delay * 2 > situation.remaining:
        return GiveUp("the deadline is too near")
    if not situation.budget:
        return GiveUp("the retry budget is exhausted")
    return RetryAfter(delay)


def _same_server_may_help(failure: AttemptFailure) -> bool:
    match failure:
        case NotConnected():
            return False
        case Declined(reason):
            return reason is DeclineReason.SHED
        case _:
            return True


def _delay(failure: AttemptFailure, situation: RetrySituation) -> timedelta:
    backoff = FIRST_BACKOFF * BACKOFF_GROWTH**situation.retries * (0.5 + situation.jitter)
    if isinstance(failure, Declined) and failure.retry_after and not situation.other_server:
        return failure.retry_after + backoff
    return backoff


@dataclass(slots=True)
class RetryBudget:
    """Retries that an instance may still make.

    Attributes
    ----------
    balance : float
    updated : timedelta
        Instant of the last change.

    Notes
    -----
    Each request adds `CREDIT_PER_REQUEST`, and each second `FLOOR_PER_SECOND`, up to
    `HIGHEST_BALANCE`; a retry takes 1. However many requests fail, retries add at most a tenth
    to the load, and an instance with few requests may still retry.
    """

    balance: float
    updated: timedelta


def credit_request(budget: RetryBudget) -> None:
    """Add a request's share to the budget."""
    budget.balance = min(HIGHEST_BALANCE, budget.balance + CREDIT_PER_REQUEST)


def refill_budget(budget: RetryBudget, now: timedelta) -> bool:
    """Add the share of the time passed; return whether a retry is left."""
    elapsed = max(0.0, (now - budget.updated).total_seconds())
    budget.balance = min(HIGHEST_BALANCE, budget.balance + elapsed * FLOOR_PER_SECOND)
    budget.updated = now
    return budget.balance >= 1.0


def take_retry(budget: RetryBudget) -> None:
    """Take one retry from a budget that has one.

    Examples
    --------
    >>> budget = RetryBudget(1.0, timedelta())
    >>> take_retry(budget)
    >>> refill_budget(budget, timedelta(seconds=0.5))
    False
    """
    budget.balance -= 1.0
