"""Upstreams need permits exactly while they may be warming up."""

from dataclasses import replace
from datetime import timedelta

import pytest

from ...fleet import ServiceProperties, Upstream, UpstreamIncarnation
from ..capacities import serving_capacities
from ..loads import LoadTracker
from ..warmup_allowance import GRANT_WINDOW_S, WarmupAllowance
from ..warmups import ReportedWarmup, Warmups

RATE_PER_S = 5.6
ALLOWANCE = WarmupAllowance(1.5, 8)
SERVICE = ServiceProperties("s", 100, False, "/", timedelta(seconds=3), RATE_PER_S)
U1 = Upstream(
    UpstreamIncarnation("u1", 1), "s", "127.0.0.1", 1, "d", 4, False, timedelta(seconds=0)
)
U2 = replace(U1, incarnation=UpstreamIncarnation("u2", 1))


def at(seconds):
    return timedelta(seconds=seconds)


def read(warmups, seconds, *upstreams, **changes):
    """Read the registry, with changes of the first upstream."""
    first, *others = upstreams or (U1, U2)
    listed = {u.name: u for u in (replace(first, **changes), *others)}
    warmups.observe_registry(listed, at(seconds), at(seconds))


def is_warming(warmups, seconds, name="u1"):
    return warmups.is_warming(name, at(seconds))


@pytest.fixture
def warmups():
    """Return the state after a read of two upstreams that are warm."""
    warmups = Warmups(ALLOWANCE)
    warmups.configure([SERVICE])
    read(warmups, 100)
    return warmups


def test_upstreams_that_are_registered_as_warm_at_the_start_need_no_permits(warmups):
    assert warmups.names == []


def test_a_registered_warmup_counts_on_until_a_registration_says_that_it_is_over(warmups):
    read(warmups, 110, warmup_remaining=at(2))
    assert is_warming(warmups, 112)
    read(warmups, 112, warmup_remaining=at(0.5))
    assert is_warming(warmups, 113)
    read(warmups, 113)
    assert not is_warming(warmups, 113)


def test_a_registered_warmup_ends_without_further_reads_but_not_early(warmups):
    read(warmups, 110, warmup_remaining=at(2))
    assert is_warming(warmups, 112)
    assert not is_warming(warmups, 113.1)


def test_upstream_that_was_unreachable_is_warm_only_by_a_registration_after_its_answer(warmups):
    # Its registration may be from before the restart: avoiding it for a while and then sending
    # as before let 17 requests reach a cold upstream in a second.
    warmups.note_unreachable(U1.incarnation, "s", at(110))
    for seconds in (111.5, 114, 120):
        read(warmups, seconds)
        assert is_warming(warmups, seconds)
    warmups.note_answered("u1", at(121))
    read(warmups, 121.8)
    assert is_warming(warmups, 121.8)
    read(warmups, 122)
    assert not is_warming(warmups, 122)


def test_answer_to_a_request_from_before_the_failure_proves_nothing(warmups):
    warmups.note_unreachable(U1.incarnation, "s", at(110))
    warmups.note_answered("u1", at(109.9))
    read(warmups, 115)
    assert is_warming(warmups, 115)


def test_instance_that_is_cut_off_reports_one_failure_until_an_answer_or_a_restart(warmups):
    found = []
    warmups.on_assumed = lambda: found.append(warmups.collect_unreported())
    for seconds in (110, 112, 114):
        warmups.note_unreachable(U1.incarnation, "s", at(seconds))
    assert len(found) == 1
    restarted = UpstreamIncarnation("u1", 2)
    warmups.note_unreachable(restarted, "s", at(116))
    warmups.note_answered("u1", at(117))
    warmups.note_unreachable(restarted, "s", at(118))
    assert len(found) == 3


@pytest.mark.parametrize(
    "started", [replace(U1, incarnation=UpstreamIncarnation("u1", 2)), replace(U1, service="s")]
)
def test_new_upstream_counts_as_warming_up_until_a_later_registration(warmups, started):
    if started.incarnation == U1.incarnation:
        started = replace(U1, incarnation=UpstreamIncarnation("u3", 1))
    name = started.name
    read(warmups, 110, started, U2)
    assert is_warming(warmups, 110, name)
    read(warmups, 110.8, started, U2)
    assert is_warming(warmups, 110.8, name)
    read(warmups, 111, started, U2)
    assert not is_warming(warmups, 111, name)


