"""Processing of one caller's request, from its header to its final answer."""

from datetime import timedelta
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from ..clocks import Cancellable, Timeout, milliseconds
from ..fleet import Route, Upstream, UpstreamIncarnation, find_route
from ..placement import Demand, FailedRequest, WaitingRequest, may_retry
from ..platform.headers import (
    KEY,
    SEAL,
    find_header,
    is_not_run,
    parse_key,
)
from ..results import Refusal, ResultCode, RunStatus
from ..transport import CallerRequest, CallFailure, OutboundRequest, PooledCall
from ..transport.fields import HeaderFields, parse_keep_alive_timeout
from ..transport.outbound import OutboundConnection
from .admission import AdmissionActions, PlacedRequest
from .announced import apply_announcements
from .answers import (
    NOT_RUN_STATUSES,
    AttemptOutcome,
    OutcomeKind,
    classify_failure,
    classify_response,
)
from .attempt import Attempt, record_attempt
from .deadline import UPSTREAM_ANSWER_GRACE, deadline_of
from .outbound_request import build_outbound_request
from .owner_lookup import find_owner, is_awaiting_lease_expiry, is_owner_evacuated
from .peer_call import PeerCall, PeerResult
from .refusals import refuse
from .relay import ResponseRelay
from .request_log import LoggedTarget, RequestState
from .retry_after import (
    DECLINED_RETRY_AFTER,
    HOT_KEY_RETRY_AFTER,
    NO_CONFIGURATION_RETRY_AFTER,
    NO_OWNER_RETRY_AFTER,
    OWNER_LOST_RETRY_AFTER,
)
from .unread_answer import log_unread_answer

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ["Exchange"]

# Longest wait for the next owner of a key that is being moved.
MAX_OWNER_WAIT = milliseconds(600)
# Longest idle time of a connection that is reused for a request that may not be repeated. If the
# upstream closes the connection while the request is sent, it is unknown whether the request ran.
MAX_IDLE_TIME_UNREPEATABLE = milliseconds(250)
# Delay between opening a connection and sending a request on it: two round trips between data
# centres, within which an upstream that accepts no more connections resets it.
NEW_CONNECTION_SEND_DELAY = milliseconds(6)
# Number of bytes of an answer's body that are read and discarded, so that its connection can be
# used again. More of them are not waited for.
MAX_DISCARDED_BYTES = 65_536
# Number of instances that a request is passed on to, one after the other, if they don't answer.
MAX_PEERS = 2


class _State(Enum):
    PLACING = "placing"
    WAITING_TO_BE_FIRST = "waiting for earlier requests"
    WAITING_FOR_OWNER = "waiting for an owner"
    WAITING_FOR_ROOM = "waiting for room"
    WAITING_FOR_PERMIT = "waiting for a permit"
    SENT = "sent"
    FINISHED = "finished"


