"""Processing of one caller's request, from its header to its final answer."""

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from ..clocks import Cancellable, milliseconds
from ..fleet import Route, Upstream, UpstreamLife, find_route
from ..placement import Declined, RetryCase, decide_admission, may_retry, predict_answer_time
from ..placement.choice import choose_upstream
from ..platform.headers import (
    DEADLINE,
    EXPECTED_UPSTREAM,
    KEY,
    MISDIRECTED,
    REQUEST_ID,
    SEAL,
    find_header,
    is_not_run,
    parse_deadline_ms,
    parse_key,
)
from ..results import Refusal, ResultCode, Run
from ..transport import CallerRequest, CallFailure, OutboundRequest, PooledCall
from ..transport.fields import HeaderFields, end_to_end_fields, keep_alive_seconds
from ..transport.outbound import OutboundConnection
from .answers import Verdict, VerdictKind, judge_answer, judge_failure
from .refusals import refuse
from .relay import AnswerRelay

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ["Exchange"]

# Time after the deadline for which the gateway still waits for the upstream's answer before it
# answers the caller itself.
DEADLINE_SLACK = milliseconds(120)
# Longest wait for the next owner of a key that is being moved.
LONGEST_OWNER_WAIT = milliseconds(600)
# Retry-After for a key without an owner.
OWNER_RETRY = milliseconds(250)
# Retry-After for a request that was declined by upstreams with free slots.
DECLINED_RETRY = milliseconds(40)
# Retry-After for a key whose owner is lost: about half of a lease, after which the next owner holds
# the key.
OWNER_LOST_RETRY = milliseconds(1200)
NO_CONFIGURATION_RETRY = milliseconds(500)
# Deadline of a request without a deadline header.
DEFAULT_DEADLINE = timedelta(seconds=10)
# Longest idle time of a connection that is reused for a request that may not be repeated. If the
# upstream closes the connection at the same moment, it is unknown whether the request ran.
LONGEST_IDLE_UNREPEATABLE = milliseconds(250)
# Delay between opening a connection and sending a request on it: two round trips between data
# centres, within which an upstream that accepts no more connections resets it.
SETTLING = milliseconds(6)
# Time for which a draining upstream still gets requests for the keys that it holds.
DRAINING_OWNER_GRACE = milliseconds(700)


# Statuses that guarantee to callers that the request has not run.
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


class _State(Enum):
    PLACING = "placing"
    WAITING_FOR_OWNER = "waiting for an owner"
    SENT = "sent"
    OVER = "over"


