"""Distribution of a route's requests over services by weight."""

from .routes import Route

__all__ = ["SplitCounter"]


class SplitCounter:
    """Chooses the service of each request of a route.

    Notes
    -----
    Smooth weighted round robin: after any number of requests each service has had its share to
    within one request, so that short spans hold the weights as well as long ones.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[Route, dict[str, float]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        known = self._credits.get(route.name)
        if known is None or known[0].parts != route.parts:
            known = self._credits[route.name] = (route, {p.service: 0.0 for p in route.parts})
        credits = known[1]
        total = 0.0
        for part in route.parts:
            credits[part.service] += part.weight
            total += part.weight
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total
        return chosen

    def forget_others(self, names: set[str]) -> None:
        """Drop the state of routes that are gone."""
        for name in self._credits.keys() - names:
            del self._credits[name]
