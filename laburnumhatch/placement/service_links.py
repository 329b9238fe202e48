"""Whether this instance reaches the upstreams of a service at all.

Upstreams that fail one by one are avoided one by one. Where none of a service accepts a connection,
the fault may lie on this side, and another instance may reach them.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from random import Random

from ..fleet import Upstream

__all__ = ["LinkState", "ServiceLinks"]

# Time for which a failed connection counts, and the number of upstreams whose connections must fail
# within it before others are probed.
FAILURE_LIFETIME = timedelta(milliseconds=1500)
SUSPECT_FAILURES = 2
# Upstreams that are probed before a service counts as unreachable, and while it does.
CONFIRMING_PROBES = 4
RECOVERY_PROBES = 2
# Time between two rounds of probes of an unreachable service.
RECOVERY_INTERVAL = timedelta(milliseconds=300)


class LinkState(Enum):
    """State of the links to a service's upstreams."""

    REACHED = "reached"
    PROBING = "probing"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class ServiceLinks:
    """Links of this instance to the upstreams of one service.

    Attributes
    ----------
    state : LinkState
    """

    state: LinkState = LinkState.REACHED
    _failed_at: dict[str, timedelta] = field(default_factory=dict)
    _pending: set[str] = field(default_factory=set)
    _is_suspected: bool = False
    _probed_at: timedelta = timedelta(days=-1)

    def note_opened(self, upstream: str) -> None:
        """Record that a connection to an upstream was opened."""
        self._failed_at.clear()
        self._pending.clear()
        self.state = LinkState.REACHED

    def note_failed(self, upstream: str, now: timedelta) -> None:
        """Record that a connection to an upstream failed or could not be opened."""
        self._failed_at[upstream] = now
        self._pending.discard(upstream)
        if self.state is LinkState.PROBING and not self._pending:
            self.state = LinkState.UNREACHABLE

    def suspect(self) -> None:
        """Probe upstreams without waiting for failures, because other services aren't reached."""
        self._is_suspected = True

    def next_probes(
        self, upstreams: Collection[Upstream], now: timedelta, random: Random
    ) -> list[Upstream]:
        """Return the upstreams to which connections are to be opened now, to see if any opens.

        Parameters
        ----------
        upstreams : collection of Upstream
            The service's upstreams that accept requests.
        now : timedelta
        random : random.Random
        """
        if self._pending or not upstreams:
            return []
        if self.state is LinkState.UNREACHABLE:
            if now - self._probed_at < RECOVERY_INTERVAL:
                return []
            probed = random.sample(list(upstreams), min(RECOVERY_PROBES, len(upstreams)))
        else:
            recent = {n for n, at in self._failed_at.items() if now - at < FAILURE_LIFETIME}
            has_failed = len(recent) >= min(SUSPECT_FAILURES, len(upstreams))
            if not has_failed and not self._is_suspected:
                return []
            self._is_suspected = False
            probed = self._sample_unfailed(upstreams, recent, random)
            self.state = LinkState.PROBING
        self._probed_at = now
        self._pending = {upstream.name for upstream in probed}
        return probed

    @staticmethod
    def _sample_unfailed(
        upstreams: Collection[Upstream], failed: Collection[str], random: Random
    ) -> list[Upstream]:
        """Return upstreams to probe, those whose connections haven't failed first."""
        shuffled = random.sample(list(upstreams), len(upstreams))
        shuffled.sort(key=lambda upstream: upstream.name in failed)
        return shuffled[:CONFIRMING_PROBES]
