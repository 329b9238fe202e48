"""Tests of the life cycle's state machine."""

import pytest

from ..lifecycle import LifecycleActions, build_lifecycle


@pytest.fixture
def action_log():
    return []


@pytest.fixture
def lifecycle(action_log):
    return build_lifecycle(
        LifecycleActions(
            become_unready=lambda: action_log.append("unready"),
            close_port=lambda: action_log.append("close"),
            hand_over=lambda: action_log.append("hand over"),
            exit=lambda code: action_log.append(f"exit {code}"),
        )
    )


def test_stop_runs_each_step_once_in_order(lifecycle, action_log):
    lifecycle.started()
    for step in (lifecycle.readiness_delay_elapsed, lifecycle.drained, lifecycle.handed_over):
        lifecycle.stop_requested()
        lifecycle.stop_requested()
        step()
    lifecycle.stop_requested()
    lifecycle.shutdown_timed_out()
    assert action_log == ["unready", "close", "hand over", "exit 0"]


def test_second_stop_request_does_not_abort_requests(lifecycle, action_log):
    lifecycle.started()
    lifecycle.stop_requested()
    lifecycle.readiness_delay_elapsed()
    lifecycle.stop_requested()
    assert lifecycle.state_name() == "draining"
    assert action_log == ["unready", "close"]


def test_requests_in_flight_at_the_shutdown_timeout_give_exit_code_1(lifecycle, action_log):
    lifecycle.started()
    lifecycle.stop_requested()
    lifecycle.readiness_delay_elapsed()
    lifecycle.shutdown_timed_out()
    lifecycle.drained()
    assert action_log[-1] == "exit 1"


def test_stop_while_starting_hands_over_and_exits_cleanly(lifecycle, action_log):
    lifecycle.stop_requested()
    lifecycle.handed_over()
    assert action_log == ["hand over", "exit 0"]
