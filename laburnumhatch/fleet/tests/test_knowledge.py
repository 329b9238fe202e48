"""Upstreams whose registration lapsed in an outage are kept until they can register again."""

from datetime import timedelta

import pytest

from ...clocks import milliseconds
from .. import Upstream, UpstreamKnowledge, UpstreamLife
from ..knowledge import REGISTRATION_GRACE

START = timedelta(seconds=100)


def make(name, born=1, is_draining=False):
    return Upstream(UpstreamLife(name, born), "s", "127.0.0.1", 1, "d", 2, is_draining, timedelta())


@pytest.fixture
def knowledge():
    knowledge = UpstreamKnowledge()
    knowledge.take([make("a"), make("b")], START)
    return knowledge


def test_one_that_is_missing_is_gone(knowledge):
    assert knowledge.take([make("a")], START + milliseconds(500))
    assert list(knowledge.upstreams) == ["a"]


def test_the_same_list_is_no_change(knowledge):
    assert not knowledge.take([make("b"), make("a")], START + milliseconds(500))


def test_after_an_outage_the_missing_have_time_to_come_back(knowledge):
    back = START + timedelta(seconds=9)
    knowledge.take([make("a")], back)
    for passed in range(0, 2301, 460):
        assert sorted(knowledge.upstreams) == ["a", "b"]
        knowledge.take([make("a")], back + milliseconds(passed))
    assert milliseconds(2300) == REGISTRATION_GRACE
    assert list(knowledge.upstreams) == ["a"]


def test_one_that_says_that_it_leaves_leaves_also_after_an_outage(knowledge):
    knowledge.take([make("a", is_draining=True)], START + timedelta(seconds=9))
    assert knowledge.upstreams["a"].is_draining


def test_one_lost_read_is_no_outage(knowledge):
    # One read in between failed; no registration lapses within this time.
    knowledge.take([make("a")], START + milliseconds(1400))
    assert list(knowledge.upstreams) == ["a"]


def test_a_new_life_replaces_the_former(knowledge):
    assert knowledge.take([make("a", born=2), make("b")], START + milliseconds(500))
    assert knowledge.upstreams["a"].life.born == 2
