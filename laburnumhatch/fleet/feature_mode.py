"""Settings that switch a feature on, off, or on where the configuration calls for it."""

from typing import Literal

from .routes import RouteTable

__all__ = ["FeatureMode", "is_feature_on"]

FeatureMode = Literal["auto", "on", "off"]


def is_feature_on(mode: FeatureMode, routes: RouteTable | None) -> bool:
    """Return whether a feature is on under a configuration, if any is known.

    ``auto`` means on while a route has large request bodies.
    """
    if mode == "auto":
        return routes is not None and any(route.has_large_bodies for route in routes.routes)
    return mode == "on"
