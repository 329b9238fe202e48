"""Requests that wait at their instance until an upstream can serve them in time."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, StrEnum

from ..clocks import Cancellable, Clock, milliseconds
from ..fleet import Upstream
from .admission import MAX_RETRY_AFTER_S, MIN_ALLOWED_FACTOR, MIN_RETRY_AFTER_S
from .rank_limits import RankLimits

__all__ = ["Prospect", "Standing", "WaitOutcome", "WaitingRequest", "WaitingRoom", "queue_limit"]

# Interval at which all waiting requests are looked at. Totals of the leader arrive every 250 ms.
LOOK_INTERVAL = milliseconds(25)
# Shortest time between two looks at a queue after answers. Each look assesses all requests in the
# queue, which would take much processor time after each of many answers.
MIN_LOOK_INTERVAL = milliseconds(4)
# Share of the objective for which a request waits that is predicted to be late. The prediction may
# be wrong. With 0.2, more requests were late in the load model, since callers waited in vain.
LATE_WAIT_SHARE = 0.125
# Share of the predicted time that counts against objectives. Predictions go by totals that are up
# to half a second old, and a request predicted to be a little late is often in time. With 1.0,
# fewer requests were in time at 0.8 of the capacity in the load model.
LIKELY_SHARE = 0.85
# Share of an upstream's slots up to which it takes requests of all ranks, so that room isn't lost
# if more urgent requests lack room elsewhere. With 0.5, less urgent ones took room from the others
# in the load model.
IDLE_SHARE = 0.25
# Bounds of the number of waiting requests: for one queue at least, and for the instance.
MIN_QUEUE_LIMIT = 4
MAX_WAITING = 128
# Largest share of the time left that a caller is told to wait: they give up beyond a third.
MAX_RETRY_SHARE = 0.3
NEVER = timedelta(days=-1)


class Standing(Enum):
    """What can become of a request that is sent now."""

    TIMELY = "timely"
    LATE = "late"
    HOPELESS = "hopeless"


class WaitOutcome(StrEnum):
    """How a wait ended."""

    SENT = "sent"
    REFUSED = "refused"
    MOVED = "moved"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class Prospect:
    """What a request may expect if it is sent now.

    Attributes
    ----------
    upstream : Upstream
    predicted_s : float
        Predicted time to the answer.
    service_time_s : float
        Usual time that the upstream works on the request.
    in_flight : int
        Requests in flight to the upstream, without this one.
    """

    upstream: Upstream
    predicted_s: float
    service_time_s: float
    in_flight: int

    @property
    def has_spare_room(self) -> bool:
        """Whether the upstream has room beyond what it needs to keep its slots busy."""
        return self.in_flight < self.upstream.slots + 1

    @property
    def has_idle_slots(self) -> bool:
        """Whether the upstream has more room than more urgent requests are likely to need."""
        return self.in_flight < self.upstream.slots * IDLE_SHARE

    @property
    def excess_s(self) -> float:
        """Seconds until there should be spare room."""
        spare_s = self.service_time_s * (1.0 + 1.0 / self.upstream.slots)
        return self.predicted_s - spare_s


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that is to be sent when there is room for it.

    Attributes
    ----------
    queue : str
        Name of the upstream for a request with a key, else of the service.
    service : str
    rank : int
        Priority of the route; 0 is the most urgent.
    objective : timedelta
        Latency objective of the route.
    started_at : timedelta
        When the caller first sent the request, as far as that is known.
    deadline : timedelta
        Instant of the deadline.
    assess : callable
        Returns what the request may expect now, or None if it must be placed anew.
    send : callable
        Called with the prospect when the request is to be sent.
    refuse : callable
        Called with the seconds after which there should be room, and a detail.
    place_anew : callable
        Called when `assess` has returned None.
    entered_at, late_since : timedelta or None
        When the request began to wait, and since when it is predicted to be late.
    is_late : bool
        Whether the request is predicted to be late.
    is_unmet : bool
        Whether the request was predicted to be late or refused at some moment.
    """

    queue: str
    service: str
    rank: int
    objective: timedelta
    started_at: timedelta
    deadline: timedelta
    assess: Callable[[], Prospect | None]
    send: Callable[[Prospect], None]
    refuse: Callable[[float, str], None]
    place_anew: Callable[[], None]
    entered_at: timedelta | None = None
    late_since: timedelta | None = None
    is_late: bool = False
    is_unmet: bool = False

    def standing(self, prospect: Prospect, now: timedelta) -> Standing:
        """Return what can become of the request if it is sent now."""
        # A single request may take this long even without a queue.
        least_s = prospect.service_time_s * MIN_ALLOWED_FACTOR
        deadline_left_s = (self.deadline - now).total_seconds()
        if deadline_left_s <= 0.0 or prospect.predicted_s > max(deadline_left_s, least_s):
            return Standing.HOPELESS
        spent_s = (now - self.started_at).total_seconds()
        objective_s = max(self.objective.total_seconds(), least_s)
        is_timely = spent_s + prospect.predicted_s * LIKELY_SHARE <= objective_s
        return Standing.TIMELY if is_timely else Standing.LATE

    @property
    def order(self) -> tuple[bool, int, timedelta, timedelta]:
        """Place in the queue. Late requests come last, as they only get what others leave."""
        return self.is_late, self.rank, self.started_at + self.objective, self.deadline


