"""Under overload, the admitted requests are answered within the latency goal.

The tests simulate requests to one upstream with two slots, up to one and a half times its capacity.
"""

import random

from ..admission import Admitted, decide_admission

SERVICE_S = 0.1
GOAL_S = 0.3
SLOTS = 2


def play(rate, seconds, decides):
    """Simulate requests; return how many were answered in time, answered late, and refused."""
    source = random.Random(3)
    free_at = [0.0] * SLOTS
    pending = []
    in_time = late = refused = 0
    now = 0.0
    while now < seconds:
        now += source.expovariate(rate)
        pending = [end for end in pending if end > now]
        turns = max(1.0, (len(pending) + 1) / SLOTS)
        if not decides(SERVICE_S * turns):
            refused += 1
            continue
        slot = min(range(SLOTS), key=lambda i: free_at[i])
        free_at[slot] = max(free_at[slot], now) + source.uniform(0.5, 1.5) * SERVICE_S
        pending.append(free_at[slot])
        if free_at[slot] - now <= GOAL_S:
            in_time += 1
        else:
            late += 1
    return in_time, late, refused


def admit(predicted_s):
    return isinstance(decide_admission(predicted_s, SERVICE_S, GOAL_S, 2.0), Admitted)


def test_an_overload_is_answered_in_time_at_capacity():
    capacity = SLOTS / SERVICE_S
    in_time, late, refused = play(capacity * 1.5, 60, admit)
    assert in_time >= 0.85 * capacity * 60
    assert late <= 0.1 * in_time
    with_all, too_late, _ = play(capacity * 1.5, 60, lambda predicted: True)
    assert with_all < 0.1 * in_time and too_late > 0


def test_no_request_is_refused_where_there_is_room():
    _, late, refused = play(0.5 * SLOTS / SERVICE_S, 60, admit)
    assert refused == 0 and late <= 2


def test_a_refused_caller_comes_back_when_the_backlog_is_gone():
    declined = decide_admission(0.8, SERVICE_S, GOAL_S, 2.0)
    assert 0.45 <= declined.retry_after_s <= 0.55


def test_a_slow_upstream_is_still_tried():
    assert isinstance(decide_admission(1.0, 1.0, GOAL_S, 5.0), Admitted)


def test_what_cannot_be_answered_before_the_deadline_is_refused():
    assert not isinstance(decide_admission(0.29, 0.1, GOAL_S, 0.12), Admitted)
