"""The lease of one range of keys, and the rules by which it moves.

A range is granted to one life of an upstream under a fencing token. A move is written to the shared
store before any order leaves, so that no token is used twice; then the former owner is made to give
the keys up, or its last lease is waited out; only then is the next owner's grant sent.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import TypeGuard

from ..clocks import milliseconds
from ..fleet import UpstreamLife
from .effects import (
    CallResult,
    ConnectionRefused,
    GrantOrder,
    GrantRefused,
    NoAnswer,
    OrderDone,
    ReleaseOrder,
    TargetGone,
)

__all__ = [
    "MISSED_RENEWALS_LIMIT",
    "FormerOwner",
    "LeaseTiming",
    "NEVER",
    "Phase",
    "RangeLease",
    "begin_move",
    "next_order",
    "apply_result",
    "register_order",
    "continue_after_write",
]

NEVER = timedelta(days=-1)


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times of leases.

    Attributes
    ----------
    hold_time : timedelta
        Of a grant while the store is well. Longer than it takes to replace a leader, so that its
        loss is not felt; keys of an upstream that falls silent are out for about this long.
    longest_hold : timedelta
        Of a grant while the store is away; the platform's settings bound it.
    renew_interval : timedelta
        Between two grants of a range.
    retry_interval : timedelta
        Between two orders of which the first was not answered.
    order_timeout : timedelta
        After which an order counts as unanswered and its connection is reset.
    release_timeout : timedelta
        The same of a release, which is answered when the work that runs has ended.
    clock_drift_factor : float
        Factor by which an upstream's measure of a hold may be long; its protocol says 2 in 100.
    """

    hold_time: timedelta = milliseconds(2400)
    longest_hold: timedelta = milliseconds(10_000)
    renew_interval: timedelta = milliseconds(550)
    retry_interval: timedelta = milliseconds(150)
    order_timeout: timedelta = milliseconds(300)
    release_timeout: timedelta = milliseconds(2500)
    clock_drift_factor: float = 1.02

    def latest_expiry(self, sent_at: timedelta, hold_time: timedelta) -> timedelta:
        """Return the instant by which a hold has ended, whenever its order arrived."""
        return sent_at + self.order_timeout + hold_time * self.clock_drift_factor


# Unanswered renewals after which a range is taken from its owner.
MISSED_RENEWALS_LIMIT = 3
# Renewals within one hold, so that a short one is renewed in time as well.
RENEWALS_PER_HOLD_TIME = 4
# Hold of a grant that only raises the fencing token at an owner that is about to lose the keys.
FENCING_HOLD_TIME = milliseconds(600)
# Time after which an order that was not answered is carried out no more: the users' page on
# troubles says up to 12 s.
MAX_APPLICATION_DELAY = milliseconds(12_500)


class Phase(Enum):
    """What a range waits for."""

    UNRECORDED = "its change to be in the store"
    FENCING = "the former owner to take a higher fencing token"
    RELEASING = "the former owner to give the keys up"
    AWAITING_EXPIRY = "the former owner's lease to end"
    GRANTING = "the owner to acknowledge its grant"
    HELD = "nothing"


@dataclass(slots=True)
class FormerOwner:
    """An owner that may still hold a range that was taken from it.

    Attributes
    ----------
    life : UpstreamLife
    fencing_token : int
        The token under which it holds the range.
    expires_at : timedelta
        When its last lease has ended at the latest.
    unanswered_grant_until : timedelta
        When the last lease has ended of a grant without an answer, which may be applied late.
    needs_fencing : bool
        Whether it is granted a higher token before its release; the record says so before that.
    is_unresponsive : bool
        Whether it left an order unanswered or refused the connection.
    """

    life: UpstreamLife
    fencing_token: int
    expires_at: timedelta
    unanswered_grant_until: timedelta
    needs_fencing: bool = False
    is_unresponsive: bool = False


