"""Routes of the active configuration, and the upstreams that serve them."""

from .evacuation import spared_services
from .feature_mode import FeatureMode, is_feature_on
from .knowledge import RegistryView
from .routes import (
    CallerLimits,
    DeliverySemantics,
    Route,
    RouteTable,
    ServiceProperties,
    WeightedService,
    find_route,
)
from .split import TrafficSplitter
from .upstream import Upstream, UpstreamIncarnation

__all__ = [
    "CallerLimits",
    "DeliverySemantics",
    "FeatureMode",
    "RegistryView",
    "Route",
    "RouteTable",
    "ServiceProperties",
    "TrafficSplitter",
    "Upstream",
    "UpstreamIncarnation",
    "WeightedService",
    "find_route",
    "is_feature_on",
    "spared_services",
]
