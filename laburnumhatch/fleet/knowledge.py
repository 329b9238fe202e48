"""What is known of the upstreams, and since when."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from .upstream import Upstream

__all__ = ["UpstreamKnowledge"]

# Time after an outage within which upstreams register again: the users' letter says about 2 s.
REGISTRATION_GRACE = timedelta(milliseconds=2300)
# A gap between two good reads beyond which registrations may have lapsed unseen: registrations
# lapse after three heartbeats of silence, 2.6 s with the users' shortest. A single read that fails
# is no such gap, or an upstream that left meanwhile would get requests for too long.
OUTAGE_GAP = timedelta(milliseconds=1500)


class UpstreamKnowledge:
    """The upstreams as last read, across outages of the registry.

    Attributes
    ----------
    upstreams : mapping of str to Upstream
        By name; those whose registration lapsed in an outage stay until the grace is over.
    """

    def __init__(self) -> None:
        self.upstreams: Mapping[str, Upstream] = {}
        self._last_read: timedelta | None = None
        self._grace_until: timedelta | None = None

    def take(self, listed: Iterable[Upstream], now: timedelta) -> bool:
        """Take a read of the registry; return whether anything but the warm-up changed."""
        found = {upstream.name: upstream for upstream in listed}
        if self._last_read is not None and now - self._last_read > OUTAGE_GAP:
            self._grace_until = now + REGISTRATION_GRACE
        self._last_read = now
        if self._grace_until is not None and now < self._grace_until:
            for name, upstream in self.upstreams.items():
                found.setdefault(name, upstream)
        changed = _without_warmup(found) != _without_warmup(self.upstreams)
        self.upstreams = found
        return changed

    def adopt(self, listed: Iterable[Upstream], now: timedelta) -> None:
        """Take the upstreams as another instance, which reads the registry, keeps them."""
        self._last_read = now
        self.upstreams = {upstream.name: upstream for upstream in listed}


def _without_warmup(upstreams: Mapping[str, Upstream]) -> dict[str, tuple[object, ...]]:
    return {
        name: (u.life, u.service, u.host, u.port, u.slots, u.is_draining)
        for name, u in upstreams.items()
    }
