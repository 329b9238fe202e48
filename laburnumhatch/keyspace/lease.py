"""The lease on one range of keys and the protocol by which it changes owners.

A range is granted to one process of an upstream (`UpstreamIncarnation`) under a fencing token. A
move is written to the shared store before any order is sent, so that no token is used twice. After
that the former owner releases the keys or its last lease expires. Only then does the new owner
receive a grant.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import TypeGuard

from ..clocks import milliseconds
from ..fleet import UpstreamIncarnation
from .effects import (
    CallResult,
    ConnectionRefused,
    GrantOrder,
    GrantRefused,
    NoAnswer,
    OrderAcknowledged,
    ReleaseOrder,
    UpstreamReplaced,
)

__all__ = [
    "MISSED_RENEWALS_LIMIT",
    "FormerOwner",
    "LeaseTiming",
    "NEVER",
    "UNKNOWN_OWNER",
    "Phase",
    "RangeLease",
    "begin_move",
    "enter_phase",
    "next_order",
    "apply_result",
    "register_order",
    "continue_after_write",
]

NEVER = timedelta(days=-1)
# Former owner of a range whose holders are not known. It has no address, so it gets no orders.
UNKNOWN_OWNER = UpstreamIncarnation("", 0)


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of leases, orders and retries.

    Attributes
    ----------
    lease_duration : timedelta
        Duration of a lease while the store is available. It is longer than the replacement of a
        leader takes, so that the loss of a leader doesn't interrupt service. The keys of an
        upstream that stops answering are unavailable for about this long.
    max_lease_duration : timedelta
        Duration of a lease while the store is unavailable. The platform's settings limit it.
    renew_interval : timedelta
        Time between two grants of a range.
    retry_interval : timedelta
        Time until the next order after an order that was not answered.
    order_timeout : timedelta
        Time after which a grant counts as unanswered and its connection is reset.
    release_timeout : timedelta
        Time after which a release counts as unanswered and its connection is reset. It is longer,
        because a release is answered only when the running requests have ended.
    clock_drift_factor : float
        Factor by which a lease may last longer on the clock of an upstream. The protocol of the
        upstreams allows a clock that runs 2 in 100 slow: it shows 0.98 s after a second.
    """

    lease_duration: timedelta = milliseconds(2400)
    max_lease_duration: timedelta = milliseconds(10_000)
    renew_interval: timedelta = milliseconds(550)
    retry_interval: timedelta = milliseconds(150)
    order_timeout: timedelta = milliseconds(300)
    release_timeout: timedelta = milliseconds(2500)
    clock_drift_factor: float = 1 / 0.98

    def latest_expiry(self, sent_at: timedelta, lease_duration: timedelta) -> timedelta:
        """Return the latest instant at which a lease expires, whenever its order arrived."""
        return sent_at + self.order_timeout + lease_duration * self.clock_drift_factor


# Number of consecutive unanswered renewals after which a range is moved away from its owner.
MISSED_RENEWALS_LIMIT = 3
# Number of renewals within one lease, so that short leases are renewed in time as well.
RENEWALS_PER_LEASE = 4
# Lease duration of a grant that only raises the fencing token of an owner that is about to lose
# keys.
FENCING_LEASE_DURATION = milliseconds(600)
# Time after which an unanswered order can no longer be carried out. According to the platform's
# description of faults, an order may be delayed by up to 12 s.
MAX_APPLICATION_DELAY = milliseconds(12_500)


class Phase(Enum):
    """State of a range; the value says what the range waits for."""

    UNRECORDED = "the write of its change to the store"
    FENCING = "the former owner to acknowledge a higher fencing token"
    RELEASING = "the former owner to release the keys"
    AWAITING_EXPIRY = "the former owner's lease to expire"
    GRANTING = "the owner to acknowledge its grant"
    HELD = "nothing"


