"""Answers to callers for each outcome of their requests at the upstreams."""

import pytest

from ...clocks import milliseconds
from ...platform.headers import DEADLINE, EXPECTED_UPSTREAM, NOT_RUN, SEAL, find_header
from .conftest import make_upstream


def test_an_answer_is_delivered_whole_with_its_seal(world):
    request = world.ask()
    world.pool.last.succeed(b"body")
    assert (request.status, request.content, request.is_whole) == (200, b"body", True)
    assert find_header(request.answer_fields, SEAL) == b"s"


def test_the_upstream_is_named_and_gets_no_more_time_than_is_left(world, clock):
    world.ask()
    sent = world.pool.last.request
    name = find_header(sent.fields, EXPECTED_UPSTREAM)
    assert name in (b"u1", b"u2")
    assert int(find_header(sent.fields, DEADLINE)) <= 1000
    clock.advance(milliseconds(300))
    world.pool.last.lose()
    assert int(find_header(world.pool.last.request.fields, DEADLINE)) <= 700
    assert find_header(world.pool.last.request.fields, EXPECTED_UPSTREAM) != name


def test_without_a_configuration_callers_are_told_to_come_back(world):
    world.member.routes = None
    request = world.ask()
    assert request.status == 503 and find_header(request.answer_fields, b"retry-after")


def test_an_unknown_route_is_not_found(world):
    assert world.ask(path=b"/other/x").status == 404


def test_what_may_run_once_is_not_sent_again_after_it_may_have_run(world):
    request = world.ask(path=b"/unsafe/x", method=b"POST")
    world.pool.last.lose()
    assert len(world.pool.sent) == 1
    assert request.status == 502


def test_what_may_run_once_is_sent_again_after_it_was_declined(world):
    request = world.ask(path=b"/unsafe/x", method=b"POST")
    world.pool.last.decline()
    assert len(world.pool.sent) == 2
    world.pool.last.succeed()
    assert request.status == 200


def test_what_was_declined_everywhere_is_refused_as_not_run(world):
    request = world.ask(path=b"/unsafe/x", method=b"POST")
    while request.status is None:
        world.pool.last.decline()
    assert len(world.pool.sent) == 4
    assert request.status == 503
    assert find_header(request.answer_fields, b"retry-after") is not None


def test_a_refused_connection_is_no_run(world):
    request = world.ask(path=b"/unsafe/x", method=b"POST")
    world.pool.last.refuse_connection()
    world.pool.last.succeed()
    assert request.status == 200 and len(world.pool.sent) == 2


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_promises_no_run_is_not_passed_on_from_one_that_ran(world, status):
    request = world.ask(path=b"/unsafe/x", method=b"POST")
    world.pool.last.answer(status)
    if status == 421:
        # This status alone states that the request did not run.
        assert len(world.pool.sent) == 2
    else:
        assert request.status == 502 and len(world.pool.sent) == 1


def test_a_success_without_a_seal_is_none(world):
    request = world.ask(path=b"/unsafe/x", method=b"POST")
    world.pool.last.answer(200, fields=())
    assert request.status == 502 and request.content != b"fine"


def test_a_failure_of_the_upstream_is_passed_on_unchanged(world):
    request = world.ask(path=b"/unsafe/x", method=b"POST")
    world.pool.last.answer(500, body=b"sorry")
    assert (request.status, request.content) == (500, b"sorry")
    assert find_header(request.answer_fields, SEAL) == b"s"


def test_a_request_that_was_sent_is_answered_at_its_timeout(world, clock):
    request = world.ask()
    clock.advance(milliseconds(1000))
    assert request.status is None
    clock.advance(milliseconds(130))
    assert request.status == 504
    assert world.pool.last.is_aborted


def test_a_request_that_found_no_connection_by_its_timeout_has_not_run(world, clock):
    world.pool.opens_at_once = False
    request = world.ask()
    clock.advance(milliseconds(1130))
    assert request.status == 503


def test_a_caller_that_leaves_ends_what_may_be_repeated(world):
    request = world.ask()
    request.on_left()
    assert world.pool.last.is_aborted
    assert world.gateway.in_flight == 0


def test_a_caller_that_leaves_does_not_cut_off_what_may_run_once(world):
    request = world.ask(path=b"/unsafe/x", method=b"POST")
    request.on_left()
    assert not world.pool.last.is_aborted and world.pool.last.is_dropped


