"""Times of this instance's requests to each upstream, as they are reported to the leader."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..clocks import milliseconds
from .concurrency import TimedRequest

__all__ = ["RequestTimings", "UpstreamTimings"]

# Age after which a request that isn't answered is no longer reported: it tells nothing more.
MAX_RUNNING_AGE = milliseconds(10_000)
# Number of answers of one upstream that are kept between two reports. The newest are kept.
MAX_ANSWERS = 64


@dataclass(frozen=True, slots=True)
class UpstreamTimings:
    """This instance's requests to an upstream: answered since the last report, or running."""

    name: str
    answered: tuple[TimedRequest, ...]
    running: tuple[TimedRequest, ...]


@dataclass(slots=True)
class RequestTimings:
    """Times of requests that run or have been answered since the last report.

    Attributes
    ----------
    is_enabled : bool
        Whether times are recorded.
    """

    is_enabled: bool = False
    _running: dict[str, list[tuple[timedelta, float]]] = field(default_factory=dict)
    _answered: dict[str, list[TimedRequest]] = field(default_factory=dict)

    def note_sent(self, name: str, sent_at: timedelta, work_ratio: float) -> None:
        """Note that a request was sent to an upstream."""
        if self.is_enabled:
            self._running.setdefault(name, []).append((sent_at, work_ratio))

    def note_ended(
        self, name: str, sent_at: timedelta, answered_at: timedelta | None = None
    ) -> None:
        """Note the end of a request, and when it was answered if it ran to its end."""
        running = self._running.get(name, [])
        for position, (started_at, work_ratio) in enumerate(running):
            if started_at == sent_at:
                del running[position]
                if answered_at is not None:
                    answered = self._answered.setdefault(name, [])
                    answered.append(TimedRequest(sent_at, answered_at, work_ratio))
                    del answered[:-MAX_ANSWERS]
                break
        if not running:
            self._running.pop(name, None)

    def collect(self, now: timedelta) -> list[UpstreamTimings]:
        """Return the answers since the last call, which are forgotten, and the running requests."""
        answered, self._answered = self._answered, {}
        timings = []
        for name in dict.fromkeys([*answered, *self._running]):
            running = [r for r in self._running.get(name, ()) if now - r[0] <= MAX_RUNNING_AGE]
            if name in self._running:
                self._running[name] = running
            timings.append(
                UpstreamTimings(
                    name,
                    tuple(answered.get(name, ())),
                    tuple(TimedRequest(sent_at, now, ratio) for sent_at, ratio in running),
                )
            )
        return timings

    def clear(self) -> None:
        """Forget all requests."""
        self._running.clear()
        self._answered.clear()
