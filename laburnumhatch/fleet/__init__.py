"""Routes of the active configuration, and the upstreams that serve them."""

from .knowledge import UpstreamKnowledge
from .routes import (
    CallerLimits,
    Repetition,
    Route,
    RouteTable,
    ServiceRule,
    SplitPart,
    find_route,
)
from .split import TrafficSplitter
from .upstream import Upstream, UpstreamLife

__all__ = [
    "CallerLimits",
    "Repetition",
    "Route",
    "RouteTable",
    "ServiceRule",
    "SplitPart",
    "TrafficSplitter",
    "Upstream",
    "UpstreamKnowledge",
    "UpstreamLife",
    "find_route",
]
