"""Known upstreams, kept across outages of the registry."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from .upstream import Upstream

__all__ = ["RegistryView"]

# Time after an outage within which upstreams register again; the platform specifies about 2 s.
REGISTRATION_GRACE = timedelta(milliseconds=2300)
# Gap between two successful reads after which registrations may have lapsed unseen. A registration
# lapses after three missed heartbeats, which is 2.6 s with the shortest interval in use. A single
# failed read leaves a shorter gap: if it counted as an outage, an upstream that left meanwhile
# would get requests for too long.
OUTAGE_GAP = timedelta(milliseconds=1500)


class RegistryView:
    """Upstreams as last read from the registry, kept for a grace time after an outage.

    Attributes
    ----------
    upstreams : mapping of str to Upstream
        Upstreams by name. Those whose registration lapsed during an outage stay until the end of
        the grace time.
    """

    def __init__(self) -> None:
        self.upstreams: Mapping[str, Upstream] = {}
        self._last_read_at: timedelta | None = None
        self._grace_until: timedelta | None = None

    def apply_read(self, listed: Iterable[Upstream], now: timedelta) -> bool:
        """Update from a registry read; return whether anything but a warm-up time changed."""
        upstreams = {upstream.name: upstream for upstream in listed}
        if self._last_read_at is not None and now - self._last_read_at > OUTAGE_GAP:
            self._grace_until = now + REGISTRATION_GRACE
        self._last_read_at = now
        if self._grace_until is not None and now < self._grace_until:
            for name, upstream in self.upstreams.items():
                upstreams.setdefault(name, upstream)
        has_changed = _without_warmup(upstreams) != _without_warmup(self.upstreams)
        self.upstreams = upstreams
        return has_changed

    def replace(self, listed: Iterable[Upstream], now: timedelta) -> None:
        """Replace the upstreams with those of the instance that reads the registry."""
        self._last_read_at = now
        self.upstreams = {upstream.name: upstream for upstream in listed}


def _without_warmup(upstreams: Mapping[str, Upstream]) -> dict[str, tuple[object, ...]]:
    return {
        name: (u.incarnation, u.service, u.host, u.port, u.slots, u.is_draining)
        for name, u in upstreams.items()
    }