@dataclass(slots=True, eq=False)
class RangeLease:
    """A range of keys and who holds it.

    Attributes
    ----------
    first, last : int
        Both included.
    owner : UpstreamLife
    fencing_token : int
        The owner's token; the number before it is reserved for fencing the former owner.
    phase : Phase
    former : Former or None
    handover : str or None
    held_until, unanswered_grant_until : timedelta
        As in `Former`, of the owner.
    new_token_deadline : timedelta
        Until when a grant may be applied whose token is new to the owner; none may once it has
        acknowledged a grant under the present token.
    is_token_acknowledged : bool
        Whether the owner has acknowledged a grant under the present token.
    missed_renewals : int
        Renewals in a row that were not answered.
    next_order_at : timedelta
        Earliest next order.
    has_order_in_flight : bool
        Whether an order is unanswered.
    is_confirmed : bool
    moved_at : timedelta
        When the range was last taken from an owner.
    """

    first: int
    last: int
    owner: UpstreamLife
    fencing_token: int
    phase: Phase = Phase.UNRECORDED
    former: FormerOwner | None = None
    handover: str | None = None
    held_until: timedelta = NEVER
    unanswered_grant_until: timedelta = NEVER
    new_token_deadline: timedelta = NEVER
    is_token_acknowledged: bool = False
    missed_renewals: int = 0
    next_order_at: timedelta = NEVER
    has_order_in_flight: bool = False
    moved_at: timedelta = NEVER
    # Whether the owner has acknowledged a grant of the range.
    is_confirmed: bool = False
    # Counts changes of owner or phase, so that an answer to an earlier order is known as such.
    epoch: int = field(default=0)

    @property
    def awaits_end_of_lease(self) -> bool:
        """Whether the range is out until the former owner's lease has ended, as far as is known."""
        if self.former is None:
            return False
        return self.phase is Phase.AWAITING_EXPIRY or self.former.is_unresponsive

    @property
    def is_movable(self) -> bool:
        """Whether at most one upstream may hold the range, as far as is known."""
        return self.former is None or self.held_until == NEVER


def begin_move(
    lease: RangeLease,
    new_owner: UpstreamLife,
    allocate_tokens: Callable[[int], int],
    now: timedelta,
    *,
    may_fence: bool = True,
) -> None:
    """Give a range to another owner; the change has to be written before any order.

    Parameters
    ----------
    lease : RangeLease
    new_owner : UpstreamLife
    allocate_tokens : callable
        Takes a number of tokens, returns the last of them.
    now : timedelta
    may_fence : bool, optional
        Whether the owner can be expected to answer.
    """
    if lease.has_order_in_flight:
        # The answer will belong to an epoch that is over, so the order counts as unanswered.
        lease.unanswered_grant_until = lease.held_until
        if lease.phase is Phase.GRANTING and not lease.is_token_acknowledged:
            lease.new_token_deadline = now + MAX_APPLICATION_DELAY
        if lease.former is not None:
            lease.former.unanswered_grant_until = lease.former.expires_at
    has_new_token = lease.new_token_deadline > now
    unanswered_grant_until = max(lease.unanswered_grant_until, lease.new_token_deadline)
    if lease.held_until > now or has_new_token:
        # An owner gets grants only once what came before it is settled.
        lease.former = FormerOwner(
            lease.owner,
            lease.fencing_token,
            max(lease.held_until, unanswered_grant_until),
            unanswered_grant_until,
            needs_fencing=may_fence and unanswered_grant_until > now,
        )
        lease.handover = None
    lease.owner = new_owner
    lease.fencing_token = allocate_tokens(2)
    lease.held_until = lease.unanswered_grant_until = lease.new_token_deadline = NEVER
    lease.is_token_acknowledged = lease.is_confirmed = False
    lease.missed_renewals = 0
    lease.moved_at = now
    _enter_phase(lease, Phase.UNRECORDED, now)


