"""What one attempt to send a request tells of its upstream."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from ..fleet import Upstream
from ..placement.choice import typical_service_time
from ..platform.headers import MISDIRECTED
from ..transport import CallerRequest
from .answers import AttemptOutcome, OutcomeKind
from .owner_lookup import suspend_denied_range

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ["Attempt", "record_attempt"]


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to send a request that has ended.

    Attributes
    ----------
    request : CallerRequest
    upstream : Upstream
    service, route : str
    key : int or None
        Owned key of the request, if any.
    sent_at : timedelta or None
        When the request was sent; None if it wasn't.
    relative_time : float
        Expected time to the answer as a multiple of the upstream's service time.
    work_ratio : float
        Expected work relative to the mean request of the service.
    status : int
        Status of the answer; 0 if none was received.
    is_new_connection : bool
        Whether a connection was opened for the request.
    """

    request: CallerRequest
    upstream: Upstream
    service: str
    route: str
    key: int | None
    sent_at: timedelta | None
    relative_time: float
    work_ratio: float
    status: int
    is_new_connection: bool

    @property
    def was_expected_to_wait(self) -> bool:
        """Whether the upstream's slots were all busy when the request was sent."""
        return self.relative_time > self.work_ratio


def record_attempt(gateway: "Gateway", attempt: Attempt, outcome: AttemptOutcome) -> None:
    """Record the outcome of an attempt: load, links and crashes of the upstream."""
    _record_load(gateway, attempt, outcome)
    _record_link(gateway, attempt, outcome)
    _record_crash_evidence(gateway, attempt, outcome)
    gateway.metrics.attempts[attempt.service, outcome.kind.value] += 1


def _record_load(gateway: "Gateway", attempt: Attempt, outcome: AttemptOutcome) -> None:
    upstream, now = attempt.upstream, gateway.clock.now()
    load_tracker = gateway.load_tracker
    load_tracker.load_of(upstream.name).own_in_flight -= 1
    has_answered = attempt.status not in (0, MISDIRECTED) and not outcome.is_connection_lost
    if has_answered and attempt.sent_at is not None:
        load_tracker.warmups.note_answered(upstream.name, attempt.sent_at)
    if attempt.sent_at is not None:
        answered_at = now if outcome.kind is OutcomeKind.SUCCESS else None
        load_tracker.timings.note_ended(upstream.name, attempt.sent_at, answered_at)
    if outcome.is_unreachable:
        load_tracker.load_of(upstream.name).record_unreachable(now)
        # The upstream may have ended and be back soon, cold.
        if outcome.is_refused:
            load_tracker.warmups.note_unreachable(upstream.incarnation, upstream.service, now)
        elif outcome.is_silent:
            load_tracker.warmups.note_silent(upstream.name)
        gateway.pool.close_idle((upstream.host, upstream.port))
    elif outcome.kind is OutcomeKind.NOT_RUN and attempt.status == MISDIRECTED:
        if attempt.key is None:
            # Another process answers at the address, so the upstream has ended.
            load_tracker.load_of(upstream.name).record_unreachable(now)
            load_tracker.warmups.note_unreachable(upstream.incarnation, upstream.service, now)
        else:
            suspend_denied_range(gateway, attempt.service, attempt.key, upstream)
    elif outcome.kind is OutcomeKind.NOT_RUN or (
        outcome.is_connection_lost and attempt.was_expected_to_wait
    ):
        # A full upstream may reset the connections of the requests that it doesn't accept.
        load_tracker.record_answer(upstream.name, now, service_time_s=None, declined=True)
    elif outcome.kind is OutcomeKind.SUCCESS and attempt.sent_at is not None:
        _record_service_time(gateway, attempt, (now - attempt.sent_at).total_seconds())


def _record_service_time(gateway: "Gateway", attempt: Attempt, answer_time_s: float) -> None:
    name = attempt.upstream.name
    if not attempt.was_expected_to_wait:
        median_s = gateway.median_service_time_s(attempt.service)
        load = gateway.load_tracker.load_of(name)
        slowness = typical_service_time(load, median_s) / median_s
        gateway.work_times.record(attempt.service, attempt.route, answer_time_s / slowness)
    service_time_s = answer_time_s / attempt.relative_time
    gateway.load_tracker.record_answer(
        name, gateway.clock.now(), service_time_s=service_time_s, declined=False
    )


def _record_link(gateway: "Gateway", attempt: Attempt, outcome: AttemptOutcome) -> None:
    if outcome.is_unreachable or (outcome.is_connection_lost and not attempt.status):
        gateway.link_monitor.note_failed(attempt.upstream)
    elif attempt.status and attempt.is_new_connection:
        gateway.link_monitor.note_opened(attempt.upstream)


def _record_crash_evidence(gateway: "Gateway", attempt: Attempt, outcome: AttemptOutcome) -> None:
    """Record whether the upstream may have crashed under the request, or has answered it."""
    guard, incarnation = gateway.crash_guard, attempt.upstream.incarnation
    if outcome.is_connection_lost and not attempt.status:
        if attempt.service not in gateway.link_monitor.unreachable:
            guard.note_lost(attempt.request, incarnation)
    elif attempt.sent_at is not None and attempt.status not in (0, MISDIRECTED):
        guard.note_alive(incarnation, attempt.sent_at)
        if outcome.kind in (OutcomeKind.SUCCESS, OutcomeKind.FAILED):
            guard.note_answered(attempt.request)
