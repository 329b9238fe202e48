"""Tests that soak runs at the same time use different addresses."""

from ..network import reserve_network


def test_networks_in_use_at_the_same_time_differ():
    with reserve_network(1) as first, reserve_network(1) as second:
        assert first != second


def test_network_is_available_again_after_the_run():
    with reserve_network(2) as first:
        pass
    with reserve_network(2) as second:
        assert second == first