def continue_after_write(lease: RangeLease, now: timedelta) -> None:
    """Go on with a move whose change is in the store."""
    if lease.phase is not Phase.UNRECORDED:
        return
    former = lease.former
    if former is None or now >= former.expires_at:
        _enter_phase(lease, Phase.GRANTING, now)
    elif former.needs_fencing:
        _enter_phase(lease, Phase.FENCING, now)
    elif former.unanswered_grant_until > now:
        former.expires_at = max(former.expires_at, former.unanswered_grant_until)
        _enter_phase(lease, Phase.AWAITING_EXPIRY, now)
    else:
        _enter_phase(lease, Phase.RELEASING, now)


def next_order(
    lease: RangeLease, hold_time: timedelta, timing: LeaseTiming, now: timedelta
) -> GrantOrder | ReleaseOrder | None:
    """Return the order that a range is due, if any.

    Parameters
    ----------
    lease : RangeLease
    hold_time : timedelta
        Of a grant that is sent now.
    timing : LeaseTiming
    now : timedelta
    """
    former = lease.former
    if former is not None and now >= former.expires_at and lease.phase is not Phase.UNRECORDED:
        lease.former = None
        _enter_phase(lease, Phase.GRANTING, now)
    if lease.has_order_in_flight or now < lease.next_order_at:
        return None
    if lease.phase in (Phase.GRANTING, Phase.HELD):
        # A retry of a renewal must not lengthen the wait for an owner that has fallen silent.
        spare = (lease.held_until - now - timing.order_timeout) / timing.clock_drift_factor
        if lease.missed_renewals and lease.phase is Phase.HELD:
            hold_time = min(hold_time, max(spare, FENCING_HOLD_TIME))
        return GrantOrder(
            lease.owner, lease.first, lease.last, lease.fencing_token, hold_time, lease.handover
        )
    if former is None:
        return None
    if lease.phase is Phase.FENCING:
        fencing_token = lease.fencing_token - 1
        return GrantOrder(
            former.life, lease.first, lease.last, fencing_token, FENCING_HOLD_TIME, None
        )
    if lease.phase is Phase.RELEASING:
        return ReleaseOrder(former.life, lease.first, lease.last, former.fencing_token)
    return None


def register_order(
    lease: RangeLease, order: GrantOrder | ReleaseOrder, timing: LeaseTiming, now: timedelta
) -> None:
    """Note an order immediately before it goes out."""
    if not isinstance(order, GrantOrder):
        return
    end = timing.latest_expiry(now, order.hold)
    if _is_for_owner(order, lease):
        lease.held_until = max(lease.held_until, end)
    elif lease.former is not None:
        lease.former.expires_at = max(lease.former.expires_at, end)


def apply_result(
    lease: RangeLease,
    order: GrantOrder | ReleaseOrder,
    result: CallResult,
    sent_at: timedelta,
    allocate_tokens: Callable[[int], int],
    timing: LeaseTiming,
    now: timedelta,
) -> None:
    """Take the result of an order that belongs to the lease's present epoch."""
    lease.has_order_in_flight = False
    if not _is_for_owner(order, lease):
        _apply_former_result(lease, order, result, sent_at, allocate_tokens, timing, now)
        return
    match result:
        case OrderDone():
            lease.missed_renewals = 0
            lease.handover = None
            lease.is_confirmed = lease.is_token_acknowledged = True
            lease.new_token_deadline = NEVER
            if lease.phase is Phase.GRANTING:
                _enter_phase(lease, Phase.HELD, now)
            lease.next_order_at = sent_at + min(
                timing.renew_interval, order.hold / RENEWALS_PER_HOLD_TIME
            )
        case GrantRefused():
            # Somebody used a higher token; take one that is above all that were written.
            lease.fencing_token = allocate_tokens(2)
            lease.is_token_acknowledged = False
            _enter_phase(lease, Phase.UNRECORDED, now)
        case NoAnswer(never_sent=never_sent):
            lease.missed_renewals += 1
            lease.next_order_at = now + timing.retry_interval
            if not never_sent:
                end = timing.latest_expiry(sent_at, order.hold)
                lease.unanswered_grant_until = max(lease.unanswered_grant_until, end)
                if not lease.is_token_acknowledged:
                    lease.new_token_deadline = sent_at + MAX_APPLICATION_DELAY
        case ConnectionRefused():
            lease.missed_renewals = max(lease.missed_renewals + 1, MISSED_RENEWALS_LIMIT)
            lease.next_order_at = now + timing.retry_interval
        case TargetGone():
            lease.held_until = lease.unanswered_grant_until = lease.new_token_deadline = NEVER
            lease.is_confirmed = False
            lease.missed_renewals = MISSED_RENEWALS_LIMIT
            lease.next_order_at = now + timing.retry_interval


