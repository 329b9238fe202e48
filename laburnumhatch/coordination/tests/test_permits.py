"""Permits are granted by the leader alone, and each question ends once."""

import pytest

from ...placement import RequestLimits
from ..limit_sharing import LimitSharing
from ..messages import PermitRequest
from ..permits import ANSWER_TIMEOUT, Permits
from .cluster import MemoryLinks


class Instance:
    """Permits of one instance, with what was answered to its questions."""

    def __init__(self, clock, network, name):
        self.clock, self.name = clock, name
        self.links = MemoryLinks(network, name)
        self.limits = RequestLimits()
        sharing = LimitSharing(self.limits, lambda: 100, self.is_leader)
        self.leader = "leader"
        self.permits = Permits(clock, self.links, sharing, lambda: self.leader, self.is_leader)
        self.sharing = sharing
        self.answers = []

    def is_leader(self):
        return self.name == "leader"

    def ask(self):
        self.permits.request("u", self.answers.append)


@pytest.fixture
def instances(clock):
    """Return a leader that knows a limit of 6 a second, and an instance with a stream to it."""
    network = {}
    leader, other = (Instance(clock, network, name) for name in ("leader", "other"))
    other.links.peers.add("leader")
    leader.links.peers.add("other")
    leader.limits.observe("u", 6.0, clock.now())
    return leader, other


def test_leader_grants_as_many_permits_as_the_limit_allows(instances, clock):
    _, other = instances
    clock.advance(ANSWER_TIMEOUT * 40)
    for _ in range(50):
        other.ask()
    # The burst for a limit of 6 a second.
    assert other.answers == [True] * 16 + [False] * 34


def test_another_instance_than_the_leader_grants_nothing(instances):
    leader, other = instances
    leader.name = "deposed"
    other.ask()
    assert other.answers == [False]


def test_question_without_an_answer_is_denied_once(instances, clock):
    leader, other = instances
    leader.links.handlers[PermitRequest] = lambda peer, request: None
    other.ask()
    clock.advance(ANSWER_TIMEOUT)
    assert other.answers == [False]
    leader.permits._handle_request("other", PermitRequest("u"))
    assert other.answers == [False]


def test_late_permit_is_not_used_for_a_later_request(instances, clock):
    # The request would be sent long after the leader has counted it.
    leader, other = instances
    leader.links.handlers[PermitRequest] = lambda peer, request: None
    other.ask()
    clock.advance(ANSWER_TIMEOUT)
    other.ask()
    clock.advance(ANSWER_TIMEOUT / 2)
    leader.sharing.grant_permit = lambda name, now: len(other.answers) == 1
    leader.permits._handle_request("other", PermitRequest("u"))
    assert other.answers == [False]
    leader.permits._handle_request("other", PermitRequest("u"))
    assert other.answers == [False, True]


def test_questions_to_a_former_leader_are_denied_before_the_next_are_asked(instances):
    # Each may be followed by another question.
    leader, other = instances
    leader.links.handlers[PermitRequest] = lambda peer, request: None
    for upstream in ("u", "v"):
        other.permits.request(upstream, lambda granted: other.permits.request("w", print))
    other.leader = "successor"
    other.ask()
    assert other.answers == [False]
    assert {asked for asked, _ in other.permits._questions} == {"successor"}


def test_questions_on_a_stream_that_was_replaced_are_denied(instances):
    leader, other = instances
    leader.links.handlers[PermitRequest] = lambda peer, request: None
    other.ask()
    for handler in other.links.on_connect:
        handler("leader")
    assert other.answers == [False]


def test_question_without_a_stream_is_denied_at_once(instances):
    _, other = instances
    other.links.peers.clear()
    other.ask()
    assert other.answers == [False]


def test_denied_instance_asks_for_nothing_for_a_while(instances, clock):
    leader, other = instances
    other.limits.observe("u", 6.0, clock.now())
    other.sharing._totals_at = clock.now()
    assert other.sharing.needs_permit("u", clock.now())
    leader.name = "deposed"
    other.ask()
    assert clock.now() < other.sharing._denied_until["u"]
