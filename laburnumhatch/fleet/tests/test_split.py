"""Requests of a route are distributed by weight, also over short spans."""

from collections import Counter
from dataclasses import replace

from ...clocks import milliseconds
from .. import DeliverySemantics, Route, TrafficSplitter, WeightedService

ROUTE = Route(
    "r",
    "h",
    "/",
    DeliverySemantics.ANY_NUMBER,
    False,
    milliseconds(1000),
    milliseconds(300),
    1,
    2,
    (WeightedService("a", 90), WeightedService("b", 10)),
)


def test_weights_hold_over_each_span_of_ten_requests():
    splitter = TrafficSplitter()
    chosen = [splitter.choose(ROUTE) for _ in range(200)]
    for start in range(0, 200, 10):
        assert Counter(chosen[start : start + 10]) == {"a": 9, "b": 1}


def test_new_weights_apply_immediately():
    splitter = TrafficSplitter()
    splitter.choose(ROUTE)
    equal_weights = replace(
        ROUTE, weighted_services=(WeightedService("a", 1), WeightedService("b", 1))
    )
    assert Counter(splitter.choose(equal_weights) for _ in range(10)) == {"a": 5, "b": 5}