def _is_for_owner(order: GrantOrder | ReleaseOrder, lease: RangeLease) -> TypeGuard[GrantOrder]:
    # The token tells: the former owner may be the next one as well.
    return isinstance(order, GrantOrder) and order.fence == lease.fencing_token


def _apply_former_result(
    lease: RangeLease,
    order: GrantOrder | ReleaseOrder,
    result: CallResult,
    sent_at: timedelta,
    allocate_tokens: Callable[[int], int],
    timing: LeaseTiming,
    now: timedelta,
) -> None:
    former = lease.former
    if former is None:
        return
    match result:
        case TargetGone():
            lease.former = None
            _enter_phase(lease, Phase.GRANTING, now)
        case OrderDone(handover=handover) if isinstance(order, ReleaseOrder):
            lease.handover = handover
            if former.unanswered_grant_until > now:
                # A grant may be applied after the release, and there is no token to fence it.
                former.expires_at = former.unanswered_grant_until
                _enter_phase(lease, Phase.AWAITING_EXPIRY, now)
                return
            lease.former = None
            _enter_phase(lease, Phase.GRANTING, now)
        case OrderDone():
            # Grants under the lower token that are still on their way are refused from now on.
            former.fencing_token = order.fence
            former.unanswered_grant_until = NEVER
            _enter_phase(lease, Phase.RELEASING, now)
        case GrantRefused():
            # A higher token is at work there, of which this leader knows nothing: wait.
            _enter_phase(lease, Phase.AWAITING_EXPIRY, now)
        case ConnectionRefused():
            former.is_unresponsive = True
            lease.next_order_at = now + timing.retry_interval
        case NoAnswer(never_sent=never_sent):
            former.is_unresponsive = True
            lease.next_order_at = now + timing.retry_interval
            if isinstance(order, GrantOrder) and not never_sent:
                _return_to_former_owner(lease, former, sent_at, allocate_tokens, now)


def _return_to_former_owner(
    lease: RangeLease,
    former: FormerOwner,
    sent_at: timedelta,
    allocate_tokens: Callable[[int], int],
    now: timedelta,
) -> None:
    """Leave a range with the owner that did not answer a fencing grant.

    Notes
    -----
    That grant may be applied seconds later, and must not be once the next owner has a higher token.
    Under a token of its own that is higher still the former owner refuses it.
    """
    lease.owner = former.life
    lease.fencing_token = allocate_tokens(2)
    lease.held_until = former.expires_at
    lease.unanswered_grant_until = NEVER
    lease.new_token_deadline = max(former.unanswered_grant_until, sent_at + MAX_APPLICATION_DELAY)
    lease.is_token_acknowledged = False
    # It has to answer something before it counts as able to take orders.
    lease.missed_renewals = MISSED_RENEWALS_LIMIT
    lease.is_confirmed = True
    lease.former = None
    lease.moved_at = now
    _enter_phase(lease, Phase.UNRECORDED, now)


def _enter_phase(lease: RangeLease, phase: Phase, now: timedelta) -> None:
    lease.phase = phase
    lease.epoch += 1
    lease.has_order_in_flight = False
    lease.next_order_at = now
