"""Tests of the history checks against known violations and a naive implementation."""

from dataclasses import replace
from datetime import timedelta
from itertools import combinations

from hypothesis import given
from hypothesis import strategies as st

from ..history import ServerRun, find_epoch_reversals, find_owner_overlaps, find_repeated_runs


def _run(server, epoch, start, length, key="k", request="r"):
    begin = timedelta(milliseconds=start)
    end = begin + timedelta(milliseconds=length)
    return ServerRun("loft", key, server, request, epoch, begin, end)


RUNS = st.lists(
    st.builds(
        _run,
        st.sampled_from(["a", "b", "c"]),
        st.integers(1, 4),
        st.integers(0, 20),
        st.integers(0, 8),
        st.sampled_from(["k", "l"]),
        st.sampled_from(["r", "s", "t"]),
    ),
    max_size=12,
)


def _naive_overlap(u, v):
    same_key = (u.service, u.key) == (v.service, v.key)
    later, earlier = (u, v) if u.start >= v.start else (v, u)
    return same_key and u.server != v.server and earlier.end > later.start


def _naive_reversal(u, v):
    return u.key == v.key and u.start < v.start and u.epoch > v.epoch


@given(RUNS)
def test_overlaps_are_found_in_the_keys_that_have_them(runs):
    found = {overlap.first.key for overlap in find_owner_overlaps(runs)}
    expected = {u.key for u, v in combinations(runs, 2) if _naive_overlap(u, v)}
    assert found == expected
    assert all(_naive_overlap(o.first, o.second) for o in find_owner_overlaps(runs))


@given(RUNS)
def test_reversals_are_found_in_the_keys_that_have_them(runs):
    distinct = [
        replace(run, start=run.start + timedelta(microseconds=n)) for n, run in enumerate(runs)
    ]
    found = {reversal.later.key for reversal in find_epoch_reversals(distinct)}
    expected = {v.key for u in distinct for v in distinct if _naive_reversal(u, v)}
    assert found == expected


@given(RUNS)
def test_each_repeated_request_is_found_once(runs):
    found = sorted(repeated.request_id for repeated in find_repeated_runs(runs))
    ids = [run.request_id for run in runs]
    assert found == sorted({name for name in ids if ids.count(name) > 1})


def test_known_violations_are_found():
    moved_too_early = [_run("a", 1, 0, 10), _run("b", 2, 9, 5)]
    returned_unaware = [_run("a", 1, 0, 1), _run("b", 2, 5, 1), _run("a", 1, 7, 1)]
    assert len(find_owner_overlaps(moved_too_early)) == 1
    assert find_owner_overlaps(returned_unaware) == []
    assert len(find_epoch_reversals(returned_unaware)) == 1
    assert len(find_repeated_runs(returned_unaware)) == 1