class Exchange:
    """State machine that processes one caller's request.

    Parameters
    ----------
    gateway : Gateway
    request : CallerRequest
    is_relayed : bool, optional
        Whether another instance has passed the request on.
    """

    def __init__(
        self, gateway: "Gateway", request: CallerRequest, *, is_relayed: bool = False
    ) -> None:
        self._gateway = gateway
        self._request = request
        self._state = _State.PLACING
        self._route: Route | None = None
        self._service = ""
        self._key: int | None = None
        self._deadline = request.received_at
        self._deadline_timer: Cancellable | None = None
        self._owner_timer: Cancellable | None = None
        self._owner_wait_started_at = request.received_at
        self._is_relayed = is_relayed
        self._peer_call: PeerCall | None = None
        self._tried_peers: set[str] = set()
        self._call: PooledCall | None = None
        self._upstream: Upstream | None = None
        self._sent_at: timedelta | None = None
        self._started_at = request.received_at
        self._waiting: WaitingRequest | None = None
        self._waited = timedelta()
        self._demand = Demand()
        self._relative_time = 1.0
        self._sends_by_upstream: dict[str, int] = {}
        self._send_count = 0
        # A second copy of an earlier answer to this request can't be told from a later answer by
        # its identifier, so no connection carries the request twice.
        self._used_connections: set[OutboundConnection] = set()
        self._may_have_run = False
        self._relay = ResponseRelay(request, gateway.memory)

    @property
    def request(self) -> CallerRequest:
        """Request that is processed."""
        return self._request

    def describe(self) -> RequestState:
        """Return what is done for the request now, for the log."""
        target = self._logged_target()
        return RequestState(self._request, target, self._state.value, self._sent_at)

    def start(self) -> None:
        """Find the route of the request and send it to an upstream."""
        request, gateway = self._request, self._gateway
        request.on_disconnect = self._on_caller_disconnected
        routes = gateway.member.routes
        if routes is None:
            self._refuse(ResultCode.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER)
            return
        host = find_header(request.fields, b"host") or b""
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = find_route(routes, host.decode("latin-1"), path)
        if route is None:
            self._refuse(ResultCode.NO_ROUTE, None)
            return
        self._route = route
        self._service = gateway.service_splitter.choose(route)
        properties = routes.services[self._service]
        if properties.is_keyed:
            self._key = parse_key(find_header(request.fields, KEY))
            if self._key is None:
                self._refuse(ResultCode.KEY_MISSING, None)
                return
        self._demand = gateway.demand(self._service, route)
        self._started_at = gateway.admission.started_at(request, route)
        self._deadline = deadline_of(request, route, gateway.requests_end_at)
        self._deadline_timer = Timeout(
            gateway.clock,
            self._deadline + UPSTREAM_ANSWER_GRACE - gateway.clock.now(),
            self._on_deadline,
        )
        if route.is_repeatable or request.is_first:
            self._place(route)
        else:
            # An earlier response may close the connection. The caller then sends the request again.
            self._state = _State.WAITING_TO_BE_FIRST
            request.when_first(partial(self._on_first, route))

    def _on_first(self, route: Route) -> None:
        if self._state is _State.WAITING_TO_BE_FIRST:
            self._place(route)

    def _place(self, route: Route) -> None:
        """Send the request to an upstream, or pass it on to another instance."""
        self._state = _State.PLACING
        if not self._gateway.takes_new_requests:
            # However short the request seems, its upstream may still be at work when the process
            # ends. Another instance can serve it.
            self._refuse(ResultCode.STOPPING, DECLINED_RETRY_AFTER, "the request comes too late")
            return
        if self._may_relay() and self._gateway.relays.choose(self._service, ()) is not None:
            # The other instance counts the request.
            self._dispatch()
            return
        self._count_request(route)
        if not self._is_key_admitted():
            self._refuse(ResultCode.QUEUE_FULL, HOT_KEY_RETRY_AFTER, "the key is too busy")
            return
        self._dispatch()

    def _count_request(self, route: Route) -> None:
        """Count the request as one that this instance sends to the service."""
        gateway = self._gateway
        if self._key is None:
            work_s = gateway.work_times.slot_time_s(self._service, route.name)
            gateway.load_tracker.count_demand(self._service, route.priority, work_s)
        gateway.member.announcements.count_request(self._service)
        if not self._is_relayed:
            gateway.retry_budget(self._service).record_request(
                gateway.clock.now(), gateway.member.instance_count
            )

    def fail(self) -> None:
        """Answer the caller after an unexpected error, which says nothing about what has run."""
        if self._state is not _State.FINISHED:
            self._abandon_call(abort=True)
            self._refuse(ResultCode.UPSTREAM_BROKEN, None, "unexpected error")

    def on_owners_changed(self) -> None:
        """Send a waiting request if its key has an owner now; refuse it if a lease must expire."""
        if self._state is _State.WAITING_FOR_OWNER:
            owner = self._find_owner()
            if isinstance(owner, Upstream) or self._is_awaiting_lease_expiry():
                self._stop_waiting()
                self._dispatch()

    def _is_key_admitted(self) -> bool:
        """Count an attempt to send the request and return whether its key's limit allows it."""
        if self._key is None:
            return True
        gateway, route = self._gateway, self._route
        assert route is not None
        gateway.load_tracker.count_key(self._service, self._key, route.priority)
        return gateway.admits_key(self._service, self._key, route.priority)

    # Choice of the upstream.

    def _remaining_s(self) -> float:
        return (self._deadline - self._gateway.clock.now()).total_seconds()

    def _dispatch(self) -> None:
        self._end_wait()
        self._state = _State.PLACING
        if self._gateway.crash_guard.is_banned(self._request):
            self._refuse(ResultCode.CRASHES_UPSTREAMS, None)
        elif self._may_relay() and self._send_to_peer():
            return
        else:
            self._admit()

    def _admit(self) -> None:
        assert self._route is not None
        placed = PlacedRequest(
            service=self._service,
            route=self._route,
            demand=self._demand,
            started_at=self._started_at,
            deadline=self._deadline,
            tried_names=self._sends_by_upstream,
            find_owner=self._find_owner if self._key is not None else None,
        )
        actions = AdmissionActions(
            self._on_admitted, self._on_refused, self._wait_for_owner, self._dispatch
        )
        waiting = self._gateway.admission.admit(placed, actions)
        if self._state is _State.PLACING:
            self._state = _State.WAITING_FOR_ROOM
            self._waiting = waiting

    def _on_admitted(self, upstream: Upstream) -> None:
        self._end_wait()
        announcements = self._gateway.member.announcements
        if announcements.needs_permit(upstream):
            self._state = _State.WAITING_FOR_PERMIT
            announcements.request_permit(upstream, partial(self._on_permit, upstream))
        else:
            self._send(upstream)

    def _on_refused(self, refusal: Refusal) -> None:
        self._refuse(refusal.code, refusal.retry_after, refusal.detail)

    def _end_wait(self) -> None:
        """Note the end of a wait for room at an upstream."""
        if self._waiting is not None:
            waiting, self._waiting = self._waiting, None
            self._gateway.admission.withdraw(waiting)
            if waiting.entered_at is not None:
                self._waited += self._gateway.clock.now() - waiting.entered_at

    def _find_owner(self) -> Upstream | UpstreamIncarnation | None:
        assert self._key is not None
        owner = find_owner(self._gateway, self._service, self._key, self)
        if isinstance(owner, Upstream) and owner.is_evacuated and self._sends_by_upstream:
            # Retries wait for the next owner.
            return owner.incarnation
        return owner

    def _is_awaiting_lease_expiry(self) -> bool:
        assert self._key is not None
        return is_awaiting_lease_expiry(self._gateway, self._service, self._key)

    def _wait_for_owner(self) -> None:
        gateway = self._gateway
        if self._is_awaiting_lease_expiry():
            self._refuse(ResultCode.NO_OWNER, OWNER_LOST_RETRY_AFTER)
            return
        assert self._key is not None
        if is_owner_evacuated(gateway, self._service, self._key):
            detail = "the owner's data centre is evacuated"
            self._refuse(ResultCode.NO_OWNER, NO_OWNER_RETRY_AFTER, detail)
            return
        remaining = milliseconds(self._remaining_s() * 1000)
        assert self._route is not None
        wait = min(MAX_OWNER_WAIT, remaining / 2, self._route.latency_objective * 2)
        self._state = _State.WAITING_FOR_OWNER
        gateway.waiting_for_owner.add(self)
        self._owner_wait_started_at = gateway.clock.now()
        self._owner_timer = Timeout(gateway.clock, wait, self._on_owner_wait_timeout)

    def _stop_waiting(self) -> None:
        gateway = self._gateway
        if self in gateway.waiting_for_owner:
            gateway.waiting_for_owner.discard(self)
            waited = gateway.clock.now() - self._owner_wait_started_at
            gateway.metrics.record_owner_wait(self._service, waited.total_seconds())
        if self._owner_timer is not None and self._owner_timer.active():
            self._owner_timer.cancel()
        self._owner_timer = None

    def _on_owner_wait_timeout(self) -> None:
        self._refuse(ResultCode.NO_OWNER, NO_OWNER_RETRY_AFTER)

    def _on_permit(self, upstream: Upstream, is_granted: bool) -> None:
        if self._state is not _State.WAITING_FOR_PERMIT:
            return
        if is_granted:
            self._send(upstream)
        else:
            self._dispatch()

    # Passing on to another instance.

    def _may_relay(self) -> bool:
        """Return whether another instance has to send the request, as far as one can."""
        return not self._is_relayed and self._service in self._gateway.link_monitor.unreachable

    def _send_to_peer(self) -> bool:
        """Pass the request on to another instance; return whether there is one."""
        gateway = self._gateway
        peer = gateway.relays.choose(self._service, self._tried_peers)
        if peer is None:
            return False
        self._state = _State.SENT
        self._upstream = None
        self._tried_peers.add(peer.member)
        call = PeerCall(gateway, self._request, peer, self._deadline, self._on_peer_result)
        self._relay.release()
        self._peer_call, self._relay = call, call.relay
        gateway.request_log.log_relay(self._request, self._logged_target(), peer.member)
        call.start()
        return True

    def _on_peer_result(self, result: PeerResult) -> None:
        call, self._peer_call = self._peer_call, None
        assert call is not None and self._route is not None
        gateway = self._gateway
        gateway.metrics.relayed[self._service, result.value] += 1
        if self._relay.is_streaming and result is not PeerResult.ANSWERED:
            outcome = AttemptOutcome(OutcomeKind.UNKNOWN, reason=call.reason)
            self._log_failure("the streamed answer is incomplete", outcome)
            self._relay.abort_response()
            self._finish("broken off")
            return
        if result is PeerResult.LOST:
            self._may_have_run = True
        if result is PeerResult.ANSWERED or (
            result is PeerResult.REFUSED and not self._may_have_run
        ):
            self._relay.deliver()
            self._finish(result.value)
        elif result is PeerResult.REFUSED or (self._may_have_run and not self._route.is_repeatable):
            self._refuse(ResultCode.UPSTREAM_BROKEN, None, call.reason)
        elif len(self._tried_peers) < MAX_PEERS and self._request.body.can_be_sent_again:
            left = gateway.retry_budget_left(self._service)
            gateway.request_log.log_retry(self._request, self._logged_target(), call.reason, left)
            self._dispatch()
        else:
            self._refuse(ResultCode.UPSTREAM_SHED, DECLINED_RETRY_AFTER, call.reason)

    # Sending.

    def _send(self, upstream: Upstream) -> None:
        gateway = self._gateway
        assert self._route is not None
        self._state = _State.SENT
        self._upstream = upstream
        self._send_count += 1
        self._relay.release()
        self._relay = ResponseRelay(self._request, gateway.memory)
        load = gateway.load_tracker.load_of(upstream.name)
        load.own_in_flight += 1
        gateway.load_tracker.limits.count_sent(upstream.name)
        self._relative_time = self._demand.relative_time(upstream, load.in_flight)
        self._sent_at = None
        is_repeatable = self._route.is_repeatable
        max_idle_time = gateway.max_idle_time if is_repeatable else MAX_IDLE_TIME_UNREPEATABLE
        call = gateway.pool.send(
            upstream.host,
            upstream.port,
            self._build_outbound_request,
            self,
            max_idle_time,
            NEW_CONNECTION_SEND_DELAY,
            self._used_connections,
        )
        if self._state is _State.SENT and self._upstream is upstream:
            self._call = call

    def _build_outbound_request(self) -> OutboundRequest | None:
        """Return the request with its remaining deadline, or None if it is no longer needed."""
        upstream, request = self._upstream, self._request
        if self._state is not _State.SENT or upstream is None:
            return None
        if not request.is_caller_connected():
            # After a delay of the event loop, a request may be read long before its caller's close.
            self._on_caller_disconnected()
            return None
        self._sent_at = self._gateway.clock.now()
        timings = self._gateway.load_tracker.timings
        timings.note_sent(upstream.name, self._sent_at, self._demand.work_ratio)
        self._sends_by_upstream[upstream.name] = self._sends_by_upstream.get(upstream.name, 0) + 1
        return build_outbound_request(request, upstream, self._remaining_s())

    # Methods of `ResponseReceiver`.

    def on_header(self, status: int, fields: HeaderFields, length: int | None) -> None:
        """Handle the header of an answer."""
        if self._upstream is not None:
            apply_announcements(self._gateway, self._upstream, status, fields)
        is_sealed = find_header(fields, SEAL) is not None
        outcome = classify_response(status, is_sealed, is_not_run(status, fields))
        self._relay.on_header(outcome, status, fields, length)
        connection = self._connection()
        if connection is not None:
            connection.keep_alive_timeout_s = parse_keep_alive_timeout(fields)

    def on_body(self, data: bytes) -> None:
        """Handle a part of the answer's body."""
        self._relay.on_body(data, self._connection())
        if self._relay.discarded_bytes > MAX_DISCARDED_BYTES:
            outcome = self._relay.outcome
            assert outcome is not None
            if self._call is not None:
                self._call.abort()
            self._record_attempt(outcome)
            self._handle_failed_attempt(outcome)

    def on_end(self) -> None:
        """Handle the end of a complete answer."""
        outcome = self._relay.outcome
        assert outcome is not None
        self._record_attempt(outcome)
        if outcome.kind is OutcomeKind.SUCCESS or self._relay.is_streaming:
            self._relay.deliver()
            gateway = self._gateway
            gateway.request_log.log_answer(
                self._request, self._logged_target(), self._send_count, self._waited
            )
            self._finish("answered")
        else:
            self._handle_failed_attempt(outcome)

    def on_failure(self, failure: CallFailure) -> None:
        """Handle the failure to receive a complete answer."""
        outcome = classify_failure(failure)
        self._record_attempt(outcome)
        if self._relay.is_streaming:
            self._log_failure("the streamed answer is incomplete", outcome)
            self._relay.abort_response()
            self._finish("broken off")
            return
        self._handle_failed_attempt(outcome)

    def _connection(self) -> OutboundConnection | None:
        return self._call.connection if self._call is not None else None

    def _record_attempt(self, outcome: AttemptOutcome) -> None:
        call, upstream = self._call, self._upstream
        assert upstream is not None and self._route is not None
        connection = self._connection()
        if connection is not None:
            self._used_connections.add(connection)
        self._call = None
        if outcome.kind in (OutcomeKind.UNKNOWN, OutcomeKind.FAILED):
            self._may_have_run = True
        attempt = Attempt(
            request=self._request,
            upstream=upstream,
            service=self._service,
            route=self._route.name,
            key=self._key,
            sent_at=self._sent_at,
            relative_time=self._relative_time,
            work_ratio=self._demand.work_ratio,
            status=self._relay.status,
            is_new_connection=call is not None and call.is_new_connection,
        )
        record_attempt(self._gateway, attempt, outcome)
        self._gateway.admission.on_room(self._service, upstream)

    def _handle_failed_attempt(self, outcome: AttemptOutcome) -> None:
        """Retry the request or answer the caller."""
        gateway = self._gateway
        assert self._route is not None
        failed_request = FailedRequest(
            is_repeatable=self._route.is_repeatable,
            has_not_run=not self._may_have_run,
            upstreams_tried=len(self._sends_by_upstream),
            max_upstreams=self._route.max_upstreams,
            send_count=self._send_count,
            remaining_s=self._remaining_s(),
            service_time_s=gateway.median_service_time_s(self._service) * self._demand.work_ratio,
        )
        if (
            may_retry(failed_request, self._has_untried_upstream())
            and self._request.body.can_be_sent_again
            and gateway.crash_guard.may_repeat(self._request)
            and self._is_key_admitted()
            and self._spend_budget(outcome)
        ):
            left = gateway.retry_budget_left(self._service)
            gateway.request_log.log_retry(
                self._request, self._logged_target(), outcome.reason, left
            )
            self._dispatch()
            return
        self._answer_failure(outcome)

    def _has_untried_upstream(self) -> bool:
        if self._key is not None:
            owner = self._find_owner()
            return isinstance(owner, Upstream) and owner.name not in self._sends_by_upstream
        return any(
            u.name not in self._sends_by_upstream
            for u in self._gateway.available_upstreams(self._service)
        )

    def _spend_budget(self, outcome: AttemptOutcome) -> bool:
        if not self._sends_by_upstream:
            # No upstream received the request, so another send is no retry.
            return True
        gateway = self._gateway
        budget = gateway.retry_budget(self._service)
        return budget.try_spend(gateway.clock.now(), gateway.member.instance_count)

    def _answer_failure(self, outcome: AttemptOutcome) -> None:
        if self._gateway.crash_guard.is_banned(self._request):
            self._refuse(ResultCode.CRASHES_UPSTREAMS, None, outcome.reason)
        elif outcome.kind is OutcomeKind.FAILED and self._relay.status not in NOT_RUN_STATUSES:
            self._log_failure("the upstream reported a failure", outcome)
            self._relay.deliver()
            self._finish("failed")
        elif self._may_have_run:
            self._refuse(ResultCode.UPSTREAM_BROKEN, None, outcome.reason)
        else:
            is_owner_lost = self._key is not None and (
                outcome.is_unreachable or self._is_awaiting_lease_expiry()
            )
            retry_after = OWNER_LOST_RETRY_AFTER if is_owner_lost else DECLINED_RETRY_AFTER
            self._refuse(ResultCode.UPSTREAM_SHED, retry_after, outcome.reason)

    # End of the request.

    def _on_deadline(self) -> None:
        """Answer the caller once the deadline and its grace have passed."""
        self._deadline_timer = None
        if self._state is _State.FINISHED:
            return
        if not self._relay.is_streaming:
            self._answer_unserved("")
            return
        assert self._route is not None
        # The caller is receiving the answer, so its own deadline is left to it.
        remaining = (
            self._request.received_at
            + self._route.timeout
            + UPSTREAM_ANSWER_GRACE
            - self._gateway.clock.now()
        )
        if remaining > timedelta():
            self._deadline_timer = Timeout(self._gateway.clock, remaining, self._on_deadline)
        else:
            self._break_off_answer("the answer doesn't end within the route's timeout")

    def end(self) -> None:
        """Answer the caller without the upstream's answer, because the process ends now."""
        if self._relay.is_streaming:
            self._break_off_answer("the instance stops")
        elif self._state is not _State.FINISHED:
            self._answer_unserved("the instance stops")

    def _answer_unserved(self, detail: str) -> None:
        log_unread_answer(self._gateway.request_log, self.describe(), self._connection())
        was_sent = self._state is _State.SENT and self._sent_at is not None
        was_sent = was_sent or (self._peer_call is not None and self._peer_call.was_sent)
        self._abandon_call(abort=True)
        if was_sent or self._may_have_run:
            self._refuse(ResultCode.UPSTREAM_TIMEOUT, None, detail)
        else:
            self._refuse(ResultCode.DEADLINE_UNREACHABLE, DECLINED_RETRY_AFTER, detail)

    def _break_off_answer(self, reason: str) -> None:
        """End a streamed answer in a way that its caller can't take for its end."""
        upstream = self._upstream
        log_unread_answer(self._gateway.request_log, self.describe(), self._connection())
        self._abandon_call(abort=True)
        self._upstream = upstream
        outcome = AttemptOutcome(OutcomeKind.UNKNOWN, reason=reason)
        self._log_failure("the streamed answer is incomplete", outcome)
        self._relay.abort_response()
        self._finish("broken off")

    def _on_caller_disconnected(self) -> None:
        if self._state is _State.FINISHED:
            return
        is_repeatable = self._route is not None and self._route.is_repeatable
        # A request that may not be repeated is left to finish, because aborting it would leave its
        # outcome unknown. Without the rest of its body it can't finish.
        was_not_sent = self._sent_at is None
        is_incomplete = not self._request.body.is_complete
        gateway = self._gateway
        gateway.request_log.log_disconnect(
            self._request, self._logged_target(), self._state.value, not was_not_sent
        )
        self._abandon_call(abort=is_repeatable or was_not_sent or is_incomplete)
        self._finish("caller left")

    def _abandon_call(self, *, abort: bool) -> None:
        if self._peer_call is not None:
            self._peer_call.abort()
            self._peer_call = None
        if self._state is _State.SENT and self._upstream is not None:
            self._gateway.load_tracker.load_of(self._upstream.name).own_in_flight -= 1
            if self._sent_at is not None:
                timings = self._gateway.load_tracker.timings
                timings.note_ended(self._upstream.name, self._sent_at)
            if self._call is not None and abort:
                self._call.abort()
            elif self._call is not None and self._call.connection is not None:
                close_if_incomplete = self._call.connection.discard_response()
                remaining = self._deadline + UPSTREAM_ANSWER_GRACE - self._gateway.clock.now()
                Timeout(self._gateway.clock, max(remaining, timedelta()), close_if_incomplete)
            self._call = None
            self._upstream = None

    def _refuse(self, code: ResultCode, retry_after: timedelta | None, detail: str = "") -> None:
        self._stop_waiting()
        if retry_after is not None:
            # Jitter keeps callers that were refused together from retrying together.
            retry_after *= 0.75 + 0.5 * self._gateway.random.random()
        if self._may_have_run and code.run is RunStatus.NO:
            # An earlier attempt may have run, so the answer must not state the opposite.
            detail = f"{code.title}; {detail}" if detail else code.title
            code, retry_after = ResultCode.UPSTREAM_BROKEN, None
        refusal = Refusal(code, detail, retry_after=retry_after)
        # Logged first, since the body that the fingerprint covers is dropped with the answer.
        self._gateway.request_log.log_refusal(self._request, self._logged_target(), refusal)
        if self._request.is_open:
            refuse(self._request, refusal)
        self._finish(str(code.number))

    def _logged_target(self) -> LoggedTarget:
        route = self._route.name if self._route is not None else ""
        return LoggedTarget(self._service, route, self._upstream)

    def _log_failure(self, summary: str, outcome: AttemptOutcome) -> None:
        self._gateway.request_log.log_failure(
            self._request, self._logged_target(), f"{summary}: {outcome.reason}"
        )

    def _finish(self, result: str) -> None:
        self._state = _State.FINISHED
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
        self._deadline_timer = None
        self._relay.release()
        self._stop_waiting()
        self._end_wait()
        gateway = self._gateway
        seconds = (gateway.clock.now() - self._request.received_at).total_seconds()
        gateway.metrics.record_request(self._service, result, seconds)
        gateway.remove_exchange(self)
