"""Weighted distribution of a route's requests over services."""

from .routes import Route

__all__ = ["SplitCounter"]


class SplitCounter:
    """Traffic splitter that chooses the service for each request of a route.

    Notes
    -----
    Uses smooth weighted round robin: after any number of requests, the number for each service
    differs from its weighted share by less than one, so the weights hold over short spans as well.
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
        """Remove the state of all routes except those in `names`."""
        for name in self._credits.keys() - names:
            del self._credits[name]