@dataclass(slots=True)
class FormerOwner:
    """A previous owner that may still hold a range.

    Attributes
    ----------
    incarnation : UpstreamIncarnation
    fencing_token : int
        Token under which this owner holds the range.
    expires_at : timedelta
        Latest expiry of its leases.
    unanswered_grant_until : timedelta
        Latest expiry of the grants that were not answered, which the owner may still apply.
    needs_fencing : bool
        Whether the owner must still be granted a higher token before it is told to release the
        range. This is recorded in the store first.
    is_unresponsive : bool
        Whether the owner left an order unanswered or refused a connection.
    """

    incarnation: UpstreamIncarnation
    fencing_token: int
    expires_at: timedelta
    unanswered_grant_until: timedelta
    needs_fencing: bool = False
    is_unresponsive: bool = False


@dataclass(slots=True, eq=False)
class RangeLease:
    """The lease on a range of keys.

    Attributes
    ----------
    first, last : int
        Range of keys, both ends included.
    owner : UpstreamIncarnation
    fencing_token : int
        Token of the owner. The number below it is reserved for fencing the former owner.
    phase : Phase
    former : FormerOwner or None
    handover_token : str or None
        Handover token that the former owner returned with its release.
    held_until : timedelta
        Latest expiry of the owner's leases.
    unanswered_grant_until : timedelta
        Latest expiry of the owner's grants that were not answered, which it may still apply.
    new_token_deadline : timedelta
        Instant until which the owner may still apply a grant whose token is new to it. No such
        grant is left once the owner has acknowledged a grant under the current token.
    is_token_acknowledged : bool
        Whether the owner has acknowledged a grant under the current token.
    missed_renewals : int
        Number of consecutive grants that were not answered.
    next_order_at : timedelta
        Earliest time of the next order.
    has_order_in_flight : bool
        Whether the result of an order is outstanding.
    moved_at : timedelta
        When the range was last moved away from an owner.
    is_confirmed : bool
        Whether the owner has acknowledged a grant of the range.
    epoch : int
        Number of changes of owner, phase or keys. The result of an order of an earlier epoch is
        ignored.
    """

    first: int
    last: int
    owner: UpstreamIncarnation
    fencing_token: int
    phase: Phase = Phase.UNRECORDED
    former: FormerOwner | None = None
    handover_token: str | None = None
    held_until: timedelta = NEVER
    unanswered_grant_until: timedelta = NEVER
    new_token_deadline: timedelta = NEVER
    is_token_acknowledged: bool = False
    missed_renewals: int = 0
    next_order_at: timedelta = NEVER
    has_order_in_flight: bool = False
    moved_at: timedelta = NEVER
    is_confirmed: bool = False
    epoch: int = field(default=0)

    @property
    def awaits_lease_expiry(self) -> bool:
        """Whether the range is probably unavailable until the former owner's lease expires."""
        if self.former is None:
            return False
        return self.phase is Phase.AWAITING_EXPIRY or self.former.is_unresponsive

    @property
    def is_movable(self) -> bool:
        """Whether at most one upstream may hold the range, as far as is known.

        While an order is in flight, this is not known: its result may extend a lease, or require
        that the range stays where it is.
        """
        is_held_once = self.former is None or self.held_until == NEVER
        return is_held_once and not self.has_order_in_flight


def begin_move(
    lease: RangeLease,
    new_owner: UpstreamIncarnation,
    allocate_tokens: Callable[[int], int],
    now: timedelta,
    *,
    may_fence: bool = True,
) -> None:
    """Assign a movable range to another owner.

    The change must be written to the store before any order is sent.

    Parameters
    ----------
    lease : RangeLease
    new_owner : UpstreamIncarnation
    allocate_tokens : callable
        Allocates a number of fencing tokens and returns the last of them.
    now : timedelta
    may_fence : bool, optional
        Whether the present owner can be expected to answer.
    """
    has_new_token = lease.new_token_deadline > now
    unanswered_grant_until = max(lease.unanswered_grant_until, lease.new_token_deadline)
    if lease.held_until > now or has_new_token:
        # The present owner may hold the range, and no earlier owner can: an owner receives grants
        # only after the release or expiry of all earlier leases.
        lease.former = FormerOwner(
            lease.owner,
            lease.fencing_token,
            max(lease.held_until, unanswered_grant_until),
            unanswered_grant_until,
            needs_fencing=may_fence and unanswered_grant_until > now,
        )
        lease.handover_token = None
    lease.owner = new_owner
    lease.fencing_token = allocate_tokens(2)
    lease.held_until = lease.unanswered_grant_until = lease.new_token_deadline = NEVER
    lease.is_token_acknowledged = lease.is_confirmed = False
    lease.missed_renewals = 0
    lease.moved_at = now
    enter_phase(lease, Phase.UNRECORDED, now)


