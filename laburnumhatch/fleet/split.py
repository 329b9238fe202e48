"""Weighted distribution of a route's requests over services."""

from .routes import Route

__all__ = ["TrafficSplitter"]


class TrafficSplitter:
    """Traffic splitter that chooses the service for each request of a route.

    Notes
    -----
    Uses smooth weighted round robin: after any number of requests, the number for each service
    differs from its weighted share by less than one, so the weights hold over short spans as well.
    """

    def __init__(self) -> None:
        self._routes_and_weights: dict[str, tuple[Route, dict[str, float]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        route_and_weights = self._routes_and_weights.get(route.name)
        if (
            route_and_weights is None
            or route_and_weights[0].weighted_services != route.weighted_services
        ):
            route_and_weights = self._routes_and_weights[route.name] = (
                route,
                {p.service: 0.0 for p in route.weighted_services},
            )
        current_weights = route_and_weights[1]
        total_weight = 0.0
        for weighted_service in route.weighted_services:
            current_weights[weighted_service.service] += weighted_service.weight
            total_weight += weighted_service.weight
        chosen = max(current_weights, key=lambda service: current_weights[service])
        current_weights[chosen] -= total_weight
        return chosen

    def retain_routes(self, route_names: set[str]) -> None:
        """Remove the state of all routes except those in `route_names`."""
        for name in self._routes_and_weights.keys() - route_names:
            del self._routes_and_weights[name]
