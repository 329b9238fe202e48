"""Tests of comparing files with the version in force and of waiting for a version."""

from datetime import timedelta

import pytest

from ...storage import InstanceState, ListedInstance
from ..compare import Change, ChangeKind, Comparison, compare
from ..in_force import InForce, Laggard, NotInForce, await_in_force
from .conftest import run


def test_differences_are_named(clock, table, object_store, make_file, publish_file):
    publish_file("lofts")
    changed = make_file("lofts").model_dump()
    changed["kinds"]["view"]["deadline_ms"] = 900
    changed["kinds"]["set"] = changed["kinds"]["view"] | {"path": "/lofts/set"}
    changed["targets"]["servers"][0]["name"] = "t-2"
    files = [type(make_file("lofts")).model_validate(changed), make_file("media")]
    found = run(clock, compare(files, clock=clock, table=table, object_store=object_store))
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


@pytest.mark.parametrize("late", [False, True])
def test_wait_names_those_that_lag(clock, instance_list, late):
    instance_list.instances = tuple(
        ListedInstance(name, "127.0.0.1", 1, 2, "lade", InstanceState.LIVE) for name in "ab"
    )

    async def reported_version(instance):
        if instance.name == "a":
            return 5
        if late:
            return "no answer"
        return 4 if clock.now() < timedelta(seconds=3) else 6

    outcome = run(
        clock,
        await_in_force(
            5,
            clock=clock,
            instance_list=instance_list,
            reported_version=reported_version,
            within=timedelta(seconds=5),
        ),
    )
    if late:
        assert isinstance(outcome, NotInForce)
        assert outcome.laggards == (Laggard("b", "no answer"),)
        assert clock.now() <= timedelta(seconds=5.1)
    else:
        assert outcome == InForce(5, ("a", "b"))