def continue_after_write(lease: RangeLease, now: timedelta) -> None:
    """Continue a move whose change has been written to the store."""
    if lease.phase is not Phase.UNRECORDED:
        return
    former = lease.former
    if former is None or now >= former.expires_at:
        enter_phase(lease, Phase.GRANTING, now)
    elif former.needs_fencing:
        enter_phase(lease, Phase.FENCING, now)
    elif former.unanswered_grant_until > now:
        former.expires_at = max(former.expires_at, former.unanswered_grant_until)
        enter_phase(lease, Phase.AWAITING_EXPIRY, now)
    else:
        enter_phase(lease, Phase.RELEASING, now)


def next_order(
    lease: RangeLease, lease_duration: timedelta, timing: LeaseTiming, now: timedelta
) -> GrantOrder | ReleaseOrder | None:
    """Return the order that is due for a range, or None.

    Parameters
    ----------
    lease : RangeLease
    lease_duration : timedelta
        Duration of the lease if the order is a grant.
    timing : LeaseTiming
    now : timedelta
    """
    former = lease.former
    # A fencing grant without an answer may be applied long after the lease that it grants.
    is_undecided = lease.phase is Phase.UNRECORDED or (
        lease.phase is Phase.FENCING and lease.has_order_in_flight
    )
    if former is not None and now >= former.expires_at and not is_undecided:
        lease.former = None
        enter_phase(lease, Phase.GRANTING, now)
    if lease.has_order_in_flight or now < lease.next_order_at:
        return None
    if lease.phase in (Phase.GRANTING, Phase.HELD):
        # A retried renewal must not delay the expiry of the lease of an unresponsive owner.
        remaining_time = (lease.held_until - now - timing.order_timeout) / timing.clock_drift_factor
        if lease.missed_renewals and lease.phase is Phase.HELD:
            lease_duration = min(lease_duration, max(remaining_time, FENCING_LEASE_DURATION))
        return GrantOrder(
            lease.owner,
            lease.first,
            lease.last,
            lease.fencing_token,
            lease_duration,
            lease.handover_token,
        )
    if former is None:
        return None
    if lease.phase is Phase.FENCING:
        fencing_token = lease.fencing_token - 1
        return GrantOrder(
            former.incarnation, lease.first, lease.last, fencing_token, FENCING_LEASE_DURATION, None
        )
    if lease.phase is Phase.RELEASING:
        return ReleaseOrder(former.incarnation, lease.first, lease.last, former.fencing_token)
    return None


def register_order(
    lease: RangeLease, order: GrantOrder | ReleaseOrder, timing: LeaseTiming, now: timedelta
) -> None:
    """Extend the latest expiry for a grant. Call this immediately before an order is sent."""
    if not isinstance(order, GrantOrder):
        return
    end = timing.latest_expiry(now, order.lease_duration)
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
    """Apply the result of an order that belongs to the current epoch of the lease."""
    lease.has_order_in_flight = False
    _extend_for_late_result(lease, order, result, timing, now)
    if not _is_for_owner(order, lease):
        _apply_former_result(lease, order, result, sent_at, allocate_tokens, timing, now)
        return
    match result:
        case OrderAcknowledged():
            lease.missed_renewals = 0
            lease.handover_token = None
            lease.is_confirmed = lease.is_token_acknowledged = True
            lease.new_token_deadline = NEVER
            if lease.phase is Phase.GRANTING:
                enter_phase(lease, Phase.HELD, now)
            lease.next_order_at = sent_at + min(
                timing.renew_interval, order.lease_duration / RENEWALS_PER_LEASE
            )
        case GrantRefused():
            # A higher token has been used; allocate one above all tokens that were written.
            lease.fencing_token = allocate_tokens(2)
            lease.is_token_acknowledged = False
            enter_phase(lease, Phase.UNRECORDED, now)
        case NoAnswer(never_sent=never_sent):
            lease.missed_renewals += 1
            lease.next_order_at = now + timing.retry_interval
            if not never_sent:
                arrived_by = max(sent_at, now - timing.order_timeout)
                end = timing.latest_expiry(arrived_by, order.lease_duration)
                lease.unanswered_grant_until = max(lease.unanswered_grant_until, end)
                if not lease.is_token_acknowledged:
                    lease.new_token_deadline = sent_at + MAX_APPLICATION_DELAY
        case ConnectionRefused():
            lease.missed_renewals = max(lease.missed_renewals + 1, MISSED_RENEWALS_LIMIT)
            lease.next_order_at = now + timing.retry_interval
        case UpstreamReplaced():
            lease.held_until = lease.unanswered_grant_until = lease.new_token_deadline = NEVER
            lease.is_confirmed = False
            lease.missed_renewals = MISSED_RENEWALS_LIMIT
            lease.next_order_at = now + timing.retry_interval


