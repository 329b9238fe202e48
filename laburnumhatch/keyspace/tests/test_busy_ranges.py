"""Neighbouring keys that become busy together are spread at once, and chance moves none."""

import random
from datetime import timedelta

from ...fleet import Upstream, UpstreamIncarnation
from ..busy_ranges import current_rates
from ..lease import Phase
from ..service_leases import ServiceLeases, assign_initial_owners, rebalance

OWNERS = 30
CAPACITY = 20.0


def make_leases():
    leases = ServiceLeases("s")
    assign_initial_owners(
        leases,
        [
            Upstream(UpstreamIncarnation(f"u{n:02}", 1), "s", "h", 1, "d", 4, False, timedelta())
            for n in range(OWNERS)
        ],
    )
    for lease in leases.leases:
        lease.phase, lease.is_confirmed, lease.is_token_acknowledged = Phase.HELD, True, True
    leases.written_count = leases.change_count
    return leases


def play(leases, rng, seconds, rate, hot_keys, hot_share, start_s):
    """Let requests arrive, with rounds of balancing; moves end at once. Return the moves."""
    capacities = {lease.owner: CAPACITY for lease in leases.leases}
    moves = []
    for step in range(round(seconds / 0.25)):
        now = timedelta(seconds=start_s + step * 0.25)
        for _ in range(round(rate * 0.25)):
            is_hot = rng.random() < hot_share
            leases.count_requests(rng.choice(hot_keys) if is_hot else rng.randrange(65_536), 1, now)
        moves += rebalance(leases, capacities, now, spreads_ranges=True)
        for lease in leases.leases:
            lease.phase, lease.former, lease.is_confirmed = Phase.HELD, None, True
            lease.has_order_in_flight = False
    return moves


def busiest_over_mean(leases, hot_keys, hot_share):
    loads = {}
    for lease in leases.leases:
        width = lease.last - lease.first + 1
        hot = sum(lease.first <= key <= lease.last for key in hot_keys) / len(hot_keys)
        load = width / 65_536 * (1 - hot_share) + hot * hot_share
        loads[lease.owner] = loads.get(lease.owner, 0.0) + load
    return max(loads.values()) * OWNERS


def test_busy_neighbours_leave_their_owner_within_a_second():
    # Fails if a round takes few moves, or if single keys' counts decide.
    leases, rng, hot_keys = make_leases(), random.Random(5), range(30_000, 30_080)
    play(leases, rng, 5.0, 270, hot_keys, 0.0, 1.0)
    play(leases, rng, 1.0, 270, hot_keys, 0.4, 6.0)
    assert busiest_over_mean(leases, hot_keys, 0.4) < 2.1
    play(leases, rng, 1.0, 270, hot_keys, 0.4, 7.0)
    assert busiest_over_mean(leases, hot_keys, 0.4) < 1.4


def test_random_arrivals_move_few_keys():
    leases = make_leases()
    assert len(play(leases, random.Random(6), 10.0, 270, range(1), 0.0, 1.0)) <= 15


def test_rates_in_a_busy_range_are_smoothed_and_gaps_filled():
    counts = {key: 2.0 for key in range(100, 112) if key != 105}
    rates, has_busy_range = current_rates(counts, 1.0, {7: 0.5, 100: 0.1}, counts)
    assert has_busy_range and rates[7] == 0.5
    assert len(set(rates[key] for key in range(100, 112))) == 1
    assert abs(sum(rates[key] for key in range(100, 112)) - 22.0) < 1e-9


def test_evenly_busy_keys_are_no_busy_range():
    # Fails if a service with many requests is taken for one busy range.
    counts = {key: 1.0 for key in range(0, 65_536, 8)}
    assert current_rates(counts, 1.0, {8: 0.4}, counts) == ({8: 0.4}, False)


def test_sudden_rise_is_extrapolated():
    # Half a half-life after a rise to 4, 29 % show in the count, and 50 % in the faster one.
    short, fast = ({key: rate for key in range(100, 120)} for rate in (4 * 0.293, 4 * 0.5))
    rates, _ = current_rates(short, 1.0, {}, fast)
    assert abs(rates[110] - 4.0) < 0.05


def test_one_key_that_is_busier_than_its_neighbours_stays_so():
    counts = {key: 1.0 for key in range(100, 112)} | {106: 40.0}
    rates, _ = current_rates(counts, 1.0, {}, counts)
    assert rates[106] > 35.0


def test_scattered_requests_are_no_busy_range():
    counts = {key: 3.0 for key in range(0, 65_536, 100)}
    assert current_rates(counts, 1.0, {100: 0.4}, counts) == ({100: 0.4}, False)
