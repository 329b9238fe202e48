"""Time for which requests of each route occupy a slot, compared with the others of the service."""

__all__ = ["WorkTimes"]

# Quantile of the measured times that is estimated. It is below the median, since some of the times
# include a wait for a slot that this instance doesn't know of.
QUANTILE = 0.4
# Shortest slot time that is recorded, in seconds: less can't be measured.
MIN_SLOT_TIME_S = 1e-4
# Relative step of the estimate at each answer.
STEP = 0.1
# Bounds of the ratio, for routes of which few answers are known.
MIN_RATIO = 0.05
MAX_RATIO = 20.0


class WorkTimes:
    """Typical slot times by service and route, as measured by this instance.

    Notes
    -----
    Routes that share a service may differ widely in work. The service time of an upstream is kept
    for a reference request, whose work is the mean over the routes. The mean doesn't weight the
    routes by their requests, so that it is about equal at all instances.
    """

    def __init__(self) -> None:
        self._services: dict[str, dict[str, float]] = {}

    def record(self, service: str, route: str, slot_time_s: float) -> None:
        """Record for how many seconds a request of a route occupied a slot."""
        slot_time_s = max(slot_time_s, MIN_SLOT_TIME_S)
        times = self._services.setdefault(service, {})
        estimate = times.get(route, slot_time_s)
        step = QUANTILE if slot_time_s > estimate else QUANTILE - 1.0
        times[route] = estimate * (1.0 + STEP * step)

    def ratio(self, service: str, route: str) -> float:
        """Return the work of a route's request relative to the reference; 1 if unknown."""
        times = self._services.get(service, {})
        if route not in times:
            return 1.0
        mean_s = sum(times.values()) / len(times)
        return min(max(times[route] / mean_s, MIN_RATIO), MAX_RATIO)

    def longest_ratio(self, service: str) -> float:
        """Return the largest ratio of the service's routes; 1 if none is known."""
        return max((self.ratio(service, r) for r in self._services.get(service, ())), default=1.0)

    def slot_time_s(self, service: str, route: str) -> float:
        """Return the typical slot time of a route's requests in seconds; 0 if unknown."""
        return self._services.get(service, {}).get(route, 0.0)

    def retain(self, routes: set[str]) -> None:
        """Remove the routes that are not named."""
        for service, times in self._services.items():
            self._services[service] = {name: t for name, t in times.items() if name in routes}
