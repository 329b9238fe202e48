"""Bodies are held once, in parts, for as long as somebody uses them."""

import pytest

from ..memory_budget import HeldKind, MemoryBudget
from ..request_body import MAX_WAITING_BYTES, PART_BYTES, RequestBody


def test_tiny_parts_are_joined():
    body = RequestBody(None)
    for _ in range(3 * PART_BYTES):
        body.append(b"x")
    assert len(list(body.kept_parts())) == 3
    assert bytes(body) == b"x" * 3 * PART_BYTES


def test_kept_body_can_be_taken_again():
    body = RequestBody(4)
    body.append(b"body")
    body.complete()
    for _ in range(2):
        assert b"".join(body.take_parts()) == b"body"
    assert body.can_be_sent_again


def test_streamed_body_can_be_taken_once():
    body = RequestBody(4, is_streamed=True)
    assert body.can_be_sent_again
    body.append(b"body")
    body.complete()
    assert b"".join(body.take_parts()) == b"body"
    assert not body.can_be_sent_again and not bytes(body)


def test_taker_of_a_streamed_body_waits_for_its_parts():
    body = RequestBody(6, is_streamed=True)
    parts = body.take_parts()
    assert next(parts) is None
    body.append(b"abc")
    assert next(parts) == b"abc" and next(parts) is None
    body.append(b"def")
    body.complete()
    assert list(parts) == [b"def"]


def test_caller_of_a_streamed_body_waits_while_enough_parts_wait():
    body = RequestBody(10 * MAX_WAITING_BYTES, is_streamed=True)
    spaces = []
    body.on_space = lambda: spaces.append(body.is_congested)
    while not body.is_congested:
        body.append(b"x" * PART_BYTES)
    parts = body.take_parts()
    next(parts)
    next(parts)
    assert spaces == [False]


def test_kept_body_never_holds_its_caller_back():
    body = RequestBody(10 * MAX_WAITING_BYTES)
    body.append(b"x" * 2 * MAX_WAITING_BYTES)
    assert not body.is_congested


@pytest.mark.parametrize("is_streamed", [False, True])
def test_bytes_are_given_back_once_the_last_user_has_released_them(is_streamed):
    budget = MemoryBudget(2**30)
    body = RequestBody(10**6, budget, is_streamed=is_streamed)
    kind = HeldKind.STREAMED_BODY if is_streamed else HeldKind.LONG_BODY
    assert budget.held[kind] > 0
    body.acquire()
    body.release()
    assert budget.total
    body.release()
    assert not budget.total and not bytes(body)