class Exchange:
    """State machine that processes one caller's request.

    Parameters
    ----------
    gateway : Gateway
    request : CallerRequest
    """

    def __init__(self, gateway: "Gateway", request: CallerRequest) -> None:
        self._gateway = gateway
        self._request = request
        self._state = _State.PLACING
        self._route: Route | None = None
        self._service = ""
        self._key: int | None = None
        self._due = request.received_at
        self._timer: Cancellable | None = None
        self._owner_timer: Cancellable | None = None
        self._waits_since = request.received_at
        self._call: PooledCall | None = None
        self._upstream: Upstream | None = None
        self._sent_at: timedelta | None = None
        self._turns = 1.0
        self._asked: dict[str, int] = {}
        self._sends = 0
        self._may_have_run = False
        self._relay = AnswerRelay(request)

    def start(self) -> None:
        """Find the route of the request and send it to an upstream."""
        request, gateway = self._request, self._gateway
        request.on_left = self._caller_left
        routes = gateway.member.routes
        if routes is None:
            self._refuse(ResultCode.NO_CONFIGURATION, NO_CONFIGURATION_RETRY)
            return
        host = find_header(request.fields, b"host") or b""
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = find_route(routes, host.decode("latin-1"), path)
        if route is None:
            self._refuse(ResultCode.NO_ROUTE, None)
            return
        self._route = route
        self._service = gateway.split.choose(route)
        rule = routes.services[self._service]
        if rule.is_keyed:
            self._key = parse_key(find_header(request.fields, KEY))
            if self._key is None:
                self._refuse(ResultCode.KEY_MISSING, None)
                return
            gateway.board.count_key(self._service, self._key)
        gateway.budget(self._service).note_request(gateway.clock.now())
        wanted = parse_deadline_ms(find_header(request.fields, DEADLINE))
        allowed = DEFAULT_DEADLINE if wanted is None else milliseconds(wanted)
        self._due = request.received_at + min(allowed, route.timeout)
        self._timer = gateway.clock.call_later(
            self._due + DEADLINE_SLACK - gateway.clock.now(), self._overdue
        )
        self._place()

    def owners_changed(self) -> None:
        """Send a waiting request, or refuse it, if the owner of its key has changed."""
        if self._state is _State.WAITING_FOR_OWNER:
            owner = self._find_owner()
            if isinstance(owner, Upstream) or self._awaits_end_of_lease():
                self._stop_waiting()
                self._place()

    # Choice of the upstream.

    def _left_s(self) -> float:
        return (self._due - self._gateway.clock.now()).total_seconds()

    def _place(self) -> None:
        self._state = _State.PLACING
        if self._key is not None:
            self._place_at_owner()
        else:
            self._place_anywhere()

    def _place_at_owner(self) -> None:
        owner = self._find_owner()
        if not isinstance(owner, Upstream):
            self._wait_for_owner()
            return
        gateway = self._gateway
        load = gateway.board.of(owner.name)
        usual = gateway.usual_service_s(self._service)
        predicted = predict_answer_time(owner, load, usual)
        self._admit(owner, predicted, load.service_s or usual)

    def _find_owner(self) -> Upstream | UpstreamLife | None:
        """Return the upstream that owns the key.

        Returns an `UpstreamLife` if the owner accepts no requests, and None if there is no owner.
        """
        gateway = self._gateway
        found = gateway.member.maps.get(self._service)
        assert self._key is not None
        held = found.find(self._key) if found is not None else None
        if held is None or not held.is_held:
            return None
        if gateway.is_disproved(self._service, held):
            return None
        upstream = gateway.member.knowledge.upstreams.get(held.owner.name)
        if upstream is None or upstream.life != held.owner:
            return held.owner
        if gateway.draining_for(upstream) > DRAINING_OWNER_GRACE:
            return held.owner
        return upstream

    def _awaits_end_of_lease(self) -> bool:
        found = self._gateway.member.maps.get(self._service)
        assert self._key is not None
        held = found.find(self._key) if found is not None else None
        return held is not None and not held.is_held and held.awaits_end_of_lease

    def _wait_for_owner(self) -> None:
        gateway = self._gateway
        if self._awaits_end_of_lease():
            self._refuse(ResultCode.NO_OWNER, OWNER_LOST_RETRY)
            return
        left = milliseconds(self._left_s() * 1000)
        assert self._route is not None
        wait = min(LONGEST_OWNER_WAIT, left / 2, self._route.goal * 2)
        self._state = _State.WAITING_FOR_OWNER
        gateway.waiting.add(self)
        self._waits_since = gateway.clock.now()
        self._owner_timer = gateway.clock.call_later(wait, self._no_owner)

    def _stop_waiting(self) -> None:
        gateway = self._gateway
        if self in gateway.waiting:
            gateway.waiting.discard(self)
            waited = gateway.clock.now() - self._waits_since
            gateway.metrics.note_owner_wait(self._service, waited.total_seconds())
        if self._owner_timer is not None and self._owner_timer.active():
            self._owner_timer.cancel()
        self._owner_timer = None

    def _no_owner(self) -> None:
        self._refuse(ResultCode.NO_OWNER, OWNER_RETRY)

    def _place_anywhere(self) -> None:
        gateway = self._gateway
        open_ones = gateway.open_upstreams(self._service)
        candidates = [u for u in open_ones if u.name not in self._asked] or open_ones
        assert self._route is not None
        choice = choose_upstream(
            candidates,
            gateway.board.of,
            gateway.data_centre,
            self._route.is_bulky,
            gateway.member.instances,
            gateway.clock.now(),
            gateway.random,
        )
        if choice is None:
            self._refuse(ResultCode.NO_TARGET, OWNER_RETRY)
            return
        self._admit(choice.upstream, choice.predicted_s, gateway.usual_service_s(self._service))

    def _admit(self, upstream: Upstream, predicted_s: float, service_s: float) -> None:
        assert self._route is not None
        goal = self._route.goal.total_seconds()
        decision = decide_admission(predicted_s, service_s, goal, self._left_s())
        if isinstance(decision, Declined):
            retry = milliseconds(decision.retry_after_s * 1000)
            self._refuse(ResultCode.QUEUE_FULL, retry, f"{upstream.name}: {decision.reason}")
            return
        self._send(upstream)

    # Sending.

    def _send(self, upstream: Upstream) -> None:
        gateway = self._gateway
        assert self._route is not None
        self._state = _State.SENT
        self._upstream = upstream
        self._sends += 1
        self._relay = AnswerRelay(self._request)
        load = gateway.board.of(upstream.name)
        load.own += 1
        self._turns = max(1.0, load.in_flight / upstream.slots)
        self._sent_at = None
        is_repeatable = self._route.is_repeatable
        longest_idle = gateway.longest_idle if is_repeatable else LONGEST_IDLE_UNREPEATABLE
        call = gateway.pool.send(
            upstream.host, upstream.port, self._outbound, self, longest_idle, SETTLING
        )
        if self._state is _State.SENT and self._upstream is upstream:
            self._call = call

    def _outbound(self) -> OutboundRequest | None:
        """Return the request with its remaining deadline, or None if it is no longer needed."""
        upstream, request = self._upstream, self._request
        if self._state is not _State.SENT or upstream is None:
            return None
        self._sent_at = self._gateway.clock.now()
        self._asked[upstream.name] = self._asked.get(upstream.name, 0) + 1
        left_ms = max(1, int(self._left_s() * 1000))
        fields = [
            (name, value)
            for name, value in end_to_end_fields(request.fields)
            if name not in (DEADLINE, EXPECTED_UPSTREAM, b"expect")
        ]
        fields.append((DEADLINE, b"%d" % left_ms))
        fields.append((EXPECTED_UPSTREAM, upstream.name.encode()))
        own_id = find_header(request.fields, REQUEST_ID)

        def belongs(status: int, answer: HeaderFields) -> bool:
            return own_id is None or find_header(answer, REQUEST_ID) == own_id

        return OutboundRequest(request.method, request.target, fields, request.body, belongs)

    # Methods of `AnswerReceiver`.

    def began(self, status: int, fields: HeaderFields, length: int | None) -> None:
        """Handle the header of an answer."""
        is_sealed = find_header(fields, SEAL) is not None
        verdict = judge_answer(status, is_sealed, is_not_run(status, fields))
        self._relay.began(verdict, status, fields, length)
        connection = self._connection()
        if connection is not None:
            connection.idle_limit_s = keep_alive_seconds(fields)

    def received(self, data: bytes) -> None:
        """Handle a part of the answer's body."""
        self._relay.received(data, self._connection())

    def ended(self) -> None:
        """Handle the end of a complete answer."""
        verdict = self._relay.verdict
        assert verdict is not None
        self._note_attempt(verdict)
        if verdict.kind is VerdictKind.SUCCESS:
            self._relay.deliver()
            gateway = self._gateway
            gateway.log.answered(self._request, self._service, self._upstream, self._sends)
            self._finish("answered")
        else:
            self._failed_attempt(verdict)

    def failed(self, failure: CallFailure) -> None:
        """Handle the failure to receive a complete answer."""
        verdict = judge_failure(failure)
        self._note_attempt(verdict)
        if self._relay.is_passing_on:
            self._relay.break_off()
            self._log_end("the streamed answer is incomplete", verdict)
            self._finish("broken off")
            return
        self._failed_attempt(verdict)

    def _connection(self) -> OutboundConnection | None:
        return self._call.connection if self._call is not None else None

    def _note_attempt(self, verdict: Verdict) -> None:
        gateway, upstream = self._gateway, self._upstream
        assert upstream is not None
        self._call = None
        now = gateway.clock.now()
        load = gateway.board.of(upstream.name)
        load.own -= 1
        if verdict.is_unreachable:
            load.note_unreachable(now)
            gateway.pool.close_idle((upstream.host, upstream.port))
        elif verdict.kind is VerdictKind.NOT_RUN and self._relay.status == MISDIRECTED:
            self._note_misdirected(upstream)
        elif verdict.kind is VerdictKind.NOT_RUN:
            gateway.board.ended(upstream.name, now, ran_for_s=None, declined=True)
        elif verdict.kind is VerdictKind.SUCCESS and self._sent_at is not None:
            taken = (now - self._sent_at).total_seconds() / self._turns
            gateway.board.ended(upstream.name, now, ran_for_s=taken, declined=False)
        if verdict.kind in (VerdictKind.UNKNOWN, VerdictKind.FAILED):
            self._may_have_run = True
        gateway.metrics.attempts[self._service, verdict.kind.value] += 1

    def _note_misdirected(self, upstream: Upstream) -> None:
        """Suspend the key range whose owner, according to the map, denies that it holds it."""
        found = self._gateway.member.maps.get(self._service)
        if found is None or self._key is None:
            return
        held = found.find(self._key)
        if held is not None and held.owner == upstream.life:
            self._gateway.disprove(self._service, held)

    def _failed_attempt(self, verdict: Verdict) -> None:
        """Retry the request or answer the caller."""
        gateway = self._gateway
        assert self._route is not None
        case = RetryCase(
            is_repeatable=self._route.is_repeatable,
            has_not_run=not self._may_have_run,
            upstreams_asked=len(self._asked),
            most_upstreams=self._route.max_upstreams,
            sends=self._sends,
            left_s=self._left_s(),
            service_s=gateway.usual_service_s(self._service),
        )
        if may_retry(case, self._has_another()) and self._take_repeat(verdict):
            gateway.log.retry(self._request, self._service, self._upstream, verdict.reason)
            self._place()
            return
        self._answer_failure(verdict)

    def _has_another(self) -> bool:
        if self._key is not None:
            owner = self._find_owner()
            return isinstance(owner, Upstream) and owner.name not in self._asked
        return any(u.name not in self._asked for u in self._gateway.open_upstreams(self._service))

    def _take_repeat(self, verdict: Verdict) -> bool:
        if not self._asked:
            # No upstream received the request, so another send is no retry.
            return True
        gateway = self._gateway
        budget = gateway.budget(self._service)
        return budget.take(gateway.clock.now(), gateway.member.instances)

    def _answer_failure(self, verdict: Verdict) -> None:
        if verdict.kind is VerdictKind.FAILED and self._relay.status not in PROMISES_NOT_RUN:
            self._log_end("the upstream reported a failure", verdict)
            self._relay.deliver()
            self._finish("failed")
        elif self._may_have_run:
            self._refuse(ResultCode.UPSTREAM_BROKEN, None, verdict.reason)
        else:
            is_owner_lost = self._key is not None and verdict.is_unreachable
            retry = OWNER_LOST_RETRY if is_owner_lost else DECLINED_RETRY
            self._refuse(ResultCode.UPSTREAM_SHED, retry, verdict.reason)

    # End of the request.

    def _overdue(self) -> None:
        """Answer the caller once the deadline and its grace have passed."""
        self._timer = None
        if self._relay.is_passing_on or self._state is _State.OVER:
            return
        was_sent = self._state is _State.SENT and self._sent_at is not None
        self._drop_call(abort=True)
        if was_sent or self._may_have_run:
            self._refuse(ResultCode.UPSTREAM_TIMEOUT, None)
        else:
            self._refuse(ResultCode.DEADLINE_UNREACHABLE, DECLINED_RETRY)

    def _caller_left(self) -> None:
        if self._state is _State.OVER:
            return
        is_repeatable = self._route is not None and self._route.is_repeatable
        # A request that may not be repeated is left to finish, because aborting it would leave its
        # outcome unknown.
        never_sent = self._sent_at is None
        self._drop_call(abort=is_repeatable or never_sent)
        self._finish("caller left")

    def _drop_call(self, *, abort: bool) -> None:
        if self._state is _State.SENT and self._upstream is not None:
            self._gateway.board.of(self._upstream.name).own -= 1
            if self._call is not None and abort:
                self._call.abort()
            elif self._call is not None and self._call.connection is not None:
                self._call.connection.drop_answer()
            self._call = None
            self._upstream = None

    def _refuse(self, code: ResultCode, retry_after: timedelta | None, detail: str = "") -> None:
        self._stop_waiting()
        if retry_after is not None:
            # Jitter keeps callers that were refused together from retrying together.
            retry_after *= 0.75 + 0.5 * self._gateway.random.random()
        if self._may_have_run and code.run is Run.NO:
            # An earlier attempt may have run, so the answer must not state the opposite.
            detail = f"{code.title}; {detail}" if detail else code.title
            code, retry_after = ResultCode.UPSTREAM_BROKEN, None
        refusal = Refusal(code, detail, retry_after=retry_after)
        if self._request.is_open:
            refuse(self._request, refusal)
        self._gateway.log.refusal(self._request, self._service, self._upstream, refusal)
        self._finish(str(code.number))

    def _log_end(self, what: str, verdict: Verdict) -> None:
        self._gateway.log.failure(
            self._request, self._service, self._upstream, f"{what}: {verdict.reason}"
        )

    def _finish(self, result: str) -> None:
        self._state = _State.OVER
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._stop_waiting()
        gateway = self._gateway
        seconds = (gateway.clock.now() - self._request.received_at).total_seconds()
        gateway.metrics.note_request(self._service, result, seconds)
        gateway.exchange_over(self)