def test_no_more_upstreams_are_asked_than_the_route_allows(world):
    world.set_upstreams(*(make_upstream(f"u{i}") for i in range(1, 6)))
    request = world.ask()
    world.pool.last.lose()
    world.pool.last.lose()
    assert len(world.pool.sent) == 2 and request.status == 502


def test_repeats_end_with_the_budget(world):
    allowed = int(56 * 0.8 + 0.2 * 0.8 * 200)
    for _ in range(200):
        world.ask(path=b"/unsafe/x", method=b"POST")
        world.pool.last.decline()
        if world.gateway.in_flight:
            world.pool.last.succeed()
    repeats = len(world.pool.sent) - 200
    assert 40 <= repeats <= allowed


def test_a_long_answer_is_passed_on_as_it_comes(world):
    request = world.ask()
    call = world.pool.last
    call.receiver.began(200, [(SEAL, b"s")], 400_000)
    call.receiver.received(b"x" * 300_000)
    assert request.status == 200 and len(request.content) == 300_000
    call.receiver.received(b"x" * 100_000)
    call.receiver.ended()
    assert request.is_whole


def test_a_long_answer_that_is_cut_does_not_look_whole(world):
    request = world.ask()
    call = world.pool.last
    call.receiver.began(200, [(SEAL, b"s")], 400_000)
    call.receiver.received(b"x" * 300_000)
    call.lose()
    assert request.is_broken and not request.is_whole


def test_a_short_answer_that_is_cut_is_asked_for_again(world):
    request = world.ask()
    call = world.pool.last
    call.receiver.began(200, [(SEAL, b"s")], 100)
    call.receiver.received(b"x" * 50)
    call.lose()
    world.pool.last.succeed(b"whole")
    assert request.content == b"whole"


def test_a_key_waits_for_its_owner(world):
    world.set_owner("u3", is_held=False)
    request = world.ask(path=b"/keyed/x")
    assert world.pool.sent == []
    world.set_owner("u3")
    world.pool.last.succeed()
    assert request.status == 200


def test_a_key_without_an_owner_is_refused_in_time(world, clock):
    request = world.ask(path=b"/keyed/x")
    clock.advance(milliseconds(600))
    assert request.status == 503


def test_an_owner_that_denies_a_key_is_left_alone_for_a_while(world, clock):
    world.set_owner("u3")
    request = world.ask(path=b"/keyed/x")
    world.pool.last.answer(421, fields=[(NOT_RUN, b"1")])
    assert len(world.pool.sent) == 1
    clock.advance(milliseconds(200))
    assert len(world.pool.sent) == 2
    world.pool.last.succeed()
    assert request.status == 200


def test_a_key_that_loses_its_owner_after_an_attempt_is_not_refused_as_not_run(world, clock):
    world.set_owner("u3")
    request = world.ask(path=b"/keyed/x")
    world.set_owner("u3", is_held=False)
    world.pool.last.lose()
    clock.advance(milliseconds(700))
    assert request.status == 502


def test_a_leaving_upstream_gets_no_request(world):
    world.set_upstreams(make_upstream("u1", is_draining=True), make_upstream("u2"))
    for _ in range(4):
        world.ask()
        assert world.pool.last.address == ("127.0.0.1", 8002)
        world.pool.last.succeed()


def test_a_busy_service_refuses_at_once_with_a_time_to_come_back(world):
    for _ in range(40):
        request = world.ask()
    assert request.status == 503
    assert float(find_header(request.answer_fields, b"retry-after")) > 0


def test_a_key_that_awaits_the_end_of_a_lease_is_refused_at_once(world):
    world.set_owner("u3", is_held=False, awaits_end_of_lease=True)
    request = world.ask(path=b"/keyed/x")
    assert request.status == 503
    retry_after = float(dict(request.answer_fields)[b"retry-after"])
    assert 0.9 <= retry_after <= 1.5


def test_a_wait_for_an_owner_ends_when_it_becomes_long(world):
    world.set_owner("u3", is_held=False)
    request = world.ask(path=b"/keyed/x")
    assert request.status is None
    world.set_owner("u3", is_held=False, awaits_end_of_lease=True)
    assert request.status == 503


def test_a_key_whose_owner_refuses_connections_is_not_asked_for_again_soon(world):
    world.set_owner("u3")
    request = world.ask(path=b"/keyed/x")
    while request.status is None:
        world.pool.last.refuse_connection()
    assert float(dict(request.answer_fields)[b"retry-after"]) >= 0.9
