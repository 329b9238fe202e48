"""Tests of the lifecycle."""

import pytest

from ..lifecycle import LifecycleActions, build_lifecycle


@pytest.fixture
def log():
    return []


@pytest.fixture
def lifecycle(log):
    return build_lifecycle(
        LifecycleActions(
            become_unready=lambda: log.append("unready"),
            close_port=lambda: log.append("close"),
            hand_over=lambda: log.append("hand over"),
            exit=lambda code: log.append(f"exit {code}"),
        )
    )


def test_stop_runs_each_step_once_in_order(lifecycle, log):
    lifecycle.started()
    for step in (lifecycle.notice_over, lifecycle.drained, lifecycle.handed_over):
        lifecycle.stop_requested()
        lifecycle.stop_requested()
        step()
    lifecycle.stop_requested()
    lifecycle.time_is_up()
    assert log == ["unready", "close", "hand over", "exit 0"]


def test_second_signal_does_not_cut_requests(lifecycle, log):
    lifecycle.started()
    lifecycle.stop_requested()
    lifecycle.notice_over()
    lifecycle.stop_requested()
    assert lifecycle.state_name() == "draining"
    assert log == ["unready", "close"]


def test_requests_in_flight_at_the_bound_give_exit_code_1(lifecycle, log):
    lifecycle.started()
    lifecycle.stop_requested()
    lifecycle.notice_over()
    lifecycle.time_is_up()
    lifecycle.drained()
    assert log[-1] == "exit 1"


def test_stop_while_starting(lifecycle, log):
    lifecycle.stop_requested()
    lifecycle.handed_over()
    assert log == ["hand over", "exit 0"]
