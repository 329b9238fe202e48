"""Detection of services whose upstreams this instance doesn't reach, by opening connections."""

from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import logbook

from ..clocks import Clock, milliseconds
from ..fleet import Upstream
from ..placement import LinkState, ServiceLinks
from ..transport import ConnectionPool

__all__ = ["LinkMonitor"]

# Interval at which unreachable services are considered for further probes.
CHECK_INTERVAL = milliseconds(100)

_log = logbook.Logger("laburnumhatch.gateway")


class LinkMonitor:
    """Links of this instance to the upstreams of all services.

    Parameters
    ----------
    clock : Clock
    pool : ConnectionPool
    available_upstreams : callable
        Returns the upstreams of a service that accept requests.
    services : callable
        Returns the names of all services with such upstreams.
    random : random.Random
    on_change : callable
        Called with the names of the unreachable services, when these have changed and from time to
        time while there are any.

    Attributes
    ----------
    unreachable : frozenset of str
        Services of which no upstream that was tried accepts a connection.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        available_upstreams: Callable[[str], list[Upstream]],
        services: Callable[[], Iterable[str]],
        random: Random,
        on_change: Callable[[frozenset[str]], None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._available_upstreams = available_upstreams
        self._services = services
        self._random = random
        self._on_change = on_change
        self._links: dict[str, ServiceLinks] = {}
        self._is_check_scheduled = False
        self.unreachable: frozenset[str] = frozenset()

    def note_opened(self, upstream: Upstream) -> None:
        """Record that a connection to an upstream was opened."""
        links = self._links.get(upstream.service)
        if links is not None:
            links.note_opened(upstream.name)
            del self._links[upstream.service]
            self._update()

    def note_failed(self, upstream: Upstream) -> None:
        """Record that a connection to an upstream failed, and probe others if that is due."""
        links = self._links.setdefault(upstream.service, ServiceLinks())
        links.note_failed(upstream.name, self._clock.now())
        self._probe(upstream.service, links)
        self._update()

    def _probe(self, service: str, links: ServiceLinks) -> None:
        upstreams = self._available_upstreams(service)
        for upstream in links.next_probes(upstreams, self._clock.now(), self._random):
            self._pool.probe(
                upstream.host,
                upstream.port,
                partial(self.note_opened, upstream),
                partial(self.note_failed, upstream),
            )

    def _probe_all(self) -> None:
        """Probe all services, because one of them is not reached."""
        for service in self._services():
            links = self._links.setdefault(service, ServiceLinks())
            links.suspect()
            self._probe(service, links)

    def _update(self) -> None:
        """Log and report a change, and go on to probe while a service is unreachable."""
        unreachable = frozenset(
            service
            for service, links in self._links.items()
            if links.state is LinkState.UNREACHABLE
        )
        changed, self.unreachable = unreachable ^ self.unreachable, unreachable
        for service in sorted(changed):
            if service in unreachable:
                self._probe_all()
                _log.warning("no upstream of service {} accepts connections from here", service)
            else:
                _log.info("upstreams of service {} accept connections again", service)
        if unreachable and not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._clock.call_later(CHECK_INTERVAL, self._check)
        if changed or unreachable:
            self._on_change(unreachable)

    def _check(self) -> None:
        self._is_check_scheduled = False
        for service in self.unreachable:
            if self._available_upstreams(service):
                self._probe(service, self._links[service])
            else:
                # The service has no upstreams any more that could be reached.
                del self._links[service]
        self._update()
