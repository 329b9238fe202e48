"""The leases on all keys of one service, as managed by the leader."""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta

from ..clocks import milliseconds
from ..fleet import Upstream, UpstreamIncarnation
from .balance import KeyMove, OwnedSpan, plan_moves
from .busy_ranges import current_rates
from .hot_keys import KeyLimits, clip_hot_rates, plan_hot_key_moves, plan_key_limits
from .key_rates import KeyRates
from .lease import (
    FENCING_LEASE_DURATION,
    MAX_APPLICATION_DELAY,
    UNKNOWN_OWNER,
    FormerOwner,
    LeaseTiming,
    Phase,
    RangeLease,
    begin_move,
)
from .merging import plan_merging_moves
from .ownership_map import MapRange, OwnershipMap
from .row import RecordedRange, ServiceRecord

__all__ = [
    "ServiceLeases",
    "adopt_record",
    "assign_initial_owners",
    "split_key_space",
    "split_lease",
    "is_stable",
    "key_limits",
    "max_narrow_leases",
    "max_unmerged_leases",
    "merge_adjacent_ranges",
    "move_keys",
    "owned_spans",
    "ownership_map",
    "rebalance",
]

LAST_KEY = 65_535
# Half-lives of the request counts by key. The short one follows busy keys that change within
# seconds; the long one reveals smaller differences that persist.
SHORT_TERM_HALF_LIFE = milliseconds(500)
LONG_TERM_HALF_LIFE = milliseconds(2500)
# Half-life of the request counts by key and priority, from which limits are planned: an owner is
# full within a few hundred milliseconds after one of its keys has become busy.
LIMIT_HALF_LIFE = milliseconds(250)
# Number of ranges above which no range is split, so that the record of a service fits into one row
# of the store.
MAX_RANGES = 1000
# Minimum time between two moves of the same range.
MOVE_COOLDOWN = milliseconds(900)
# Minimum time between two moves of a key that fills its owner: the owner looks slow as long as the
# key fills it, and each move interrupts the service of the key.
HOT_KEY_COOLDOWN = milliseconds(6000)
# Limit of the moves that begin in one round of balancing: one move for every `UPSTREAMS_PER_MOVE`
# upstreams, but not less than `MIN_CONCURRENT_MOVES`.
MIN_CONCURRENT_MOVES = 5
UPSTREAMS_PER_MOVE = 4
# The same while a range of busy keys is spread. All its moves take keys from one owner, which has
# to answer an order for each.
UPSTREAMS_PER_SPREADING_MOVE = 2
# Average number of leases per upstream above which adjacent ranges of one owner are merged, and
# above which narrow ranges are moved to be merged; and the largest of both numbers for a service.
MAX_LEASES_PER_UPSTREAM = 3
MERGING_LEASES_PER_UPSTREAM = 12
MAX_UNMERGED_LEASES = MAX_RANGES // 2
# Share of the leases above that number that are moved to be merged in one round of balancing, and
# the maximum of these moves.
MERGED_SHARE_PER_ROUND = 0.1
MAX_MERGING_MOVES = 12


@dataclass(slots=True)
class ServiceLeases:
    """The leases on the keys of one service.

    Attributes
    ----------
    service : str
    last_token : int
        Highest fencing token that has been allocated.
    leases : list of RangeLease
        Ordered by key.
    row_version : int
        Version of the service's row in the store; 0 if the row is absent.
    change_count : int
        Number of changes that must be written to the store.
    written_count : int
        Number of these changes that have been written.
    map_version : int
        Version of the ownership map that was last sent to the other instances.
    short_term_rates, long_term_rates : KeyRates
        Request rates of the keys, decayed with a short and with a long half-life.
    priority_rates : KeyRates
        Request rates by key and priority, decayed with `LIMIT_HALF_LIFE`.
    first_upstream_seen_at : timedelta or None
        When the first usable upstream was seen.
    """

    service: str
    last_token: int = 0
    leases: list[RangeLease] = field(default_factory=list)
    row_version: int = 0
    change_count: int = 0
    written_count: int = 0
    map_version: int = 0
    short_term_rates: KeyRates[int] = field(default_factory=lambda: KeyRates(SHORT_TERM_HALF_LIFE))
    long_term_rates: KeyRates[int] = field(default_factory=lambda: KeyRates(LONG_TERM_HALF_LIFE))
    priority_rates: KeyRates[tuple[int, int]] = field(
        default_factory=lambda: KeyRates(LIMIT_HALF_LIFE)
    )
    first_upstream_seen_at: timedelta | None = None

    @property
    def is_dirty(self) -> bool:
        """Whether there are changes that have not been written to the store."""
        return self.change_count > self.written_count

    def allocate_tokens(self, token_count: int) -> int:
        """Allocate fencing tokens and return the last of them."""
        self.last_token += token_count
        self.change_count += 1
        return self.last_token

    def count_requests(self, key: int, requests: int, now: timedelta, priority: int = 0) -> None:
        """Count requests of a priority for a key."""
        self.priority_rates.count_requests((key, priority), requests, now)
        self.short_term_rates.count_requests(key, requests, now)
        self.long_term_rates.count_requests(key, requests, now)


