"""What a process takes on is decided by what it holds; small requests are served throughout."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..memory_budget import (
    KEPT_LONG_BODIES_SHARE,
    MEBIBYTE,
    SMALL_BODY_BYTES,
    STREAM_WINDOW_BYTES,
    BodyHandling,
    HeldKind,
    MemoryBudget,
    held_bytes_limit,
)
from ..request_body import RequestBody

LIMIT = 16 * MEBIBYTE
KEPT_LIMIT = int(LIMIT * KEPT_LONG_BODIES_SHARE)


@pytest.fixture
def budget():
    return MemoryBudget(LIMIT)


def take_on(budget, length):
    """Take on a body as a connection does; return how, and the body if it isn't refused."""
    handling = budget.choose_handling(length)
    if handling is BodyHandling.REFUSE:
        return handling, None
    return handling, RequestBody(length, budget, is_streamed=handling is BodyHandling.STREAM)


@pytest.mark.parametrize(("memory_mb", "limit_mb"), [(300, 110), (100, 10), (50, 2)])
def test_budget_follows_from_the_memory_of_the_machine(memory_mb, limit_mb):
    assert held_bytes_limit(memory_mb * MEBIBYTE) // MEBIBYTE == limit_mb


def test_budget_without_a_limit_keeps_every_body():
    assert MemoryBudget().choose_handling(10**12) is BodyHandling.KEEP


@pytest.mark.parametrize("length", [0, 1, SMALL_BODY_BYTES, KEPT_LIMIT])
def test_body_that_fits_is_kept(budget, length):
    assert budget.choose_handling(length) is BodyHandling.KEEP


def test_body_that_does_not_fit_is_streamed(budget):
    assert budget.choose_handling(KEPT_LIMIT + 1) is BodyHandling.STREAM
    take_on(budget, KEPT_LIMIT)
    assert budget.choose_handling(MEBIBYTE) is BodyHandling.STREAM


def test_body_no_longer_than_a_window_is_refused_where_it_can_not_be_kept(budget):
    take_on(budget, KEPT_LIMIT)
    assert budget.choose_handling(STREAM_WINDOW_BYTES) is BodyHandling.REFUSE


def test_small_bodies_are_kept_whatever_long_ones_are_taken_on(budget):
    handlings = [take_on(budget, KEPT_LIMIT)[0] for _ in range(100)]
    assert handlings[0] is BodyHandling.KEEP
    assert handlings[1] is BodyHandling.STREAM and handlings[-1] is BodyHandling.REFUSE
    for _ in range(16):
        assert take_on(budget, SMALL_BODY_BYTES)[0] is BodyHandling.KEEP


def test_nothing_is_taken_on_once_everything_is_used(budget):
    budget.add(HeldKind.UNSENT, LIMIT + 1)
    assert budget.choose_handling(0) is BodyHandling.REFUSE


def test_answers_are_not_held_back_once_half_of_the_budget_is_used(budget):
    assert budget.may_hold_answers
    budget.add(HeldKind.ANSWER, LIMIT // 2)
    assert not budget.may_hold_answers


def test_body_of_unknown_length_grows_into_the_share_of_long_ones(budget):
    body = RequestBody(None, budget)
    part = b"x" * SMALL_BODY_BYTES
    assert body.append(part)
    assert budget.held[HeldKind.SMALL_BODY] == SMALL_BODY_BYTES
    while body.append(part):
        pass
    assert not budget.held[HeldKind.SMALL_BODY]
    assert budget.held[HeldKind.LONG_BODY] == KEPT_LIMIT // SMALL_BODY_BYTES * SMALL_BODY_BYTES
    body.release()
    assert not budget.total


lengths = st.one_of(st.none(), st.integers(0, 3 * LIMIT))
steps = st.lists(
    st.one_of(
        st.tuples(st.just("take on"), lengths),
        st.tuples(st.just("grow"), st.integers(0, 4 * SMALL_BODY_BYTES)),
        st.tuples(st.just("release"), st.integers(0, 20)),
    ),
    max_size=60,
)


@given(steps)
def test_budget_is_never_exceeded_and_everything_is_given_back(chosen_steps):
    budget = MemoryBudget(LIMIT)
    bodies = []
    for action, value in chosen_steps:
        if action == "take on":
            _, body = take_on(budget, value)
            bodies += [body] if body is not None else []
        elif action == "grow":
            for body in bodies:
                if body._length is None:
                    body.append(b"x" * value)
        elif bodies:
            bodies.pop(value % len(bodies)).release()
        assert budget.total <= LIMIT
        assert budget.total == sum(budget.held.values())
    for body in bodies:
        body.release()
    assert not any(budget.held.values())
