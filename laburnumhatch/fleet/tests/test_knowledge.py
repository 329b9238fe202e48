"""Upstreams whose registration lapsed in an outage are kept until they can register again."""

from datetime import timedelta

import pytest

from ...clocks import milliseconds
from .. import Upstream, UpstreamKnowledge, UpstreamLife
from ..knowledge import REGISTRATION_GRACE

START = timedelta(seconds=100)


def make_upstream(name, born=1, is_draining=False):
    return Upstream(UpstreamLife(name, born), "s", "127.0.0.1", 1, "d", 2, is_draining, timedelta())


@pytest.fixture
def knowledge():
    knowledge = UpstreamKnowledge()
    knowledge.take([make_upstream("a"), make_upstream("b")], START)
    return knowledge


def test_upstream_missing_from_a_read_is_removed(knowledge):
    assert knowledge.take([make_upstream("a")], START + milliseconds(500))
    assert list(knowledge.upstreams) == ["a"]


def test_equal_read_in_another_order_is_no_change(knowledge):
    assert not knowledge.take([make_upstream("b"), make_upstream("a")], START + milliseconds(500))


def test_missing_upstream_is_kept_for_the_grace_time_after_an_outage(knowledge):
    outage_end = START + timedelta(seconds=9)
    knowledge.take([make_upstream("a")], outage_end)
    for passed in range(0, 2301, 460):
        assert sorted(knowledge.upstreams) == ["a", "b"]
        knowledge.take([make_upstream("a")], outage_end + milliseconds(passed))
    assert milliseconds(2300) == REGISTRATION_GRACE
    assert list(knowledge.upstreams) == ["a"]


def test_draining_upstream_is_updated_also_after_an_outage(knowledge):
    knowledge.take([make_upstream("a", is_draining=True)], START + timedelta(seconds=9))
    assert knowledge.upstreams["a"].is_draining


def test_single_failed_read_is_not_treated_as_an_outage(knowledge):
    # One read in between failed; no registration lapses within this time.
    knowledge.take([make_upstream("a")], START + milliseconds(1400))
    assert list(knowledge.upstreams) == ["a"]


def test_restarted_upstream_replaces_the_former_one(knowledge):
    assert knowledge.take(
        [make_upstream("a", born=2), make_upstream("b")], START + milliseconds(500)
    )
    assert knowledge.upstreams["a"].life.born == 2