def _extend_for_late_result(
    lease: RangeLease,
    order: GrantOrder | ReleaseOrder,
    result: CallResult,
    timing: LeaseTiming,
    now: timedelta,
) -> None:
    """Extend the latest expiry if the result comes after the timeout, as after a pause.

    The connection was not reset in time then, so the grant may have arrived at any moment until
    now.
    """
    if not isinstance(order, GrantOrder):
        return
    if isinstance(result, OrderAcknowledged) or result == NoAnswer(never_sent=False):
        register_order(lease, order, timing, now - timing.order_timeout)


def _is_for_owner(order: GrantOrder | ReleaseOrder, lease: RangeLease) -> TypeGuard[GrantOrder]:
    # Compares the token, since the former owner and the new owner may be the same upstream.
    return isinstance(order, GrantOrder) and order.fencing_token == lease.fencing_token


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
        case UpstreamReplaced():
            lease.former = None
            enter_phase(lease, Phase.GRANTING, now)
        case OrderAcknowledged(handover=handover_token) if isinstance(order, ReleaseOrder):
            lease.handover_token = handover_token
            if former.unanswered_grant_until > now:
                # A late grant may be applied after the release, and no higher token fences it.
                former.expires_at = former.unanswered_grant_until
                enter_phase(lease, Phase.AWAITING_EXPIRY, now)
                return
            lease.former = None
            enter_phase(lease, Phase.GRANTING, now)
        case OrderAcknowledged():
            # From now on the former owner refuses late grants under the lower token.
            former.fencing_token = order.fencing_token
            former.unanswered_grant_until = NEVER
            former.needs_fencing = False
            enter_phase(lease, Phase.RELEASING, now)
        case GrantRefused():
            # A higher token that this leader doesn't know has been used; wait for the expiry.
            enter_phase(lease, Phase.AWAITING_EXPIRY, now)
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
    """Return a range to the former owner, which did not answer a fencing grant.

    Notes
    -----
    The fencing grant may be applied seconds later, which must not happen once the new owner has a
    higher token. A grant under a token that is higher still makes the former owner refuse the
    fencing grant.
    """
    lease.owner = former.incarnation
    lease.fencing_token = allocate_tokens(2)
    lease.held_until = former.expires_at
    lease.unanswered_grant_until = NEVER
    lease.new_token_deadline = max(former.unanswered_grant_until, sent_at + MAX_APPLICATION_DELAY)
    lease.is_token_acknowledged = False
    # The owner counts as unresponsive until it answers an order.
    lease.missed_renewals = MISSED_RENEWALS_LIMIT
    lease.is_confirmed = True
    lease.former = None
    lease.moved_at = now
    enter_phase(lease, Phase.UNRECORDED, now)


def enter_phase(lease: RangeLease, phase: Phase, now: timedelta) -> None:
    """Set the phase of a lease; results of earlier orders are ignored from now on."""
    lease.phase = phase
    lease.epoch += 1
    lease.has_order_in_flight = False
    lease.next_order_at = now