def adopt_record(
    leases: ServiceLeases,
    record: ServiceRecord,
    timing: LeaseTiming,
    lease_duration: timedelta,
    local_time_after: Callable[[timedelta], timedelta | None],
    now: timedelta,
) -> None:
    """Restore the leases from the record that a former leader wrote.

    Parameters
    ----------
    leases : ServiceLeases
    record : ServiceRecord
    timing : LeaseTiming
    lease_duration : timedelta
        Longest lease duration of the grants that a former leader may have sent recently.
    local_time_after : callable
        Returns the local instant by which the store's clock has certainly passed a given time, or
        None if the store's time is unknown.
    now : timedelta

    Notes
    -----
    A former leader may have sent grants to every recorded owner up to now, and these grants may be
    applied late. Owners are renewed at once under their tokens. Before a range is moved, its owner
    is fenced or its lease expires. A former owner is only ordered to release: the owner may hold
    the range already, so a grant that fences the former owner would create two holders.
    """
    latest = timing.latest_expiry(now, lease_duration)
    leases.last_token = record.last_token
    leases.leases = []
    for recorded in sorted(record.ranges, key=lambda r: r.first):
        lease = RangeLease(
            recorded.first, recorded.last, recorded.owner, recorded.fencing_token, Phase.GRANTING
        )
        lease.held_until = lease.unanswered_grant_until = latest
        lease.is_confirmed = recorded.former is None
        lease.is_token_acknowledged = recorded.is_token_acknowledged
        if not recorded.is_token_acknowledged:
            lease.new_token_deadline = now + MAX_APPLICATION_DELAY
        if recorded.former is not None:
            until = _former_expiry(recorded, timing, local_time_after, now)
            if until is None:
                # The writer may have counted with leases of any leader before it.
                until = timing.latest_expiry(now, timing.max_lease_duration)
                if recorded.former == UNKNOWN_OWNER:
                    until = max(until, now + MAX_APPLICATION_DELAY)
            if recorded.is_former_possibly_fenced:
                # The fencing grant may be applied late, and its token is new to that owner.
                until = max(until, now + MAX_APPLICATION_DELAY)
            lease.former = FormerOwner(recorded.former, recorded.former_token, until, until)
            lease.phase = Phase.RELEASING
        leases.leases.append(lease)


def _former_expiry(
    recorded: RecordedRange,
    timing: LeaseTiming,
    local_time_after: Callable[[timedelta], timedelta | None],
    now: timedelta,
) -> timedelta | None:
    """Return the latest expiry of a recorded former owner's leases, or None if it is unknown.

    Notes
    -----
    After the record was written, the former owner can only have received grants that raise its
    fencing token. These have a short lease duration.
    """
    if recorded.former_expires_at is None:
        return None
    expiry = local_time_after(recorded.former_expires_at)
    if expiry is None:
        return None
    return max(expiry, timing.latest_expiry(now, FENCING_LEASE_DURATION))