def queue_limit(
    slots: int, objective_s: float, service_time_s: float, instance_count: int | None
) -> int:
    """Return how many requests may wait: this instance's share of those served within an objective.

    Examples
    --------
    >>> queue_limit(136, 1.1, 0.264, 62), queue_limit(4, 0.88, 0.2, 62)
    (9, 4)
    """
    served = slots * objective_s / max(service_time_s, 0.001)
    return max(MIN_QUEUE_LIMIT, round(served / max(1, instance_count or 1)))


class WaitingRoom:
    """Queues of the requests of one instance that wait for an upstream or a service.

    Parameters
    ----------
    clock : Clock
    limits : RankLimits
    on_left : callable
        Called with the service, the outcome and the seconds of each wait that has ended.
    rng : callable
        Returns the source of random numbers, which shift the times to retry.
    """

    def __init__(
        self,
        clock: Clock,
        limits: RankLimits,
        on_left: Callable[[str, str, float], None],
        rng: Callable[[], random.Random],
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._on_left = on_left
        self._rng = rng
        self._queues: dict[str, list[WaitingRequest]] = {}
        self._looked_at: dict[str, timedelta] = {}
        self._timer: Cancellable | None = None
        self._is_looking = False

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def enter(self, request: WaitingRequest, prospect: Prospect, limit: int) -> None:
        """Send a request, let it wait or refuse it.

        Parameters
        ----------
        request : WaitingRequest
        prospect : Prospect
        limit : int
            Number of requests that may wait in its queue.
        """
        now = self._clock.now()
        objective_s = request.objective.total_seconds()
        self._limits.record(request.service, request.rank, objective_s, now)
        if request.queue not in self._queues and not self._decide(request, prospect, False, now):
            return
        request.entered_at = now
        self._queues.setdefault(request.queue, []).append(request)
        self._look_at(request.queue)
        if request not in self._queues.get(request.queue, ()):
            return
        if len(self._queues[request.queue]) > limit:
            self._refuse_last(self._queues[request.queue])
        elif self.waiting_count > MAX_WAITING:
            self._refuse_last([q for queue in self._queues.values() for q in queue])
        if self._timer is None and self._queues:
            self._timer = self._clock.call_later(LOOK_INTERVAL, self._on_timer)

    def withdraw(self, request: WaitingRequest) -> None:
        """Remove a request if it waits."""
        self._leave(request, WaitOutcome.WITHDRAWN)

    def has_waiting(self, name: str) -> bool:
        """Return whether requests wait for an upstream or a service."""
        return name in self._queues

    def look_at(self, name: str) -> None:
        """Send what can be sent of the requests that wait for an upstream or a service."""
        now = self._clock.now()
        if now - self._looked_at.get(name, NEVER) >= MIN_LOOK_INTERVAL:
            self._look_at(name)
            if name in self._queues:
                self._looked_at[name] = now

    def _look_at(self, name: str) -> None:
        queue = self._queues.get(name)
        if not queue or self._is_looking:
            return
        # Sending a request may end it at once, which must not start a second pass.
        self._is_looking = True
        try:
            self._look_through(queue)
        finally:
            self._is_looking = False

    def _look_through(self, queue: list[WaitingRequest]) -> None:
        now = self._clock.now()
        prospects = self._assess_all(queue, now)
        is_blocked = was_sent = False
        for request in sorted(prospects, key=lambda q: q.order):
            if request not in queue:
                continue
            # The prediction grows with each request that is sent.
            prospect = request.assess() if was_sent else prospects[request]
            if prospect is None:
                # The upstream takes no more; the next look places the request anew.
                continue
            if self._decide(request, prospect, is_blocked, now):
                is_blocked = is_blocked or not request.is_late
            else:
                was_sent = True

    def _assess_all(
        self, queue: list[WaitingRequest], now: timedelta
    ) -> dict[WaitingRequest, Prospect]:
        """Return what the requests may expect; place those anew that expect nothing."""
        prospects = {}
        for request in list(queue):
            prospect = request.assess()
            if prospect is not None:
                request.is_late = request.standing(prospect, now) is not Standing.TIMELY
                prospects[request] = prospect
            elif request in queue:
                self._leave(request, WaitOutcome.MOVED)
                request.place_anew()
        return prospects

    def _on_timer(self) -> None:
        self._timer = self._clock.call_later(LOOK_INTERVAL, self._on_timer)
        for name in list(self._queues):
            self._look_at(name)
        if not self._queues:
            self._timer.cancel()
            self._timer = None

    def _decide(
        self, request: WaitingRequest, prospect: Prospect, is_blocked: bool, now: timedelta
    ) -> bool:
        """Return whether a request waits on; send or refuse it otherwise.

        `is_blocked` says whether timely requests before it wait for the same room.
        """
        standing = request.standing(prospect, now)
        request.is_late = standing is Standing.LATE
        if standing is Standing.HOPELESS:
            self._refuse(request, prospect, "the deadline can't be met")
            return False
        if standing is Standing.TIMELY:
            request.late_since = None
            likely_s = prospect.predicted_s * LIKELY_SHARE
            may_send = prospect.has_idle_slots or likely_s <= self._limits.limit_s(
                request.service,
                request.rank,
                request.objective.total_seconds(),
                prospect.service_time_s,
                now,
            )
        else:
            self._note_unmet(request, now)
            request.late_since = request.late_since or now
            may_send = prospect.has_spare_room
            is_over = now - request.late_since >= request.objective * LATE_WAIT_SHARE
            if is_over and (is_blocked or not may_send):
                self._refuse(request, prospect, "it would be late")
                return False
        if is_blocked or not may_send:
            return True
        self._leave(request, WaitOutcome.SENT)
        request.send(prospect)
        return False

    def _refuse_last(self, requests: list[WaitingRequest]) -> None:
        last = max(requests, key=lambda q: q.order)
        prospect = last.assess()
        if prospect is None:
            self._leave(last, WaitOutcome.MOVED)
            last.place_anew()
        else:
            self._refuse(last, prospect, "too many requests wait")

    def _refuse(self, request: WaitingRequest, prospect: Prospect, reason: str) -> None:
        now = self._clock.now()
        self._leave(request, WaitOutcome.REFUSED)
        self._note_unmet(request, now)
        left_s = (request.deadline - now).total_seconds()
        # The room becomes available little by little, so callers come back one after the other.
        retry_after_s = prospect.excess_s * (0.5 + self._rng().random())
        longest_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, left_s * MAX_RETRY_SHARE))
        waited_s = (now - (request.entered_at or now)).total_seconds()
        detail = f"{reason}; {prospect.predicted_s:.3f} s predicted, waited {waited_s:.3f} s"
        request.refuse(min(max(retry_after_s, MIN_RETRY_AFTER_S), longest_s), detail)

    def _note_unmet(self, request: WaitingRequest, now: timedelta) -> None:
        if not request.is_unmet:
            request.is_unmet = True
            self._limits.record_unmet(request.service, request.rank, now)

    def _leave(self, request: WaitingRequest, outcome: WaitOutcome) -> None:
        queue = self._queues.get(request.queue)
        if queue is None or request not in queue:
            return
        queue.remove(request)
        if not queue:
            del self._queues[request.queue]
            self._looked_at.pop(request.queue, None)
        assert request.entered_at is not None
        waited = self._clock.now() - request.entered_at
        self._on_left(request.service, outcome.value, waited.total_seconds())
