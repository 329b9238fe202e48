"""Tests of admission and of the target queue against naive implementations."""

from collections import Counter
from dataclasses import replace
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from ...results import Refusal, ResultCode
from ..admission import (
    Admission,
    KindBacklog,
    TargetLoad,
    concurrency_limit,
    decide_admission,
    expected_wait,
)
from ..target_queue import QueuedRequest, TargetQueue
from .conftest import kind

SECOND = timedelta(seconds=1)


@given(st.integers(1, 64), st.integers(1, 1000), st.integers(0, 50))
def test_instances_together_keep_within_a_targets_connections(slots, connections, entries):
    limit = concurrency_limit(slots, connections, entries)
    live = max(1, entries)
    assert limit >= 1
    assert limit * live <= max(connections, live)
    # One instance alone can use all slots if its share of the connections permits it.
    assert limit >= min(slots, connections // live)


def _simulate_wait(own, backlogs, load):
    """Return the wait of a new request by serving all requests one by one in virtual time."""
    left = {name: b.waiting_count for name, b in backlogs.items()}
    left[own] += 1
    served = dict.fromkeys(left, 0.0)
    count = 0
    while True:
        name = min((n for n in left if left[n]), key=lambda n: (served[n], n))
        count += 1
        left[name] -= 1
        served[name] += 1 / backlogs[name].weight
        if name == own and not left[own]:
            return load.latency * (count / load.max_running)


backlogs = st.dictionaries(
    st.sampled_from("abcd"),
    st.builds(KindBacklog, st.sampled_from([0.5, 1.0, 2.0, 4.0]), st.integers(0, 12)),
    min_size=1,
)


@given(backlogs, st.integers(1, 8), st.data())
def test_expected_wait_is_close_to_simulated_wait(backlogs, limit, data):
    own = data.draw(st.sampled_from(sorted(backlogs)))
    load = TargetLoad(limit, limit, SECOND)
    expected = expected_wait(own, backlogs, load)
    simulated = _simulate_wait(own, backlogs, load)
    # Rounding in the order of service shifts a request by at most one request of each kind.
    assert abs(expected - simulated) <= SECOND * (len(backlogs) / limit)
    assert expected <= SECOND * ((sum(b.waiting_count for b in backlogs.values()) + 1) / limit)


@given(backlogs, st.integers(0, 8), st.integers(1, 8), st.booleans(), st.integers(0, 10))
def test_admission_agrees_with_naive_decision(backlogs, running, limit, has_room, remaining):
    own = min(backlogs)
    load = TargetLoad(running, limit, SECOND)
    decision = decide_admission(own, backlogs, load, remaining * SECOND, has_room)
    free = running < limit and sum(b.waiting_count for b in backlogs.values()) == 0
    late = expected_wait(own, backlogs, load) + SECOND > remaining * SECOND
    naive = (
        Admission.START
        if free
        else (
            Admission.QUEUE_FULL
            if not has_room
            else Admission.DEADLINE_UNREACHABLE if late else Admission.WAIT
        )
    )
    assert decision is naive


KINDS = {"view": kind("view", weight=1.0), "deposit": kind("deposit", "PUT", weight=4.0)}
steps = st.lists(
    st.one_of(
        st.tuples(st.just("enter"), st.sampled_from(sorted(KINDS)), st.sampled_from("abc")),
        st.tuples(st.just("end"), st.none(), st.none()),
        st.tuples(st.just("leave"), st.integers(0, 5), st.none()),
    ),
    max_size=80,
)


@given(steps, st.integers(1, 3))
def test_queue_keeps_its_bounds_and_its_order(steps, limit):
    totals = Counter()
    queue = TargetQueue(timedelta, totals)
    waiting, started = [], []
    running = 0
    for step, name, key in steps:
        if step == "enter":
            result = queue.submit(KINDS[name], key, 1000 * SECOND, limit)
            if isinstance(result, QueuedRequest):
                assert running == limit
                waiting.append(result)
                result.started.addCallback(lambda _, w=result: started.append(w))
            elif result is None:
                assert running < limit and not waiting
                running += 1
            else:
                assert result.code is ResultCode.QUEUE_FULL
        elif step == "leave" and waiting:
            queue.withdraw(waiting.pop(name % len(waiting)))
        elif step == "end" and running:
            queue.finish_request(SECOND / 1000)
            running -= 1
            for queued_request in started:
                # Requests of one kind start in the order of arrival.
                assert queued_request is next(w for w in waiting if w.kind is queued_request.kind)
                waiting.remove(queued_request)
                running += 1
            started.clear()
        assert (queue.running_count, queue.waiting_count) == (running, len(waiting))
        assert not waiting or running == limit
        assert totals == Counter(w.kind.name for w in waiting)
        assert all(totals[k.name] <= k.queue_limit for k in KINDS.values())


def _fill(queue, name, key, count, limit=1):
    return [queue.submit(KINDS[name], key, 1000 * SECOND, limit) for _ in range(count)]


def _refused(results):
    return sum(isinstance(e, Refusal) for e in results)


def test_hot_key_and_slow_target_leave_room_for_other_requests():
    totals = Counter()
    slow, other = TargetQueue(timedelta, totals), TargetQueue(timedelta, totals)
    hot = _fill(slow, "view", "hot", 20)
    assert _refused(hot) == 20 - 1 - 2
    assert _refused(_fill(slow, "view", "cold", 1)) == 0
    assert _refused(_fill(slow, "view", "cooler", 1)) == 0
    assert _refused(_fill(other, "view", "cold", 2)) == 0


def test_weights_share_a_target_under_overload():
    queue = TargetQueue(timedelta, Counter())
    wide = {name: replace(k, queue_limit=200) for name, k in KINDS.items()}
    order = []
    queue.submit(wide["view"], None, 1000 * SECOND, 1)
    for _ in range(50):
        for name, value in wide.items():
            result = queue.submit(value, None, 1000 * SECOND, 1)
            result.started.addCallback(lambda _, name=name: order.append(name))
    for _ in range(50):
        queue.finish_request(SECOND / 1000)
    assert Counter(order) == {"deposit": 40, "view": 10}


def test_goodput_stays_near_capacity_at_twice_the_load(clock):
    """Eight requests per second at a server that runs one request at a time for 0.25 s.

    The deadline of each request is 1 s.
    """
    queue = TargetQueue(clock.now, Counter())
    view = kind("view", queue_limit=100)
    good = []
    refused_late = []

    def start(_, deadline):
        clock.call_later(SECOND / 4, finish, deadline)

    def finish(deadline):
        good.append(clock.now() <= deadline)
        queue.finish_request(SECOND / 4)

    for _ in range(480):
        deadline = clock.now() + SECOND
        result = queue.submit(view, None, deadline, 1)
        if result is None:
            start(None, deadline)
        elif isinstance(result, QueuedRequest):
            result.started.addCallback(
                lambda r, d=deadline: refused_late.append(r) if r else start(r, d)
            )
        else:
            assert result.retry_after >= SECOND
        clock.advance(SECOND / 8)
    # The capacity is 4 requests per second for 60 s.
    assert sum(good) >= 0.95 * 240
    assert all(good)
