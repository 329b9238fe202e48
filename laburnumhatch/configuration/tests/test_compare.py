"""Tests of comparing files with the version in force and of waiting for a version."""

from datetime import timedelta

import pytest

from ...storage import InstanceState, ListedInstance
from ..compare import Change, ChangeKind, Comparison, compare
from ..in_force import InForce, LaggingInstance, NotInForce, await_in_force
from .conftest import run_to_completion


def test_comparison_lists_all_differences(clock, table, object_store, make_file, publish_file):
    publish_file("lofts")
    changed_document = make_file("lofts").model_dump()
    changed_document["kinds"]["view"]["deadline_ms"] = 900
    changed_document["kinds"]["set"] = changed_document["kinds"]["view"] | {"path": "/lofts/set"}
    changed_document["targets"]["servers"][0]["name"] = "t-2"
    files = [type(make_file("lofts")).model_validate(changed_document), make_file("media")]
    found = run_to_completion(
        clock, compare(files, clock=clock, table=table, object_store=object_store)
    )
    assert found == Comparison(
        1,
        (
            Change(ChangeKind.ADDED, "lofts.kinds.set"),
            Change(ChangeKind.CHANGED, "lofts.kinds.view.deadline_ms", "500", "900"),
            Change(ChangeKind.REMOVED, "lofts.targets.t-1"),
            Change(ChangeKind.ADDED, "lofts.targets.t-2"),
            Change(ChangeKind.ADDED, "media"),
        ),
    )


@pytest.mark.parametrize("is_silent", [False, True])
def test_wait_reports_lagging_instances(clock, instance_list, is_silent):
    instance_list.instances = tuple(
        ListedInstance(name, "127.0.0.1", 1, 2, "lade", InstanceState.LIVE) for name in "ab"
    )

    async def reported_version(instance):
        if instance.name == "a":
            return 5
        if is_silent:
            return "no answer"
        return 4 if clock.now() < timedelta(seconds=3) else 6

    outcome = run_to_completion(
        clock,
        await_in_force(
            5,
            clock=clock,
            instance_list=instance_list,
            reported_version=reported_version,
            timeout=timedelta(seconds=5),
        ),
    )
    if is_silent:
        assert isinstance(outcome, NotInForce)
        assert outcome.laggards == (LaggingInstance("b", "no answer"),)
        assert clock.now() <= timedelta(seconds=5.1)
    else:
        assert outcome == InForce(5, ("a", "b"))
