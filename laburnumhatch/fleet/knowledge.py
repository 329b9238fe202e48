"""Known upstreams, kept across outages of the registry."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from datetime import timedelta

from .evacuation import mark_evacuated
from .upstream import Upstream, UpstreamIncarnation

__all__ = ["RegistryView"]

# Time after an outage within which upstreams register again; the platform specifies about 2 s.
REGISTRATION_GRACE = timedelta(milliseconds=2300)
# Gap between two successful reads, by whichever instance, after which registrations may have lapsed
# unseen. A registration lapses after three missed heartbeats, which is 2.6 s with the shortest
# interval in use, and the last heartbeat may have been 0.87 s before the read. A shorter gap must
# not count as an outage: an upstream that left meanwhile would get requests for too long.
OUTAGE_GAP = timedelta(milliseconds=1700)
# Stands for any time that is left of a warm-up.
ANY_WARMUP = timedelta(seconds=1)
# Number of leaving upstreams that are remembered.
MAX_REMEMBERED_LEAVING = 1000


class RegistryView:
    """Upstreams as last read from the registry, kept for a grace time after an outage.

    An upstream that leaves doesn't come back but by a new start. So neither an older answer of the
    registry nor an entry behind the upstream's own announcement makes it usable again.

    Attributes
    ----------
    upstreams : mapping of str to Upstream
        Upstreams by name. Those whose registration lapsed during an outage stay until the end of
        the grace time.
    on_taken_back : callable
        Called with the names of known upstreams that are no longer evacuated, before they are used.
        They may be cold.
    """

    def __init__(self) -> None:
        self.upstreams: Mapping[str, Upstream] = {}
        # Instant for which the upstreams were last known from the registry.
        self._as_of: timedelta | None = None
        self._grace_until: timedelta | None = None
        # In the order in which they were found.
        self._leaving: dict[UpstreamIncarnation, None] = {}
        # Unlike a departure, an evacuation ends.
        self._evacuated_data_centres: frozenset[str] = frozenset()
        self.on_taken_back: Callable[[list[str]], None] = lambda names: None

    def apply_read(self, listed: Iterable[Upstream], now: timedelta) -> bool:
        """Update from a registry read; return whether anything but a warm-up's progress changed."""
        upstreams = self._with_announcements(listed)
        self.note_current(now, now)
        if self._grace_until is not None and now < self._grace_until:
            for name, upstream in self.upstreams.items():
                upstreams.setdefault(name, replace(upstream, is_kept=True))
        former = self.upstreams
        self._use(upstreams)
        return _without_warmup_time(self.upstreams) != _without_warmup_time(former)

    def note_current(self, as_of: timedelta, now: timedelta) -> None:
        """Record that the upstreams were current at an instant, also if another instance read them.

        A gap before it is an outage of the registry.
        """
        if self._as_of is not None and as_of - self._as_of > OUTAGE_GAP:
            self._grace_until = now + REGISTRATION_GRACE
        self._as_of = as_of if self._as_of is None else max(as_of, self._as_of)

    def begin_grace(self, now: timedelta) -> None:
        """Keep upstreams that the registry doesn't list for a while, because it lost entries."""
        self._grace_until = now + REGISTRATION_GRACE

    def replace(self, listed: Iterable[Upstream]) -> None:
        """Replace the upstreams with those of the instance that reads the registry.

        That instance may not have been able to read it for a while and keep upstreams whose end
        this one has seen. They aren't taken back.
        """
        known = {upstream.incarnation for upstream in self.upstreams.values()}
        self._use(
            self._with_announcements(
                upstream
                for upstream in listed
                if not known or not upstream.is_kept or upstream.incarnation in known
            )
        )

    def mark_leaving(self, incarnation: UpstreamIncarnation) -> bool:
        """Record that an upstream announced that it leaves; return whether that is news.

        It concerns this incarnation alone: one that has started anew under the name is in use.
        """
        if incarnation in self._leaving:
            return False
        self._remember_leaving(incarnation)
        upstream = self.upstreams.get(incarnation.name)
        if upstream is None or upstream.incarnation != incarnation or upstream.is_draining:
            return False
        self._use(self._with_announcements(self.upstreams.values()))
        return True

    def evacuate(self, data_centres: frozenset[str]) -> bool:
        """Evacuate these data centres and no others; return whether any upstream has changed."""
        self._evacuated_data_centres = data_centres
        former = self.upstreams
        self._use(former)
        return self.upstreams != former

    def leaving(self) -> list[UpstreamIncarnation]:
        """Return the known upstreams that leave."""
        known = {upstream.incarnation for upstream in self.upstreams.values()}
        return [incarnation for incarnation in self._leaving if incarnation in known]

    def _remember_leaving(self, incarnation: UpstreamIncarnation) -> None:
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_REMEMBERED_LEAVING:
            del self._leaving[next(iter(self._leaving))]

    def _use(self, upstreams: Mapping[str, Upstream]) -> None:
        former = self.upstreams
        self.upstreams = mark_evacuated(upstreams, self._evacuated_data_centres)
        taken_back = [
            name
            for name, upstream in self.upstreams.items()
            if not upstream.is_evacuated and name in former and former[name].is_evacuated
        ]
        if taken_back:
            self.on_taken_back(taken_back)

    def _with_announcements(self, listed: Iterable[Upstream]) -> dict[str, Upstream]:
        listed = list(listed)
        for upstream in listed:
            if upstream.is_draining and upstream.incarnation not in self._leaving:
                self._remember_leaving(upstream.incarnation)
        return {
            upstream.name: (
                replace(upstream, is_draining=True)
                if upstream.incarnation in self._leaving
                else upstream
            )
            for upstream in listed
        }


def _without_warmup_time(upstreams: Mapping[str, Upstream]) -> dict[str, Upstream]:
    """Return the upstreams with any rest of a warm-up replaced by the same one."""
    return {
        name: replace(u, warmup_remaining=ANY_WARMUP) if u.warmup_remaining else u
        for name, u in upstreams.items()
    }
