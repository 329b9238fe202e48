"""Admission of requests: choice of the upstream, and whether a request is sent, waits or not."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta

from ..clocks import Clock, milliseconds
from ..fleet import (
    FeatureMode,
    Route,
    RouteTable,
    Upstream,
    UpstreamIncarnation,
    is_feature_on,
)
from ..placement import (
    Declined,
    Demand,
    LoadTracker,
    LongestDeadlines,
    Prospect,
    RankLimits,
    WaitingRequest,
    WaitingRoom,
    can_finish_before_stop,
    choose_upstream,
    decide_admission,
    predict_answer_time,
    queue_limit,
)
from ..placement.choice import usual_service_time
from ..platform.headers import DEADLINE, find_header, parse_deadline_ms
from ..results import Refusal, ResultCode
from ..transport import CallerRequest
from .metrics import GatewayMetrics
from .retry_after import DECLINED_RETRY_AFTER, LIMITED_RETRY_AFTER, NO_OWNER_RETRY_AFTER

__all__ = ["Admission", "AdmissionActions", "AdmissionSources", "PlacedRequest"]


@dataclass(frozen=True, slots=True)
class AdmissionSources:
    """Where the admission reads what changes.

    Attributes
    ----------
    available_upstreams : callable
        Returns the upstreams of a service that accept new requests.
    may_send_to : callable
        Returns whether an upstream takes requests at the moment.
    median_service_time_s : callable
        Returns the median service time of a service, in seconds.
    likely_instance_count : callable
        Returns the number of instances that choose at the same time.
    stop_in_s : callable
        Returns the seconds until requests are no longer answered; None if no stop is planned.
    rng : callable
        Returns the source of random numbers.
    """

    available_upstreams: Callable[[str], list[Upstream]]
    may_send_to: Callable[[Upstream], bool]
    median_service_time_s: Callable[[str], float]
    likely_instance_count: Callable[[], int]
    stop_in_s: Callable[[], float | None]
    rng: Callable[[], random.Random]


@dataclass(frozen=True, slots=True)
class AdmissionActions:
    """What is done with a request; exactly one of them is called for each `Admission.admit`.

    Attributes
    ----------
    send : callable
        Called with the upstream.
    refuse : callable
        Called with the refusal.
    wait_for_owner : callable
        Called if the key has no owner.
    place_anew : callable
        Called if the upstream for which the request waited can't serve it any more.
    """

    send: Callable[[Upstream], None]
    refuse: Callable[[Refusal], None]
    wait_for_owner: Callable[[], None]
    place_anew: Callable[[], None]


@dataclass(frozen=True, slots=True)
class PlacedRequest:
    """A request for which an upstream is sought.

    Attributes
    ----------
    service : str
    route : Route
    demand : Demand
    started_at, deadline : timedelta
        When the caller first sent the request, as far as that is known, and its deadline.
    tried_names : collection of str
        Upstreams that the request was sent to before.
    find_owner : callable or None
        Returns the owner of the request's key; None for a service without keys.
    """

    service: str
    route: Route
    demand: Demand
    started_at: timedelta
    deadline: timedelta
    tried_names: Collection[str]
    find_owner: Callable[[], Upstream | UpstreamIncarnation | None] | None


class Admission:
    """Admission of the requests of one instance.

    Parameters
    ----------
    clock : Clock
    data_centre : str
    load_tracker : LoadTracker
    metrics : GatewayMetrics
    sources : AdmissionSources
    mode : FeatureMode
        Whether requests may wait: ``on``, ``off``, or ``auto``: while a route has large bodies.
    """

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        load_tracker: LoadTracker,
        metrics: GatewayMetrics,
        sources: AdmissionSources,
        mode: FeatureMode,
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._load_tracker = load_tracker
        self._sources = sources
        self._mode = mode
        self._waits = is_feature_on(mode, None)
        self._deadlines = LongestDeadlines()
        self._limits = RankLimits()
        self._room = WaitingRoom(clock, self._limits, metrics.record_wait, sources.rng)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for room at an upstream."""
        return self._room.waiting_count

    def configure(self, routes: RouteTable) -> None:
        """Apply a version of the configuration."""
        self._waits = is_feature_on(self._mode, routes)
        self._deadlines.retain({route.name for route in routes.routes})
        self._limits.retain(set(routes.services))

    def started_at(self, request: CallerRequest, route: Route) -> timedelta:
        """Return when a caller first sent a request, as far as its deadline tells."""
        remaining_ms = parse_deadline_ms(find_header(request.fields, DEADLINE))
        if remaining_ms is None or not self._waits:
            return request.received_at
        deadline = min(milliseconds(remaining_ms), route.timeout)
        spent = self._deadlines.record(route.name, deadline, request.received_at)
        return request.received_at - spent

    def admit(self, request: PlacedRequest, actions: AdmissionActions) -> WaitingRequest | None:
        """Send a request, let it wait or refuse it.

        Returns
        -------
        WaitingRequest or None
            The request if the waiting room has taken it.
        """
        found = self._find(request)
        if found is None:
            actions.wait_for_owner()
        elif isinstance(found, Refusal):
            actions.refuse(found)
        elif self._waits:
            return self._enter_room(request, found, actions)
        else:
            self._decide_at_once(request, found, actions)
        return None

    def withdraw(self, waiting: WaitingRequest) -> None:
        """Remove a request that waits no longer."""
        self._room.withdraw(waiting)

    def on_room(self, service: str, upstream: Upstream) -> None:
        """Send what can be sent after an upstream has finished a request."""
        for name in (upstream.name, service):
            if self._room.has_waiting(name):
                # In the next turn, when the request's answer is on its way and its connection free.
                self._clock.call_later(timedelta(), self._room.look_at, name)

    # Search for an upstream.

    def _find(self, request: PlacedRequest) -> Prospect | Refusal | None:
        """Return the upstream for a request, or why there is none; None if its key has no owner."""
        if request.find_owner is None:
            found = self._choose(request)
        else:
            owner = request.find_owner()
            if not isinstance(owner, Upstream):
                return None
            found = self._owner_prospect(request, owner)
        if isinstance(found, Refusal):
            return found
        stop_in_s = self._sources.stop_in_s()
        if stop_in_s is not None and not can_finish_before_stop(found.predicted_s, stop_in_s):
            detail = f"{found.predicted_s:.3f} s predicted, {max(stop_in_s, 0.0):.3f} s left"
            return Refusal(ResultCode.STOPPING, detail, retry_after=DECLINED_RETRY_AFTER)
        return found

    def _owner_prospect(self, request: PlacedRequest, owner: Upstream) -> Prospect | Refusal:
        if not self._sources.may_send_to(owner):
            return self._refusal_beyond_limit([owner])
        load = self._load_tracker.load_of(owner.name)
        median_s = self._sources.median_service_time_s(request.service)
        predicted_s = predict_answer_time(owner, load, median_s, request.demand)
        service_time_s = load.service_time_s or median_s
        if owner.warmup_remaining:
            service_time_s = max(service_time_s, usual_service_time(owner, median_s))
        service_time_s *= request.demand.work_ratio
        return Prospect(owner, predicted_s, service_time_s, load.in_flight)

    def _choose(self, request: PlacedRequest) -> Prospect | Refusal:
        known = self._sources.available_upstreams(request.service)
        available = [u for u in known if self._sources.may_send_to(u)]
        if known and not available:
            return self._refusal_beyond_limit(known)
        candidates = [u for u in available if u.name not in request.tried_names] or available
        median_s = self._sources.median_service_time_s(request.service)
        choice = choose_upstream(
            candidates,
            self._load_tracker.load_of,
            self._data_centre,
            request.demand,
            self._sources.likely_instance_count(),
            self._clock.now(),
            self._sources.rng(),
            median_s,
        )
        if choice is None:
            return Refusal(ResultCode.NO_TARGET, retry_after=NO_OWNER_RETRY_AFTER)
        upstream = choice.upstream
        service_time_s = usual_service_time(upstream, median_s) * request.demand.work_ratio
        in_flight = self._load_tracker.load_of(upstream.name).in_flight
        return Prospect(upstream, choice.predicted_s, service_time_s, in_flight)

    def _refusal_beyond_limit(self, upstreams: list[Upstream]) -> Refusal:
        """Return the refusal of a request that none of its upstreams takes now."""
        now, limits = self._clock.now(), self._load_tracker.limits
        pause = min(limits.remaining_pause(upstream.name, now) for upstream in upstreams)
        detail = f"{upstreams[0].name} takes no more requests at the moment"
        if len(upstreams) > 1:
            detail = f"{len(upstreams)} upstreams take no more requests at the moment"
        retry_after = max(pause, LIMITED_RETRY_AFTER)
        return Refusal(ResultCode.QUEUE_FULL, detail, retry_after=retry_after)

    # Decision.

    def _decide_at_once(
        self, request: PlacedRequest, prospect: Prospect, actions: AdmissionActions
    ) -> None:
        decision = decide_admission(
            prospect.predicted_s,
            prospect.service_time_s,
            request.route.latency_objective.total_seconds(),
            (request.deadline - self._clock.now()).total_seconds(),
        )
        if isinstance(decision, Declined):
            retry_after = milliseconds(decision.retry_after_s * 1000)
            detail = f"{prospect.upstream.name}: {decision.reason}"
            actions.refuse(Refusal(ResultCode.QUEUE_FULL, detail, retry_after=retry_after))
        else:
            actions.send(prospect.upstream)

    def _enter_room(
        self, request: PlacedRequest, prospect: Prospect, actions: AdmissionActions
    ) -> WaitingRequest:
        is_keyed = request.find_owner is not None
        queue = prospect.upstream.name if is_keyed else request.service
        route = request.route

        def assess() -> Prospect | None:
            found = self._find(request)
            if not isinstance(found, Prospect) or (is_keyed and found.upstream.name != queue):
                return None
            return found

        def refuse(retry_after_s: float, detail: str) -> None:
            retry_after = milliseconds(retry_after_s * 1000)
            actions.refuse(
                Refusal(ResultCode.QUEUE_FULL, f"{queue}: {detail}", retry_after=retry_after)
            )

        waiting = WaitingRequest(
            queue=queue,
            service=request.service,
            rank=route.priority,
            objective=route.latency_objective,
            started_at=request.started_at,
            deadline=request.deadline,
            assess=assess,
            send=lambda chosen: actions.send(chosen.upstream),
            refuse=refuse,
            place_anew=actions.place_anew,
        )
        slots = prospect.upstream.slots
        if not is_keyed:
            upstreams = self._sources.available_upstreams(request.service)
            slots = sum(upstream.slots for upstream in upstreams)
        limit = queue_limit(
            slots,
            route.latency_objective.total_seconds(),
            prospect.service_time_s,
            self._sources.likely_instance_count(),
        )
        self._room.enter(waiting, prospect, limit)
        return waiting