def test_registration_that_was_missing_for_a_while_does_not_start_a_warmup(warmups):
    read(warmups, 110, U2)
    read(warmups, 112)
    assert warmups.names == []


def test_upstreams_that_register_at_the_first_start_of_all_are_warm():
    warmups = Warmups(ALLOWANCE, is_first_start=True)
    warmups.configure([SERVICE])
    read(warmups, 100, U1)
    read(warmups, 102, U1, U2)
    assert warmups.names == []
    read(warmups, 110, U1, U2, replace(U1, incarnation=UpstreamIncarnation("u3", 1)))
    assert warmups.names == ["u3"]


def test_registry_that_comes_back_from_an_older_copy_ends_no_warmup(warmups):
    read(warmups, 110, warmup_remaining=at(20))
    warmups.distrust_registry(at(112))
    read(warmups, 112.5)
    assert is_warming(warmups, 112.5)
    read(warmups, 113)
    assert not is_warming(warmups, 113)


def test_upstream_that_is_used_again_is_warm_by_a_registration_after_that(warmups):
    warmups.assume(["u1", "unknown"], at(110))
    assert warmups.names == ["u1"]
    read(warmups, 110.9)
    assert is_warming(warmups, 200)
    read(warmups, 200)
    assert not is_warming(warmups, 200)


def test_leaders_list_reaches_upstreams_that_are_registered_later():
    # An instance that has just started would otherwise send as to a warm upstream.
    warmups = Warmups(ALLOWANCE)
    warmups.configure([SERVICE])
    warmups.apply_list({"u1": ReportedWarmup(at(99), True, None)}, at(100))
    warmups.observe_registry({"u1": U1}, None, at(100))
    assert is_warming(warmups, 100)
    warmups.apply_list({}, at(102))
    assert not is_warming(warmups, 102)


def test_older_list_of_the_leader_does_not_end_what_this_instance_has_just_found(warmups):
    warmups.note_unreachable(U1.incarnation, "s", at(110))
    warmups.apply_list({}, at(110.2))
    assert is_warming(warmups, 110.2)


@pytest.mark.parametrize("service", [replace(SERVICE, warmup_per_s=None), SERVICE])
def test_nothing_changes_without_a_rate_or_without_the_settings(service):
    has_rate = service.warmup_per_s is not None
    warmups = Warmups(None if has_rate else ALLOWANCE)
    warmups.configure([service])
    read(warmups, 100)
    read(warmups, 110, warmup_remaining=at(2))
    warmups.note_unreachable(U2.incarnation, "s", at(110))
    warmups.assume(["u1"], at(110))
    assert warmups.names == [] and not warmups.is_in_use


@pytest.mark.parametrize(("overage", "slack"), [(1.5, 8), (1.0, 0), (1.2, 3), (3.0, 40), (0.1, 0)])
def test_tokens_of_a_window_and_a_burst_are_within_the_allowance(overage, slack):
    rate_per_s, burst = WarmupAllowance(overage, slack).rate_and_burst(RATE_PER_S)
    allowed = RATE_PER_S * overage + slack
    assert rate_per_s * GRANT_WINDOW_S + burst <= allowed + 1e-9
    assert (burst >= 1.0 and rate_per_s > 0.0) == (allowed > 1.0)


def test_bucket_of_a_new_leader_is_empty(warmups):
    warmups.assume(["u1"], at(110))
    assert warmups.grant_permit("u1", at(120))
    warmups.begin_leading(at(120))
    assert not warmups.grant_permit("u1", at(120))


def test_upstream_that_warms_up_is_given_keys_for_its_rate(warmups):
    tracker = LoadTracker(warmups=warmups)
    warmups.assume(["u1"], at(110))
    capacities = serving_capacities([U1, U2], tracker, at(110))
    assert capacities[U1.incarnation] == pytest.approx(RATE_PER_S)
    assert capacities[U2.incarnation] > 20


@pytest.mark.parametrize(("silence_s", "is_warming"), [(0.5, False), (1.5, True)])
def test_timeouts_of_connections_count_only_if_nobody_gets_answers(warmups, silence_s, is_warming):
    # Connections also time out at an instance whose own link is full.
    now = at(100)
    warmups.note_silent("u1")
    assert not warmups.names
    answered_at = at(100 - silence_s)
    warmups.apply_silence(warmups.collect_silent(), lambda name: answered_at, now)
    assert warmups.is_warming("u1", now) is is_warming
