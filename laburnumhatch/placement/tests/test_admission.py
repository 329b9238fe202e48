"""Under overload, the admitted requests are answered within the latency objective.

The tests simulate requests to one upstream with two slots, up to one and a half times its capacity.
"""

import random

from ..admission import Admitted, decide_admission

SERVICE_TIME_S = 0.1
LATENCY_OBJECTIVE_S = 0.3
SLOTS = 2


def simulate(rate, seconds, is_admitted):
    """Simulate requests; return how many were answered in time, answered late, and refused."""
    rng = random.Random(3)
    free_at = [0.0] * SLOTS
    pending = []
    in_time = late = refused = 0
    now = 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        pending = [end for end in pending if end > now]
        requests_per_slot = max(1.0, (len(pending) + 1) / SLOTS)
        if not is_admitted(SERVICE_TIME_S * requests_per_slot):
            refused += 1
            continue
        slot = min(range(SLOTS), key=lambda i: free_at[i])
        free_at[slot] = max(free_at[slot], now) + rng.uniform(0.5, 1.5) * SERVICE_TIME_S
        pending.append(free_at[slot])
        if free_at[slot] - now <= LATENCY_OBJECTIVE_S:
            in_time += 1
        else:
            late += 1
    return in_time, late, refused


def is_admitted_by_policy(predicted_s):
    return isinstance(
        decide_admission(predicted_s, SERVICE_TIME_S, LATENCY_OBJECTIVE_S, 2.0), Admitted
    )


def test_admitted_requests_are_answered_in_time_under_overload():
    capacity = SLOTS / SERVICE_TIME_S
    in_time, late, refused = simulate(capacity * 1.5, 60, is_admitted_by_policy)
    assert in_time >= 0.85 * capacity * 60
    assert late <= 0.1 * in_time
    in_time_without_admission, late_without_admission, _ = simulate(
        capacity * 1.5, 60, lambda predicted_s: True
    )
    assert in_time_without_admission < 0.1 * in_time and late_without_admission > 0


def test_no_request_is_refused_at_half_capacity():
    _, late, refused = simulate(0.5 * SLOTS / SERVICE_TIME_S, 60, is_admitted_by_policy)
    assert refused == 0 and late <= 2


def test_retry_after_is_about_the_excess_backlog():
    declined = decide_admission(0.8, SERVICE_TIME_S, LATENCY_OBJECTIVE_S, 2.0)
    assert 0.45 <= declined.retry_after_s <= 0.55


def test_request_to_a_slow_idle_upstream_is_admitted():
    assert isinstance(decide_admission(1.0, 1.0, LATENCY_OBJECTIVE_S, 5.0), Admitted)


def test_request_that_would_miss_its_deadline_is_refused():
    assert not isinstance(decide_admission(0.29, 0.1, LATENCY_OBJECTIVE_S, 0.12), Admitted)