def split_key_space(count: int) -> list[tuple[int, int]]:
    """Return `count` ranges of about equal width that cover all keys.

    Examples
    --------
    >>> split_key_space(3)
    [(0, 21844), (21845, 43689), (43690, 65535)]
    """
    edges = [(LAST_KEY + 1) * i // count for i in range(count + 1)]
    return [(first, end - 1) for first, end in zip(edges, edges[1:], strict=False)]


def assign_initial_owners(leases: ServiceLeases, upstreams: Sequence[Upstream]) -> None:
    """Assign the initial owners of all keys, in proportion to the slots of the upstreams."""
    ordered = sorted(upstreams, key=lambda u: u.name)
    parts = [upstream for upstream in ordered for _ in range(upstream.slots)]
    leases.leases = []
    for (first, last), upstream in zip(split_key_space(len(parts)), parts, strict=True):
        previous = leases.leases[-1] if leases.leases else None
        if previous is not None and previous.owner == upstream.incarnation:
            previous.last = last
            continue
        fencing_token = leases.allocate_tokens(2)
        leases.leases.append(RangeLease(first, last, upstream.incarnation, fencing_token))


def rebalance(
    leases: ServiceLeases,
    capacities: Mapping[UpstreamIncarnation, float],
    now: timedelta,
    *,
    spreads_ranges: bool = False,
) -> list[KeyMove]:
    """Move busy keys from busy upstreams to idle ones and return the moves.

    While there are many ranges, others that have few requests are moved beside their neighbours.
    With `spreads_ranges`, neighbouring keys that have become busy together are spread at once, and
    other keys are moved for lasting differences only.
    """
    spans = owned_spans(leases, now)
    recent = leases.short_term_rates
    moves = plan_hot_key_moves(
        _without_recent_hot_moves(leases, spans, now),
        recent.rates(now),
        capacities,
        recent.window_s(now),
    )
    max_moves = max(MIN_CONCURRENT_MOVES, len(capacities) // UPSTREAMS_PER_MOVE)
    may_split = len(leases.leases) < MAX_RANGES
    if spreads_ranges and not moves and may_split:
        moves = _spreading_moves(leases, spans, capacities, now)
    for rates in (leases.short_term_rates, leases.long_term_rates):
        if not spreads_ranges and not moves and may_split:
            window_s = rates.window_s(now)
            kept_spans, clipped = clip_hot_rates(spans, rates.rates(now), capacities)
            moves = plan_moves(kept_spans, clipped, capacities, window_s, max_moves)
    for move in moves:
        move_keys(leases, move, now)
    excess = len(leases.leases) - max_narrow_leases(len(capacities))
    if excess > 0:
        merging_moves = plan_merging_moves(
            owned_spans(leases, now),
            leases.long_term_rates.rates(now),
            capacities,
            min(math.ceil(excess * MERGED_SHARE_PER_ROUND), MAX_MERGING_MOVES),
        )
        for move in merging_moves:
            move_keys(leases, move, now)
        moves += merging_moves
    return moves


def _spreading_moves(
    leases: ServiceLeases,
    spans: list[OwnedSpan],
    capacities: Mapping[UpstreamIncarnation, float],
    now: timedelta,
) -> list[KeyMove]:
    short, long = leases.short_term_rates, leases.long_term_rates
    # `LIMIT_HALF_LIFE` is half of the short half-life.
    half_short: dict[int, float] = {}
    for (key, _), rate in leases.priority_rates.rates(now).items():
        half_short[key] = half_short.get(key, 0.0) + rate
    rates, has_busy_range = current_rates(
        short.rates(now), short.window_s(now), long.rates(now), half_short
    )
    upstreams_per_move = UPSTREAMS_PER_SPREADING_MOVE if has_busy_range else UPSTREAMS_PER_MOVE
    max_moves = max(MIN_CONCURRENT_MOVES, len(capacities) // upstreams_per_move)
    kept_spans, clipped = clip_hot_rates(spans, rates, capacities)
    window_s = long.window_s(now)
    return plan_moves(
        kept_spans, clipped, capacities, window_s, max_moves, is_spreading=has_busy_range
    )


def max_narrow_leases(upstream_count: int) -> int:
    """Return the number of leases above which narrow ranges are moved to be merged."""
    return min(MERGING_LEASES_PER_UPSTREAM * max(1, upstream_count), MAX_UNMERGED_LEASES)


def max_unmerged_leases(upstream_count: int) -> int:
    """Return the number of leases of a service above which ranges of one owner are merged."""
    return min(MAX_LEASES_PER_UPSTREAM * max(1, upstream_count), MAX_UNMERGED_LEASES)


def _without_recent_hot_moves(
    leases: ServiceLeases, spans: list[OwnedSpan], now: timedelta
) -> list[OwnedSpan]:
    """Return the spans, of which single keys are movable only after `HOT_KEY_COOLDOWN`."""
    return [
        (
            replace(span, is_movable=False)
            if span.first == span.last and now - lease.moved_at <= HOT_KEY_COOLDOWN
            else span
        )
        for span, lease in zip(spans, leases.leases, strict=True)
    ]


def key_limits(
    leases: ServiceLeases, capacities: Mapping[UpstreamIncarnation, float], now: timedelta
) -> KeyLimits:
    """Return the limits on requests for keys that are too busy for their owners."""
    rates = leases.priority_rates
    return plan_key_limits(
        owned_spans(leases, now), rates.rates(now), capacities, rates.window_s(now)
    )


def owned_spans(leases: ServiceLeases, now: timedelta) -> list[OwnedSpan]:
    """Return the ranges with their owners, ordered by key."""
    return [
        OwnedSpan(lease.first, lease.last, lease.owner, is_stable(lease, now))
        for lease in leases.leases
    ]


def move_keys(leases: ServiceLeases, move: KeyMove, now: timedelta) -> None:
    """Move keys that lie within one stable range to another owner."""
    lease = _isolate_range(leases, move.first, move.last)
    begin_move(lease, move.new_owner, leases.allocate_tokens, now)


def merge_adjacent_ranges(leases: ServiceLeases, upstream_count: int, now: timedelta) -> int:
    """Merge adjacent ranges that have the same owner and return how many ranges were removed."""
    max_leases = max_unmerged_leases(upstream_count)
    removed = 0
    position = 0
    while position + 1 < len(leases.leases) and len(leases.leases) > max_leases:
        left, right = leases.leases[position : position + 2]
        are_mergeable = left.owner == right.owner and left.last + 1 == right.first
        if not (are_mergeable and is_stable(left, now) and is_stable(right, now)):
            position += 1
            continue
        left.last = right.last
        left.held_until = max(left.held_until, right.held_until)
        left.unanswered_grant_until = max(left.unanswered_grant_until, right.unanswered_grant_until)
        left.new_token_deadline = max(left.new_token_deadline, right.new_token_deadline)
        left.is_token_acknowledged = False
        # A grant holds a single token, so the merged range needs a new one.
        left.fencing_token = leases.allocate_tokens(2)
        left.phase = Phase.UNRECORDED
        left.epoch += 1
        del leases.leases[position + 1]
        removed += 1
        position += 1
    return removed


def is_stable(lease: RangeLease, now: timedelta) -> bool:
    """Return whether a range may be split, merged or moved for balance."""
    return (
        lease.phase is Phase.HELD
        and lease.former is None
        and not lease.has_order_in_flight
        and not lease.missed_renewals
        and now - lease.moved_at > MOVE_COOLDOWN
    )


def ownership_map(leases: ServiceLeases, previous: OwnershipMap | None = None) -> OwnershipMap:
    """Return the ownership map that is sent to the other instances.

    Ranges that are as in `previous` are the same objects, and if all are, so is the map.
    """
    known = {r.first: r for r in previous.ranges} if previous is not None else {}
    ranges = tuple(_map_range(lease, known.get(lease.first)) for lease in leases.leases)
    # Comparing tuples compares the identities of their items first.
    if previous is not None and ranges == previous.ranges:
        return previous
    return OwnershipMap(leases.service, leases.map_version, ranges)


def _map_range(lease: RangeLease, known: MapRange | None) -> MapRange:
    awaits_lease_expiry = lease.awaits_lease_expiry
    if (
        known is not None
        and known.last == lease.last
        and known.owner == lease.owner
        and known.is_held == lease.is_confirmed
        and known.awaits_lease_expiry == awaits_lease_expiry
    ):
        return known
    return MapRange(lease.first, lease.last, lease.owner, lease.is_confirmed, awaits_lease_expiry)


def _isolate_range(leases: ServiceLeases, first: int, last: int) -> RangeLease:
    """Return a lease on exactly these keys, split off the lease that contains them."""
    lease = next(x for x in leases.leases if x.first <= first and last <= x.last)
    if lease.first < first:
        lease = split_lease(leases, lease, first)
    if last < lease.last:
        split_lease(leases, lease, last + 1)
    return lease


def split_lease(leases: ServiceLeases, lease: RangeLease, key: int) -> RangeLease:
    """Split a lease before a key and return the upper part."""
    upper = RangeLease(
        key,
        lease.last,
        lease.owner,
        lease.fencing_token,
        lease.phase,
        held_until=lease.held_until,
        unanswered_grant_until=lease.unanswered_grant_until,
        new_token_deadline=lease.new_token_deadline,
        is_token_acknowledged=lease.is_token_acknowledged,
        next_order_at=lease.next_order_at,
        moved_at=lease.moved_at,
        is_confirmed=lease.is_confirmed,
    )
    lease.last = key - 1
    lease.epoch += 1
    leases.leases.insert(leases.leases.index(lease) + 1, upper)
    return upper
